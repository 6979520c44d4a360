/**
 * When a log that lacked what a read must see is tried again. Answers the load
 * of replicas that lag by seconds: each try costs a way to the endpoint and
 * back, and makes the read late that the primary could have served.
 */

/** How often in a row reads were refused by a log that was behind. */
export interface CatchUpBackoff {
  readonly refusals: number;
}

/** A log that serves what it is asked. */
export const NO_REFUSALS: CatchUpBackoff = {refusals: 0};

/** Before the first further try, in milliseconds; a typical lag and its
 * spread. */
const FIRST_MS = 150;
/** The longest time, in milliseconds: about a third of the staleness that most
 * routes allow, so that a replica that is back is soon of use. */
const MOST_MS = 1200;

/** After one more refusal. */
export function afterBehind({refusals}: CatchUpBackoff): CatchUpBackoff {
  return {refusals: refusals + 1};
}

/** Time since it was heard of after which it may have caught up, in
 * milliseconds; doubled with each refusal. */
export function catchUpDelayMs({refusals}: CatchUpBackoff): number {
  return Math.min(MOST_MS, FIRST_MS * 2 ** Math.max(0, refusals - 1));
}
