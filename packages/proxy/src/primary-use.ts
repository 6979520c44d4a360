/**
 * Decides whether this instance may use a primary. A platform that checks
 * fences makes a replaced primary stop by itself. Elsewhere it goes on
 * acknowledging commits until it is told to step down, and so it does everywhere
 * between the choice of its successor and the promotion. Where that matters, an
 * instance needs permission, and stops using a primary that a known change
 * replaces.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {
  type ChangeRecord,
  type Permission,
  NO_PERMISSION,
  type PrimaryChanger,
  isMajority,
  permittedUntil,
} from '@quetzalreel/failover';
import type {SuspensionDetector} from '@quetzalreel/freshness';
import type {StoreEra} from '@quetzalreel/object-store';
import {PERMISSION_LIMITS, TIMES} from './defaults.js';
import type {GroupRuntime} from './group-types.js';
import type {Log} from './log.js';
import type {Witnesses} from './peers.js';
import type {GroupPolicy} from './routes.js';

/** Whether the primaries of groups may be used. */
export interface PrimaryUse {
  /** Whether permission is held; always true if replaced primaries stop. */
  readonly isPermitted: boolean;
  /** Whether permission was held before and is not now. */
  readonly hasLapsed: boolean;
  /**
   * The newest change of the group if it makes another endpoint the primary;
   * undefined if there is none. The endpoint may not be the one that the change
   * names as replaced: its entry may have lapsed before the change, and be back.
   */
  replacementOf(group: string, endpoint: string): ChangeRecord | undefined;
}

/** A use that is renewed until the proxy stops. */
export interface RenewedPrimaryUse extends PrimaryUse {
  /**
   * Whether the witnesses have confirmed the change records in an era of the
   * store, when asked at `since` or later. Monotonic ms.
   */
  hasAllChanges(era: number, since: number): boolean;
  /** Renews the permission when it is due. */
  tick(): void;
}

/**
 * For platforms that make a replaced primary stop, where acknowledged commits may
 * be lost with it.
 */
export const ALWAYS_PERMITTED: PrimaryUse = {
  isPermitted: true,
  hasLapsed: false,
  replacementOf: () => undefined,
};

/**
 * Whether instances need permission to use a group's primary, so that it is out of
 * use before its successor is ordered.
 */
export function needsPermission(
  {syncReplicas}: GroupPolicy,
  replacedPrimaryStops: boolean,
): boolean {
  return !replacedPrimaryStops || syncReplicas > 0;
}

/** Whether this instance holds connections to a primary that needs permission. */
export function usesPrimary(
  groups: Iterable<GroupRuntime>,
  replacedPrimaryStops: boolean,
): boolean {
  for (const {policy, primary, links} of groups) {
    if (!needsPermission(policy, replacedPrimaryStops)) continue;
    const used = primary ? [primary] : links.values();
    for (const {plan, directConnections} of used) {
      if (plan.isHolder || directConnections > 0) return true;
    }
  }
  return false;
}

/** The use of one group's primary, which needs permission while `isNeeded()`. */
export function groupPrimaryUse(
  renewed: PrimaryUse,
  isNeeded: () => boolean,
): PrimaryUse {
  const use = () => (isNeeded() ? renewed : ALWAYS_PERMITTED);
  return {
    get isPermitted() {
      return use().isPermitted;
    },
    get hasLapsed() {
      return use().hasLapsed;
    },
    replacementOf: (group, endpoint) => use().replacementOf(group, endpoint),
  };
}

/** Dependencies of a renewed use. */
export interface PrimaryUseContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly suspensionDetector: SuspensionDetector;
  readonly changer: PrimaryChanger;
  /** The era of the store. */
  readonly era: StoreEra;
  /** Undefined until the list of instances is known. */
  readonly witnesses: () => Witnesses | undefined;
  /**
   * Makes sure that all instances that have an entry by now are known; resolves to
   * whether they are.
   */
  readonly confirmPeers: () => Promise<boolean>;
  /** Whether those that change a primary can know this instance. */
  readonly hasEntry: () => boolean;
  /** Whether this instance holds connections to a primary that needs permission. */
  readonly usesPrimary: () => boolean;
}

