/**
 * Estimates how long a request would wait, from the rate at which waiting requests
 * were served since there have been any. Answers the load of a burst above the
 * capacity: a request that can't be served in its time learns so at once, and its
 * caller can try elsewhere, in place of waiting until its deadline.
 */

/** The rate of one queue; times are monotonic milliseconds. */
export interface WaitEstimate {
  /** Records that a waiting request was served. */
  noteServed(now: number): void;
  /** Records that nothing waits any more. */
  noteEmpty(): void;
  /**
   * Expected wait behind `ahead` requests, in milliseconds; 0 while too few were
   * served to tell.
   */
  waitMs(ahead: number, now: number): number;
}

/** Served requests from which a rate is computed. */
const MIN_SERVED = 8;
/** Time after which older requests count half, in milliseconds. */
const WINDOW_MS = 500;

/** Starts without a rate. */
export function waitEstimate(): WaitEstimate {
  /** When the first of the counted requests was served. */
  let since: number | undefined;
  let served = 0;

  return {
    noteServed(now) {
      if (since === undefined) {
        since = now;
        served = 0;
        return;
      }
      served++;
      if (now - since < 2 * WINDOW_MS) return;
      since = now - (now - since) / 2;
      served /= 2;
    },
    noteEmpty() {
      since = undefined;
    },
    waitMs(ahead, now) {
      if (since === undefined || served < MIN_SERVED) return 0;
      return (ahead * (now - since)) / served;
    },
  };
}
