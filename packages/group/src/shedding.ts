/**
 * Which requests are refused first under overload: the older a read's data may
 * be, the smaller the part of the queue that it may fill.
 */
import type {QueueLimits} from './queue.js';
import type {GroupRequest} from './request.js';

/** Age from which a read counts as one that may be old, in milliseconds. */
const OLD_MS = 1000;
/** Part of the queue for reads that may be old. */
const OLD_SHARE = 0.5;
/** Part of the queue for reads that may be a little old. */
const YOUNG_SHARE = 0.75;

/** Part of the queue that a request may fill, above 0 and up to 1. */
export function queueShareOf(req: GroupRequest): number {
  const {maxAgeMs} = req.kind;
  if (req.needsPrimary || maxAgeMs === 0) return 1;
  return maxAgeMs >= OLD_MS ? OLD_SHARE : YOUNG_SHARE;
}

/** The bounds of the queue for one request. */
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
