/** Decides when to replace a group's primary. */

/** Why a primary is replaced. */
export const ChangeReason = {
  /** It refuses connections, or has been unresponsive for too long. */
  Down: 'down',
  /** It is listed as leaving, and able to hand over if it must. */
  Leaving: 'leaving',
  /** No endpoint of the group accepts writes. */
  Missing: 'missing',
} as const;

/** One of the values of `Reason`. */
export type ChangeReason = (typeof ChangeReason)[keyof typeof ChangeReason];

/** Observed state of a group's primary. */
export interface PrimaryView {
  /** The endpoint believed to be the primary; undefined if there is none. */
  readonly primary: string | undefined;
  readonly leaving: boolean;
  /**
   * Whether the successor of one that leaves must hold its whole log. A planned
   * change then needs its answers.
   */
  readonly mustHandOver: boolean;
  /** Time since which every connection attempt was refused immediately. */
  readonly refusingSince: number | undefined;
  /** Send time of the oldest request without a response from it. */
  readonly unresponsiveSince: number | undefined;
  /** Time since which no primary of the group is known. */
  readonly missingSince: number | undefined;
}

/** How long a condition must last to replace the primary, in milliseconds. */
export interface FailoverThresholds {
  readonly refusingMs: number;
  readonly unresponsiveMs: number;
  readonly missingMs: number;
}

/** Returns the reason to replace the primary now; undefined if none. */
export function reasonToChange(
  view: PrimaryView,
  thresholds: FailoverThresholds,
  now: number,
): ChangeReason | undefined {
  const hasLasted = (since: number | undefined, forMs: number) =>
    since !== undefined && now - since >= forMs;
  if (!view.primary) {
    return hasLasted(view.missingSince, thresholds.missingMs)
      ? ChangeReason.Missing
      : undefined;
  }
  const isDown =
    hasLasted(view.refusingSince, thresholds.refusingMs) ||
    hasLasted(view.unresponsiveSince, thresholds.unresponsiveMs);
  const canLeave = !isDown || !view.mustHandOver;
  if (view.leaving && canLeave) return ChangeReason.Leaving;
  return isDown ? ChangeReason.Down : undefined;
}
