/** When a group's primary is to be changed, and who takes over. */
import {type Position, comparePositions} from '@quetzalreel/position';

/** Why a primary is replaced. */
export const Reason = {
  /** It refuses connections, or has not answered for too long. */
  Down: 'down',
  /** It was announced that it leaves. */
  Leaving: 'leaving',
  /** No endpoint of the group takes writes. */
  Missing: 'missing',
} as const;

/** One of the values of `Reason`. */
export type Reason = (typeof Reason)[keyof typeof Reason];

/** What is known of a group's primary. */
export interface PrimaryView {
  /** The endpoint that is believed to be the primary; undefined for none. */
  readonly primary: string | undefined;
  readonly leaving: boolean;
  /** Since when every try to reach it was refused at once. */
  readonly refusingSince: number | undefined;
  /** Since when nothing was heard of it though it was asked. */
  readonly unresponsiveSince: number | undefined;
  /** Since when the group has had no primary. */
  readonly missingSince: number | undefined;
}

/** How long evidence must hold, in milliseconds. */
export interface FailoverThresholds {
  readonly refusingMs: number;
  readonly unresponsiveMs: number;
  readonly missingMs: number;
}

/** The reason to replace the primary now; undefined for none. */
export function reasonToChange(
  view: PrimaryView,
  patience: FailoverThresholds,
  now: number,
): Reason | undefined {
  const holds = (since: number | undefined, forMs: number) =>
    since !== undefined && now - since >= forMs;
  if (!view.primary) {
    return holds(view.missingSince, patience.missingMs)
      ? Reason.Missing
      : undefined;
  }
  if (view.leaving) return Reason.Leaving;
  if (holds(view.refusingSince, patience.refusingMs)) return Reason.Down;
  if (holds(view.unresponsiveSince, patience.unresponsiveMs))
    return Reason.Down;
  return undefined;
}

/** An endpoint that may take over. */
export interface Candidate {
  readonly endpoint: string;
  /** What it has received of the log. */
  readonly received: Position;
}

/** The candidate that holds most; the first by name among equals, so that all
 * instances choose alike. */
export function mostAdvanced(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    const order = best
      ? comparePositions(candidate.received, best.received)
      : 1;
    const isFirst = best !== undefined && candidate.endpoint < best.endpoint;
    if (order > 0 || (order === 0 && isFirst)) best = candidate;
  }
  return best;
}
