/**
 * Pauses between attempts that fail. Answers the load of a fleet that is too
 * busy to see its endpoints: attempts that follow each other at once keep it so.
 */

/** Bounds of a pause, in milliseconds. */
export interface BackoffBounds {
  readonly firstMs: number;
  readonly mostMs: number;
}

/**
 * The pause after `failures` failed attempts in a row, in milliseconds; doubled
 * with each one after the first.
 */
export function backoffMs(failures: number, bounds: BackoffBounds): number {
  const {firstMs, mostMs} = bounds;
  return Math.min(mostMs, firstMs * 2 ** Math.max(0, failures - 1));
}
