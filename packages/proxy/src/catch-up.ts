/**
 * Backoff for reads on a replica that was behind the required position. With
 * replicas that lag by seconds, each early retry costs a round trip to the
 * endpoint and delays a read that the primary could have served.
 */

/** Number of consecutive reads that the endpoint refused as `behind`. */
export interface CatchUpBackoff {
  readonly refusals: number;
}

/** The state of an endpoint whose last read was not refused. */
export const NO_REFUSALS: CatchUpBackoff = {refusals: 0};

/**
 * Delay before the first retry, in milliseconds; covers a typical lag and its
 * spread.
 */
const FIRST_RETRY_MS = 150;
/**
 * Maximum delay, in milliseconds: about a third of the staleness that most
 * routes allow, so that a replica that has caught up is soon used again.
 */
const MAX_RETRY_MS = 1200;

/** The state after another refusal. */
export function afterRefusal({refusals}: CatchUpBackoff): CatchUpBackoff {
  return {refusals: refusals + 1};
}

/**
 * Time since the last contact after which the replica may have caught up, in
 * milliseconds; doubles with each refusal.
 */
export function catchUpDelayMs({refusals}: CatchUpBackoff): number {
  return Math.min(
    MAX_RETRY_MS,
    FIRST_RETRY_MS * 2 ** Math.max(0, refusals - 1),
  );
}
