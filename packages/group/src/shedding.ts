/**
 * Load shedding: the more staleness a read allows, the smaller the share of the
 * queue it may fill, so that it is refused earlier under overload.
 */
import type {QueueLimits} from './queue.js';
import type {GroupRequest} from './request.js';

/** From this `maxAgeMs` on, a read gets the smaller share. */
const LONG_MAX_AGE_MS = 1000;
/** Share of the queue for reads with a long `maxAgeMs`. */
const LONG_MAX_AGE_SHARE = 0.5;
/** Share of the queue for reads with a short `maxAgeMs`. */
const SHORT_MAX_AGE_SHARE = 0.75;

/** Share of the queue that a request may fill, above 0 and up to 1. */
export function queueShareOf(req: GroupRequest): number {
  const {maxAgeMs} = req.kind;
  if (req.needsPrimary || maxAgeMs === 0) return 1;
  return maxAgeMs >= LONG_MAX_AGE_MS ? LONG_MAX_AGE_SHARE : SHORT_MAX_AGE_SHARE;
}

/** Limits of the queue that apply to one request. */
export function queueLimitsFor(
  req: GroupRequest,
  limits: QueueLimits,
): QueueLimits {
  const share = queueShareOf(req);
  if (share === 1) return limits;
  return {
    maxWaiting: limits.maxWaiting * share,
    maxWaitingBytes: limits.maxWaitingBytes * share,
  };
}
