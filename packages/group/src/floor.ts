/**
 * The floor of a caller that arrives without a token: the highest position
 * that a majority of endpoints report after its arrival. Every acknowledged
 * write is on a majority, so the floor covers it.
 */
import {
  EMPTY_LOG_POSITION,
  type Position,
  laterOf,
  majorityOf,
  isAtLeast,
} from '@quetzalreel/position';
import type {GroupRequest} from './request.js';
import type {GroupView} from './view.js';

/** The floor for an arrival; undefined until a majority has reported. */
export function majorityFloor(
  view: GroupView,
  arrivedAt: number,
): Position | undefined {
  let floor = EMPTY_LOG_POSITION;
  let reports = 0;
  for (const {status, askedAt} of view.endpoints.values()) {
    if (!status || askedAt < arrivedAt) continue;
    reports++;
    floor = laterOf(floor, status.last);
  }
  return reports >= majorityOf(view.endpoints.size) ? floor : undefined;
}

/** The floor of a request, or why it has none yet. */
export type FloorResult =
  | {readonly floor: Position}
  /** Nothing has confirmed the floor yet. */
  | {readonly pending: true}
  /** The floor is beyond what a majority reports. */
  | {readonly ahead: true};

/**
 * The floor of a request. A token's floor is confirmed by any endpoint that
 * has reached it; a majority that reports less after the arrival refutes it.
 */
export function floorOf(view: GroupView, req: GroupRequest): FloorResult {
  const {floor, unproved, arrivedAt} = req;
  if (floor && (!unproved || isReached(view, floor))) return {floor};
  const reported = majorityFloor(view, arrivedAt);
  if (!reported) return {pending: true};
  return floor ? {ahead: true} : {floor: reported};
}

function isReached(view: GroupView, floor: Position): boolean {
  for (const {status} of view.endpoints.values()) {
    if (status && isAtLeast(status.last, floor)) return true;
  }
  return false;
}
