/**
 * Where a statement goes. Answers the load of many short reads beside a
 * primary that only it can serve writes: reads spread by the time that
 * statements take, the own data centre first when it is no slower.
 */
import {type Position, isAtLeast} from '@quetzalreel/position';

/** What a statement needs. */
export interface Need {
  /** Only the primary can serve it. */
  readonly primaryOnly: boolean;
  /** What the log must hold; undefined when the primary is needed or when
   * nothing is asked. */
  readonly atLeast: Position | undefined;
  /** Endpoints that have failed this statement already. */
  readonly avoid: ReadonlySet<string>;
  /** The only endpoint that will do; undefined for any. */
  readonly only?: string | undefined;
  /** Whether it must be a connection of this instance's own. */
  readonly directOnly?: boolean | undefined;
}

/** No need but an endpoint. */
export const ANY_ENDPOINT: Need = {
  primaryOnly: false,
  atLeast: undefined,
  avoid: new Set(),
};

/** The need of what only the primary can serve. */
export const PRIMARY_NEED: Need = {
  primaryOnly: true,
  atLeast: undefined,
  avoid: new Set(),
};

/** An endpoint as placing sees it. */
export interface PlacementOption {
  readonly id: string;
  readonly isPrimary: boolean;
  /** Answers, as far as is known, and takes new work. */
  readonly usable: boolean;
  readonly position: Position | undefined;
  /** Age of `position`, in milliseconds. */
  readonly positionAgeMs: number;
  /** Age of `position` beyond which it may have caught up, in milliseconds. */
  readonly catchUpDelayMs: number;
  /** Smoothed time of a statement, in milliseconds. */
  readonly answerMs: number;
  readonly inFlight: number;
  readonly slots: number;
  /** Extra time for its distance, in milliseconds. */
  readonly distanceMs: number;
  /** Whether a statement can be sent to it at once. */
  readonly hasCapacity: boolean;
  /** The same on a connection of this instance's own. */
  readonly hasDirectCapacity: boolean;
}

/** Whether `place` can serve `need`, now or when it has room. */
export function canServe(place: PlacementOption, need: Need): boolean {
  if (!place.usable || need.avoid.has(place.id)) return false;
  if (need.only !== undefined && need.only !== place.id) return false;
  if (need.primaryOnly) return place.isPrimary;
  if (!need.atLeast || place.isPrimary) return true;
  if (!place.position) return false;
  if (isAtLeast(place.position, need.atLeast)) return true;
  return place.positionAgeMs > place.catchUpDelayMs;
}

/** Expected time of one more statement, in milliseconds. */
export function costOf(place: PlacementOption): number {
  const queued = Math.max(0, place.inFlight + 1 - place.slots);
  const waitMs = (queued / place.slots) * place.answerMs;
  return place.answerMs + waitMs + place.distanceMs;
}

/**
 * The place for a statement: the cheapest one with room, unless one without
 * is so much cheaper that waiting pays. Undefined: wait, or give up when no
 * place can serve it.
 */
export function choosePlacement(
  places: readonly PlacementOption[],
  need: Need,
): PlacementOption | undefined {
  let best: PlacementOption | undefined;
  let bestCost = Infinity;
  for (const place of places) {
    const hasRoom = need.directOnly
      ? place.hasDirectCapacity
      : place.hasCapacity;
    if (!hasRoom || !canServe(place, need)) continue;
    const cost = costOf(place);
    if (cost >= bestCost) continue;
    best = place;
    bestCost = cost;
  }
  return best;
}
