/**
 * Determines a request's floor, the lowest position that its data must include.
 * For a caller without a session token, the floor is the highest position among
 * the statuses that a majority of endpoints reported after the request arrived.
 * Every acknowledged write is on a majority, so this floor covers it.
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

/**
 * The highest position in statuses requested since `arrivedAt`; undefined until
 * a majority of endpoints has reported.
 */
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

/** The floor of a request, or why there is none. */
export type FloorResult =
  | {readonly floor: Position}
  /** Not enough statuses yet to confirm or determine the floor. */
  | {readonly pending: true}
  /**
   * The session token's floor is higher than every position that a majority
   * reports.
   */
  | {readonly ahead: true};

/**
 * The floor of a request. A session token's floor is confirmed by any endpoint
 * that has reached it, and rejected when a majority reported after the
 * request's arrival and no endpoint has reached it.
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
