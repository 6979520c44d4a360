/**
 * Estimates how long a replica that is behind needs to catch up. A replica's
 * lag is the delay with which it applies records after the primary has them,
 * measured whenever the replica advances.
 */
import type {Position} from '@quetzalreel/position';
import {oldestSampleBeyond, oldestSampleReaching} from './samples.js';
import {type EndpointView, type GroupView, primaryOf} from './view.js';

/**
 * Fraction of a read's total time limit that it may wait for a replica to catch
 * up.
 */
export const MAX_WAIT_FRACTION = 0.01;

/**
 * A replica counts as stuck when it lacks a record for this many times its
 * lag, plus `MIN_STUCK_AFTER_MS`.
 */
const STUCK_AFTER_LAGS = 2;
/** Added so that a replica with a very small lag is not taken for stuck. */
const MIN_STUCK_AFTER_MS = 20;

/**
 * Estimated milliseconds until a replica holds `floor`. Infinite if its lag is
 * unknown, if it follows another term, or if it is stuck.
 */
export function catchUpMs(
  view: GroupView,
  replica: EndpointView,
  floor: Position,
  now: number,
): number {
  const {status, lagMs} = replica;
  const term = primaryOf(view)?.status?.term;
  if (!status || lagMs === undefined || status.term !== term) return Infinity;
  const missing = oldestSampleBeyond(view.samples, status.last);
  const stuckAfterMs = STUCK_AFTER_LAGS * lagMs + MIN_STUCK_AFTER_MS;
  if (missing && now - missing.askedAt > stuckAfterMs) {
    return Infinity;
  }
  const primaryReachedAt =
    oldestSampleReaching(view.samples, floor)?.askedAt ?? now;
  return Math.max(0, primaryReachedAt + lagMs - now);
}