/** Starts without permission. */
export function renewedPrimaryUse(
  context: PrimaryUseContext,
): RenewedPrimaryUse {
  const {clock, log, suspensionDetector: guard, changer} = context;
  let permission: Permission = NO_PERMISSION;
  let seenSuspensions = guard.suspensionCount();
  let wasPermitted = false;
  let wasEverPermitted = false;
  /** The last era in which the witnesses have confirmed the records. */
  let confirmedIn: number | undefined;
  let askedWitnessesAt = -Infinity;
  let askedStoreAt = -Infinity;

  /** Drops the permission after a suspension: its age is not known then. */
  function checkClock(): void {
    const suspensions = guard.suspensionCount();
    if (suspensions === seenSuspensions) return;
    seenSuspensions = suspensions;
    permission = NO_PERMISSION;
    askedWitnessesAt = -Infinity;
    askedStoreAt = -Infinity;
  }

  function isPermitted(): boolean {
    checkClock();
    return clock.now() < permittedUntil(permission, PERMISSION_LIMITS);
  }

  /** Runs `renew` unless the process was suspended since `suspensions`. */
  function renewUnlessSuspended(suspensions: number, renew: () => void): void {
    checkClock();
    if (seenSuspensions === suspensions) renew();
    noteChange();
  }

  async function askWitnesses(): Promise<void> {
    const sentAt = clock.now();
    const suspensions = seenSuspensions;
    const era = context.era.current;
    askedWitnessesAt = sentAt;
    // Of those that start together, each could be its own majority.
    if (!(await context.confirmPeers())) return;
    const witnesses = context.witnesses();
    if (!witnesses) return;
    const {peers, includesSelf} = witnesses;
    const total = peers.length + Number(includesSelf);
    const renew = () => {
      const byWitnessesAt = Math.max(permission.byWitnessesAt, sentAt);
      permission = {...permission, byWitnessesAt};
    };
    const onAnswer = (answers: number) => {
      const agreeing = answers + Number(includesSelf);
      if (!isMajority(agreeing, total)) return;
      confirmedIn = era;
      renewUnlessSuspended(suspensions, renew);
    };
    if (peers.length === 0) onAnswer(0);
    else witnesses.confirmChanges(peers, onAnswer);
  }

  async function readStore(): Promise<void> {
    const sentAt = clock.now();
    const suspensions = seenSuspensions;
    askedStoreAt = sentAt;
    try {
      const hasAll = await changer.readLease();
      if (!hasAll) {
        log.info({event: 'leaseIncomplete', era: context.era.current});
        return;
      }
      renewUnlessSuspended(suspensions, () => {
        permission = {...permission, byStoreAt: sentAt};
      });
    } catch (err) {
      log.info({event: 'leaseNotReadForUse', why: messageOf(err)});
    }
  }

  /** Logs when the permission was lost or is back, with what it rested on. */
  function noteChange(): void {
    const now = clock.now();
    const permitted = isPermitted();
    if (permitted === wasPermitted) return;
    wasPermitted = permitted;
    wasEverPermitted ||= permitted;
    log.info({
      event: permitted ? 'primaryUsePermitted' : 'primaryUseLapsed',
      witnessesMsAgo: Math.round(now - permission.byWitnessesAt),
      storeMsAgo: Math.round(now - permission.byStoreAt),
      changes: [...changer.changes.values()],
    });
  }

  return {
    get isPermitted() {
      return isPermitted();
    },
    get hasLapsed() {
      return wasEverPermitted && !isPermitted();
    },
    hasAllChanges: (era, since) =>
      confirmedIn === era && permission.byWitnessesAt >= since,
    replacementOf(group, endpoint) {
      const change = changer.changes.get(group);
      return change && change.to !== endpoint ? change : undefined;
    },
    tick() {
      noteChange();
      if (!context.hasEntry() || !context.usesPrimary()) return;
      const now = clock.now();
      if (now - askedWitnessesAt >= TIMES.askWitnessesMs) void askWitnesses();
      const sinceWitnesses = now - permission.byWitnessesAt;
      if (sinceWitnesses < TIMES.askStoreAfterMs) return;
      if (now - askedStoreAt >= TIMES.askStoreMs) void readStore();
    },
  };
}
