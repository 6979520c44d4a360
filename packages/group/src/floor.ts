/**
 * The floor of a caller that arrives without a token: the highest position
 * that a majority of endpoints report after its arrival. Every acknowledged
 * write is on a majority, so the floor covers it.
 */
import {
  ORIGIN,
  type Position,
  laterOf,
  majorityOf,
} from '@quetzalreel/position';
import type {GroupView} from './view.js';

/** The floor for an arrival; undefined until a majority has reported. */
export function floorAfter(
  view: GroupView,
  arrivedAt: number,
): Position | undefined {
  let floor = ORIGIN;
  let reports = 0;
  for (const {status, askedAt} of view.endpoints.values()) {
    if (!status || askedAt < arrivedAt) continue;
    reports++;
    floor = laterOf(floor, status.last);
  }
  return reports >= majorityOf(view.endpoints.size) ? floor : undefined;
}
