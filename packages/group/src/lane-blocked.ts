/** Whether any request of a lane of the queue can be placed now. */
import type {FailoverStep} from './failover-state.js';
import {majorityFloor} from './floor.js';
import type {GroupRequest} from './request.js';
import {type GroupView, Reach, writablePrimary} from './view.js';

/** Whether neither this request nor a later one of its lane has a place. */
export function isLaneBlocked(
  view: GroupView,
  step: FailoverStep,
  req: GroupRequest,
): boolean {
  if (!hasAnyRoom(view)) return true;
  // A majority that reported after a later arrival did so after this one.
  if (!req.floor && !majorityFloor(view, req.arrivedAt)) return true;
  if (!req.floor || !req.needsPrimary) return false;
  const primary = writablePrimary(view);
  if (!primary || step === 'draining') return true;
  return primary.busy >= primary.capacity;
}

function hasAnyRoom(view: GroupView): boolean {
  for (const {reach, busy, capacity} of view.endpoints.values()) {
    if (reach === Reach.Up && busy < capacity) return true;
  }
  return false;
}
