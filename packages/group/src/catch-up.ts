/**
 * Whether to wait for a replica that is behind. A replica's lag is the time by
 * which it holds records later than the primary, as measured while it moved.
 */
import type {Position} from '@quetzalreel/position';
import {oldestSampleBeyond, oldestSampleReaching} from './samples.js';
import {type EndpointView, type GroupView, primaryOf} from './view.js';

/** Part of a read's whole time that may be spent on waiting for a replica. */
export const MAX_WAIT_FRACTION = 0.01;

/** Delay beyond its lag, in lags, after which a replica counts as stuck. */
const STUCK_LAGS = 2;
/** Least such delay, for a replica whose lag is very small. */
const STUCK_SLACK_MS = 20;

/**
 * Milliseconds until a replica will probably hold `floor`; infinite when
 * nothing was measured, or when it is later than its lag already.
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
  const patience = STUCK_LAGS * lagMs + STUCK_SLACK_MS;
  if (missing && now - missing.askedAt > patience) return Infinity;
  const held = oldestSampleReaching(view.samples, floor)?.askedAt ?? now;
  return Math.max(0, held + lagMs - now);
}
