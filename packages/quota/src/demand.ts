/** The recent rate of operations of one account on this instance. */

/** Time over which the rate is averaged, in milliseconds. */
const AVERAGE_MS = 1000;

/** The demand of one account. */
export interface Demand {
  note(now: number): void;
  /** Operations that the recent rate lets expect in the next `ms`. */
  expected(ms: number, now: number): number;
}

/** Starts without operations. */
export function demand(): Demand {
  let weight = 0;
  let at = 0;

  function decay(now: number): void {
    weight *= Math.exp((at - now) / AVERAGE_MS);
    at = now;
  }

  return {
    note(now) {
      decay(now);
      weight++;
    },
    expected(ms, now) {
      decay(now);
      return (weight * ms) / AVERAGE_MS;
    },
  };
}
