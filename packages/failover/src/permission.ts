/**
 * Permission to use a primary where a replaced one goes on acknowledging. It is
 * held for a limited time after the instance learned that its change records
 * are complete: from a majority of the witnesses, or by reading the lease in
 * the store. Whoever orders an unplanned change has written it to the lease and
 * has told a majority of the witnesses, so that no permission can be renewed
 * without learning of the change, and waits until the older ones have lapsed.
 */

/** How long permission lasts, in milliseconds, by where it comes from. */
export interface PermissionLimits {
  /** After the request that a majority of the witnesses answered was sent. */
  readonly witnessMs: number;
  /**
   * After the read of the lease was sent. Shorter: a change waits this long for
   * every instance that did not confirm it.
   */
  readonly storeMs: number;
}

/** When permission was last renewed. Monotonic ms; -Infinity for never. */
export interface Permission {
  readonly byWitnessesAt: number;
  readonly byStoreAt: number;
}

/** Never renewed, or void after a suspension of the process. */
export const NO_PERMISSION: Permission = {
  byWitnessesAt: -Infinity,
  byStoreAt: -Infinity,
};

/** When the permission ends, in monotonic milliseconds. */
export function permittedUntil(
  {byWitnessesAt, byStoreAt}: Permission,
  {witnessMs, storeMs}: PermissionLimits,
): number {
  return Math.max(byWitnessesAt + witnessMs, byStoreAt + storeMs);
}

/** Whether `count` of `total` witnesses are a majority. */
export function isMajority(count: number, total: number): boolean {
  return count * 2 > total;
}

/** What the instances answered to the announcement of a change. */
export interface Confirmations {
  /** When the last confirmation arrived. Monotonic milliseconds. */
  readonly confirmedBy: number;
  /** Instances that were told, without the one that orders. */
  readonly told: readonly string[];
  /** Those that stopped using the old primary. */
  readonly confirmed: ReadonlySet<string>;
  /** Whether an instance knows of a change with a higher fence. */
  readonly isOutdated: boolean;
  /** The witnesses, which may include the one that orders. */
  readonly witnesses: readonly string[];
  /** Instances whose permission a witness renewed within `witnessMs`. */
  readonly renewed: ReadonlySet<string>;
}

/** When an announced change may be ordered. */
export type OrderTime =
  /** At this time, in monotonic milliseconds; it may be past. */
  | {readonly type: 'at'; readonly at: number}
  /** Not at all; `why` says what is missing. */
  | {readonly type: 'never'; readonly why: string};

/**
 * Determines when no instance can hold permission to use the old primary any
 * more. `writtenAt` is when the store acknowledged the change in the lease;
 * undefined if it was not written, and then every instance must confirm.
 */
export function orderTime(
  self: string,
  confirmations: Confirmations,
  writtenAt: number | undefined,
  limits: PermissionLimits,
): OrderTime {
  const {confirmedBy, told, confirmed, isOutdated} = confirmations;
  if (isOutdated) return {type: 'never', why: 'a newer change is known'};
  const open = told.filter(name => !confirmed.has(name));
  if (open.length === 0) return {type: 'at', at: confirmedBy};
  if (writtenAt === undefined) {
    const why = 'without the store every instance must confirm';
    return {type: 'never', why};
  }
  const {witnesses, renewed} = confirmations;
  const agreeing = witnesses.filter(
    name => name === self || confirmed.has(name),
  );
  if (!isMajority(agreeing.length, witnesses.length)) {
    return {type: 'never', why: 'no majority of the witnesses confirmed'};
  }
  const byStore = writtenAt + limits.storeMs;
  if (!open.some(name => renewed.has(name))) return {type: 'at', at: byStore};
  // A witness may have renewed a permission until it confirmed the change.
  const byWitnesses = confirmedBy + limits.witnessMs;
  return {type: 'at', at: Math.max(byStore, byWitnesses)};
}
