/** Limits how many lines of the log tell of one subject. */
import type {Clock} from '@quetzalreel/common';

/** Which lines are written. */
export interface LineLimit {
  /**
   * Asks to write a line. Returns how many lines were left out since the last one
   * that was written; undefined if this one is to be left out.
   */
  ask(): number | undefined;
}

/**
 * Allows `burst` lines at once. Each `intervalMs` allows one more, up to `burst`
 * again.
 */
export function lineLimit(
  clock: Clock,
  {burst, intervalMs}: {readonly burst: number; readonly intervalMs: number},
): LineLimit {
  let left = burst;
  let refilledAt = clock.now();
  let leftOut = 0;

  function refill(): void {
    const now = clock.now();
    const intervals = Math.floor((now - refilledAt) / intervalMs);
    left = Math.min(burst, left + intervals);
    // Nothing is refilled while none is missing.
    refilledAt = left === burst ? now : refilledAt + intervals * intervalMs;
  }

  return {
    ask() {
      refill();
      if (left === 0) {
        leftOut++;
        return undefined;
      }
      left--;
      const before = leftOut;
      leftOut = 0;
      return before;
    },
  };
}
