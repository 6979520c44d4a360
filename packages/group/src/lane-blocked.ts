/**
 * Detects when no request in a lane of the queue can be placed, so that the
 * rest of the lane need not be checked.
 */
import type {FailoverStep} from './failover-state.js';
import {majorityFloor} from './floor.js';
import type {GroupRequest} from './request.js';
import {type GroupView, Responsiveness, writablePrimary} from './view.js';

/**
 * Whether neither `req` nor any later request in its lane can be placed now.
 */
export function isLaneBlocked(
  view: GroupView,
  step: FailoverStep,
  req: GroupRequest,
): boolean {
  if (!hasFreeSlot(view)) return true;
  // A later request needs statuses from after its own arrival, which also come
  // after this request's arrival. If they don't suffice for this one, they
  // don't suffice for later ones either.
  if (!req.floor && !majorityFloor(view, req.arrivedAt)) return true;
  if (!req.floor || !req.needsPrimary) return false;
  const primary = writablePrimary(view);
  if (!primary || step === 'draining') return true;
  return primary.busy >= primary.capacity;
}

function hasFreeSlot(view: GroupView): boolean {
  for (const {reach, busy, capacity} of view.endpoints.values()) {
    if (reach === Responsiveness.Up && busy < capacity) return true;
  }
  return false;
}
