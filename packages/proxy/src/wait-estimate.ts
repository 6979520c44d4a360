/**
 * Estimates how long a request would wait, from the recent rate at which waiting
 * requests of its rank were served; higher ranks are served first. In a burst above
 * the capacity, a request that can't be served by its deadline is refused at once,
 * so that its caller can try elsewhere.
 */
import type {QueueRank, QueuedRequest, WaitQueue} from './wait-queue.js';

/** Estimates for all requests of a queue; times are monotonic milliseconds. */
export interface WaitEstimates {
  /** Records that a waiting request was served. */
  noteServed(req: QueuedRequest, now: number): void;
  /** Notes of which ranks requests wait; called after each dispatch. */
  review(now: number): void;
  /** Expected wait of a new request, in milliseconds; 0 if it can't be told. */
  waitMs(req: QueuedRequest, now: number): number;
  /** The same of a request that has become late. */
  lateWaitMs(req: QueuedRequest, now: number): number;
}

/** What was served of one kind of requests while some of them waited. */
interface ServedCount {
  /** Since when some wait; undefined while none does. */
  since: number | undefined;
  served: number;
}

/** The counts of one rank. */
interface RankCounts {
  readonly rank: QueueRank;
  readonly onTime: ServedCount;
  /** Of those past their objective, which are served after all others. */
  readonly late: ServedCount;
}

/** Served requests from which a rate is computed. */
const MIN_SERVED = 8;
/**
 * A request counts as served in time if its expected wait is at most this share of
 * the time until its objective.
 */
const IN_TIME_SHARE = 0.8;
/** Half-life of the counts of served requests, in milliseconds. */
const WINDOW_MS = 500;

function noCount(): ServedCount {
  return {since: undefined, served: 0};
}

function reviewCount(count: ServedCount, waiting: number, now: number): void {
  if (waiting === 0) {
    count.since = undefined;
    count.served = 0;
    return;
  }
  count.since ??= now;
  const elapsedMs = now - count.since;
  if (count.served < 1 || elapsedMs < 2 * WINDOW_MS) return;
  count.since = now - elapsedMs / 2;
  count.served /= 2;
}

/** Time for serving `waiting` requests at the rate of the count. */
function timeFor(count: ServedCount, waiting: number, now: number): number {
  if (count.since === undefined || waiting === 0) return 0;
  // Without any, the rate is below one in the time that has passed.
  return (waiting * (now - count.since)) / Math.max(1, count.served);
}

/** Creates the estimates for a queue. */
export function waitEstimates<T extends QueuedRequest>(
  queue: WaitQueue<T>,
): WaitEstimates {
  const byRank = new Map<string, RankCounts>();

  function countsOf({primaryOnly, priority}: QueueRank): RankCounts {
    const key = `${primaryOnly} ${priority}`;
    const known = byRank.get(key);
    if (known) return known;
    const rank = {primaryOnly, priority};
    const counts = {rank, onTime: noCount(), late: noCount()};
    byRank.set(key, counts);
    return counts;
  }

  return {
    noteServed(req, now) {
      const {onTime, late} = countsOf(req);
      const count = req.objectiveAt <= now ? late : onTime;
      count.served++;
    },
    review(now) {
      for (const {rank, onTime, late} of byRank.values()) {
        reviewCount(onTime, queue.waiting(rank, false), now);
        reviewCount(late, queue.waiting(rank, true), now);
      }
    },
    waitMs(req, now) {
      const {onTime, late} = countsOf(req);
      // While nothing is served, as during a change of primary, the end of that is
      // waited for.
      if (onTime.served < MIN_SERVED) return 0;
      const waitMs = timeFor(onTime, queue.waiting(req, false), now);
      const untilLateMs = req.objectiveAt - now;
      if (waitMs <= untilLateMs * IN_TIME_SHARE) return waitMs;
      return untilLateMs + timeFor(late, queue.waiting(req, true), now);
    },
    lateWaitMs(req, now) {
      const {onTime, late} = countsOf(req);
      if (onTime.served < MIN_SERVED) return 0;
      return timeFor(late, queue.waiting(req, true), now);
    },
  };
}
