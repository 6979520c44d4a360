/**
 * Chooses the endpoint for a statement. Many short reads compete with writes,
 * which only the primary can serve: reads are spread by expected statement
 * time, and the own data centre is preferred when it is no slower.
 */
import {type Position, isAtLeast} from '@quetzalreel/position';

/** The requirements of a statement on an endpoint. */
export interface Need {
  /** Whether only the primary can serve it. */
  readonly primaryOnly: boolean;
  /**
   * Position that the log must have reached; undefined when the primary is
   * needed or any position will do.
   */
  readonly atLeast: Position | undefined;
  /** Endpoints that are excluded after a failed attempt of this statement. */
  readonly avoid: ReadonlySet<string>;
  /** The only endpoint allowed; undefined for any. */
  readonly only?: string | undefined;
  /** Whether the connection must be direct, without relay. */
  readonly directOnly?: boolean | undefined;
}

/** The need that any endpoint satisfies. */
export const ANY_ENDPOINT: Need = {
  primaryOnly: false,
  atLeast: undefined,
  avoid: new Set(),
};

/** The need that only the primary satisfies. */
export const PRIMARY_NEED: Need = {
  primaryOnly: true,
  atLeast: undefined,
  avoid: new Set(),
};

/** An endpoint as an option for running a statement. */
export interface PlacementOption {
  readonly id: string;
  readonly isPrimary: boolean;
  /** Whether it answers, as far as is known, and accepts new work. */
  readonly usable: boolean;
  readonly position: Position | undefined;
  /** Age of `position`, in milliseconds. */
  readonly positionAgeMs: number;
  /**
   * Age of `position` beyond which the endpoint may have caught up, in
   * milliseconds.
   */
  readonly catchUpDelayMs: number;
  /** Moving average of the statement time, in milliseconds. */
  readonly answerMs: number;
  readonly inFlight: number;
  readonly slots: number;
  /** Added to the statement time for another data centre, in milliseconds. */
  readonly distanceMs: number;
  /** Whether this instance may send it another statement now. */
  readonly isBelowLimit: boolean;
  /** Whether the statement can be sent to it immediately. */
  readonly hasCapacity: boolean;
}

/** Why an endpoint does not get a statement now. */
export const Obstacle = {
  /** It does not answer, or accepts no new work. */
  Unusable: 'unusable',
  /** An earlier attempt of the statement failed there. */
  Tried: 'tried',
  /** Another endpoint is the only one allowed. */
  NotAllowed: 'notAllowed',
  NotPrimary: 'notPrimary',
  /** Its log position is unknown. */
  NoPosition: 'noPosition',
  /** Its log has not reached the position. */
  Behind: 'behind',
  /** As many statements are in flight as this instance may send. */
  AtLimit: 'atLimit',
  /** No connection is idle. */
  NoConnection: 'noConnection',
} as const;

/** One of the values of `Obstacle`. */
export type Obstacle = (typeof Obstacle)[keyof typeof Obstacle];

/** Why `option` can't serve `need`, whatever its capacity. */
export function obstacleTo(
  option: PlacementOption,
  need: Need,
): Obstacle | undefined {
  if (!option.usable) return Obstacle.Unusable;
  if (need.avoid.has(option.id)) return Obstacle.Tried;
  if (need.only !== undefined && need.only !== option.id)
    return Obstacle.NotAllowed;
  if (need.primaryOnly)
    return option.isPrimary ? undefined : Obstacle.NotPrimary;
  if (!need.atLeast || option.isPrimary) return undefined;
  if (!option.position) return Obstacle.NoPosition;
  if (isAtLeast(option.position, need.atLeast)) return undefined;
  const mayHaveCaughtUp = option.positionAgeMs > option.catchUpDelayMs;
  return mayHaveCaughtUp ? undefined : Obstacle.Behind;
}

/** Whether `option` can serve `need`, now or once it has capacity. */
export function canServe(option: PlacementOption, need: Need): boolean {
  return obstacleTo(option, need) === undefined;
}

/** What `option` lacks to get a statement immediately. */
export function missingCapacity(option: PlacementOption): Obstacle | undefined {
  if (option.hasCapacity) return undefined;
  return option.isBelowLimit ? Obstacle.NoConnection : Obstacle.AtLimit;
}

/**
 * Factor on the expected time at the primary: there a read also delays the work
 * that no other endpoint can run.
 */
const PRIMARY_FACTOR = 2;

/**
 * Expected time of another statement, in milliseconds; at the primary it is
 * weighted.
 */
export function costOf(option: PlacementOption): number {
  const queued = Math.max(0, option.inFlight + 1 - option.slots);
  const waitMs = (queued / option.slots) * option.answerMs;
  const factor = option.isPrimary ? PRIMARY_FACTOR : 1;
  return (option.answerMs + waitMs) * factor + option.distanceMs;
}

/**
 * The option with the lowest expected time among those that have capacity and
 * can serve the statement. Undefined: the statement waits, or is given up when
 * no option can serve it.
 */
export function choosePlacement(
  options: readonly PlacementOption[],
  need: Need,
): PlacementOption | undefined {
  let best: PlacementOption | undefined;
  let bestCost = Infinity;
  for (const option of options) {
    if (missingCapacity(option) || !canServe(option, need)) continue;
    const cost = costOf(option);
    if (cost >= bestCost) continue;
    best = option;
    bestCost = cost;
  }
  return best;
}
