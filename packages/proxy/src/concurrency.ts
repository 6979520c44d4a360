/**
 * Limits the statements that this instance has in flight at one endpoint. When
 * all instances together overload an endpoint, its own queue ignores priorities
 * and deadlines, so statements that can't run soon wait in this instance
 * instead. The limit falls by a fixed share when the endpoint refuses a
 * statement as busy, and rises slowly with each statement that it runs.
 */

/** The current limit. */
export interface ConcurrencyLimit {
  readonly limit: number;
}

/** Initial and maximum limit, in statements per slot. */
const MAX_PER_SLOT = 2;
/** Minimum limit: one statement that runs while the next is in transit. */
const MIN_LIMIT = 2;
/** Factor applied to the limit after a refusal. */
const BUSY_FACTOR = 0.7;
/** Added to the limit after each statement that ran. */
const RUN_INCREMENT = 0.05;

/** The initial limit. */
export function initialLimit(slots: number): ConcurrencyLimit {
  return {limit: slots * MAX_PER_SLOT};
}

/**
 * Maximum number of statements that one of `holders` instances may have in
 * flight at an endpoint whose connections only they hold. An endpoint with a
 * long queue never refuses a statement, so refusals don't reveal that the
 * holders overload it; a statement that would wait in its queue beyond the
 * caller's timeout is better refused here.
 */
export function maxInFlightPerHolder(slots: number, holders: number): number {
  return Math.max(MIN_LIMIT, Math.ceil((slots * MAX_PER_SLOT) / holders));
}

/** The limit after the endpoint refused a statement as busy. */
export function afterBusy({limit}: ConcurrencyLimit): ConcurrencyLimit {
  return {limit: Math.max(MIN_LIMIT, limit * BUSY_FACTOR)};
}

/** The limit after the endpoint ran a statement. */
export function afterRun(
  {limit}: ConcurrencyLimit,
  slots: number,
): ConcurrencyLimit {
  return {limit: Math.min(slots * MAX_PER_SLOT, limit + RUN_INCREMENT)};
}
