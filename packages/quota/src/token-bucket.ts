/**
 * A token bucket whose tokens are granted before they are spent. Its level and
 * the granted tokens that may still be spent never exceed the burst together, so
 * that a window never sees more than its refill and one burst.
 */
import type {RateLimit} from './limits.js';

const MS_PER_SECOND = 1000;

/** A token bucket; times are monotonic milliseconds and never go back. */
export interface TokenBucket {
  setLimit(limit: RateLimit, now: number): void;
  level(now: number): number;
  /** Tokens that were granted and may still be spent. */
  outstanding(now: number): number;
  /**
   * Takes whole tokens, `wanted` at most. They are spent at once, unless they are
   * held.
   */
  take(wanted: number, now: number): number;
  /**
   * Counts taken tokens as outstanding for `holdMs` unless the grant is settled.
   */
  hold(grant: string, count: number, holdMs: number, now: number): void;
  /**
   * The tokens of a grant are not spent any more; `unused` of them never were
   * and return to the bucket.
   */
  settle(grant: string, unused: number, now: number): void;
  /** Time until the bucket holds `count` tokens, in milliseconds. */
  msUntil(count: number, now: number): number;
}

interface Grant {
  readonly count: number;
  readonly until: number;
}

/** Creates an empty bucket that refills from `startAt` on. */
export function tokenBucket(first: RateLimit, startAt: number): TokenBucket {
  const grants = new Map<string, Grant>();
  let firstEnd = Infinity;
  let limit = first;
  let outstanding = 0;
  let level = 0;
  let filledAt = startAt;

  function fillUntil(at: number): void {
    if (at > filledAt) {
      level += ((at - filledAt) * limit.ratePerSecond) / MS_PER_SECOND;
      filledAt = at;
    }
    level = Math.min(level, Math.max(0, limit.burst - outstanding));
  }

  function findFirstEnd(): void {
    firstEnd = Infinity;
    for (const {until} of grants.values()) firstEnd = Math.min(firstEnd, until);
  }

  /** The refill before a grant ends is capped with that grant outstanding. */
  function advance(now: number): void {
    while (firstEnd <= now) {
      fillUntil(firstEnd);
      for (const [name, {count, until}] of grants) {
        if (until > firstEnd) continue;
        grants.delete(name);
        outstanding -= count;
      }
      findFirstEnd();
    }
    fillUntil(now);
  }

  return {
    setLimit(next, now) {
      advance(now);
      limit = next;
      fillUntil(now);
    },
    level(now) {
      advance(now);
      return level;
    },
    outstanding(now) {
      advance(now);
      return outstanding;
    },
    take(wanted, now) {
      advance(now);
      const count = Math.min(wanted, Math.floor(level));
      level -= count;
      return count;
    },
    hold(grant, count, holdMs, now) {
      if (count <= 0) return;
      // A repeated request must not hide the tokens of the first.
      const before = grants.get(grant)?.count ?? 0;
      const until = now + holdMs;
      grants.set(grant, {count: before + count, until});
      outstanding += count;
      findFirstEnd();
    },
    settle(grant, unused, now) {
      advance(now);
      const granted = grants.get(grant);
      if (!granted) return;
      grants.delete(grant);
      findFirstEnd();
      outstanding -= granted.count;
      level += Math.min(unused, granted.count);
      fillUntil(now);
    },
    msUntil(count, now) {
      advance(now);
      if (level >= count) return 0;
      const {ratePerSecond, burst} = limit;
      const refillMs = ((count - level) * MS_PER_SECOND) / ratePerSecond;
      const waitMs = Math.max(0, filledAt - now) + refillMs;
      if (burst - outstanding >= count) return waitMs;
      return Math.max(waitMs, Math.max(now, firstEnd) - now);
    },
  };
}
