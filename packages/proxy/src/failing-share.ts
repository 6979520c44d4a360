/**
 * Estimates the share of an endpoint's reads that it answers with FAILED. Reads
 * fail for reasons of the caller as well, at all endpoints alike, so the share
 * is compared with that of the group's other endpoints.
 */

/** The estimate for one endpoint. */
export interface FailingShare {
  readonly share: number;
  /** Time of the last sample, in monotonic milliseconds. */
  readonly at: number;
}

/** The state before the first read. */
export const NONE_FAILED: FailingShare = {share: 0, at: -Infinity};

/** Weight of a read in the moving average. */
const SAMPLE_WEIGHT = 0.1;
/**
 * Time without reads in which the share halves, in milliseconds: the endpoint is
 * tried again.
 */
const HALF_LIFE_MS = 2000;

/** The share at `now`. */
export function failingShareAt({share, at}: FailingShare, now: number): number {
  if (share === 0) return 0;
  return share * 0.5 ** ((now - at) / HALF_LIFE_MS);
}

/** The state after a read that `failed` or ran. */
export function afterRead(
  known: FailingShare,
  failed: boolean,
  now: number,
): FailingShare {
  const before = failingShareAt(known, now);
  const share = before + (Number(failed) - before) * SAMPLE_WEIGHT;
  return {share, at: now};
}
