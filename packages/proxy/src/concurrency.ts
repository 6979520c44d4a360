/**
 * How many statements this instance has under way at one endpoint. Answers the
 * load of an endpoint that all instances overfill: its own queue knows neither
 * priority nor lateness, so what can't run soon waits here instead. The limit
 * falls by a share when the endpoint refuses a statement as busy, and rises
 * slowly with each one that it runs.
 */

/** A limit as it is now. */
export interface ConcurrencyLimit {
  readonly limit: number;
}

/** Statements for each slot that are allowed at first, and at most. */
const MOST_PER_SLOT = 2;
/** Least that is allowed: one that runs while the next is on its way. */
const LEAST = 2;
/** What is left of the limit after a refusal. */
const DECREASE = 0.7;
/** What the limit gains by one statement that ran. */
const INCREASE = 0.05;

/** The limit before anything was sent. */
export function initialLimit(slots: number): ConcurrencyLimit {
  return {limit: slots * MOST_PER_SLOT};
}

/**
 * Most statements that one of `sharers` instances may have under way at an
 * endpoint whose connections only they hold. An endpoint with a long queue
 * refuses nothing, so no refusal tells that they overfill it; what would wait
 * in its queue for longer than its caller does is better refused here.
 */
export function maxInFlightPerHolder(slots: number, sharers: number): number {
  return Math.max(LEAST, Math.ceil((slots * MOST_PER_SLOT) / sharers));
}

/** The limit after the endpoint refused a statement as busy. */
export function afterBusy({limit}: ConcurrencyLimit): ConcurrencyLimit {
  return {limit: Math.max(LEAST, limit * DECREASE)};
}

/** The limit after the endpoint ran a statement. */
export function afterRun(
  {limit}: ConcurrencyLimit,
  slots: number,
): ConcurrencyLimit {
  return {limit: Math.min(slots * MOST_PER_SLOT, limit + INCREASE)};
}
