/** Decides when to replace a group's primary, and by which candidate. */
import {type Position, comparePositions} from '@quetzalreel/position';

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

/** An endpoint that may become the primary. */
export interface Candidate {
  readonly endpoint: string;
  /** The end of the log that it has received. */
  readonly received: Position;
  /** Whether it leaves, and will have to be replaced again. */
  readonly isLeaving: boolean;
}

/**
 * The candidate with the latest position. Of several that have it, one that stays
 * comes first, then the first by name, so that all instances choose the same one.
 */
export function mostAdvanced(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (!best || comesBefore(candidate, best)) best = candidate;
  }
  return best;
}

function comesBefore(a: Candidate, b: Candidate): boolean {
  const order = comparePositions(a.received, b.received);
  if (order !== 0) return order > 0;
  if (a.isLeaving !== b.isLeaving) return b.isLeaving;
  return a.endpoint < b.endpoint;
}
