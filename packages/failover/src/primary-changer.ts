/**
 * Carries out one change of primary: takes the lease with a new fence, then
 * orders until the outcome is known.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {Freshness} from '@quetzalreel/object-store';
import type {
  LeaseRecord,
  LeaseStore,
  PlannedChange,
  LeaseSnapshot,
} from './lease.js';
import {OrderResult, type PromotionOrders} from './orders.js';

/** How a change ended. */
export const ChangeOutcome = {
  /** The order was accepted; the endpoint leads soon. */
  Ordered: 'ordered',
  /** Another instance has taken the lease, or has begun the same change. */
  Deferred: 'stoodBack',
  /** The order was refused; the fence is spent. */
  Refused: 'refused',
  /** The order has no answer; it may still be carried out. */
  Unanswered: 'unanswered',
  /** The store could not be reached and no fence may be used without it. */
  NoFence: 'noFence',
} as const;

/** One of the values of `ChangeOutcome`. */
export type ChangeOutcome = (typeof ChangeOutcome)[keyof typeof ChangeOutcome];

/** Times and counts of a change. */
export interface ChangeLimits {
  /** Shortest time between the calls of two holders, in milliseconds. */
  readonly handoverDelayMs: number;
  /** How long a holder orders under one write of the lease, in milliseconds;
   * others count with it before they take their turn. */
  readonly orderWindowMs: number;
  /** Between two tries, in milliseconds. */
  readonly retryMs: number;
}

/** One line for the log of each step. */
export interface ChangeEvent {
  readonly event: string;
  readonly group: string;
  readonly [field: string]: unknown;
}

/** What changes work with. */
export interface ChangeContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly lease: LeaseStore;
  readonly orders: PromotionOrders;
  readonly limits: ChangeLimits;
  readonly onEvent: (event: ChangeEvent) => void;
}

/** Changes primaries in the name of one instance, one change at a time. */
export interface PrimaryChanger {
  /** Whether this instance was the holder when the lease was last read. */
  readonly isHolder: boolean;
  /** Reads the lease, and makes this instance the holder if there is none:
   * somebody is to hold it before the store is away. */
  refreshLease(): Promise<void>;
  change(planned: PlannedChange): Promise<ChangeOutcome>;
}

/** A changer that holds no fence yet. */
export function primaryChanger(context: ChangeContext): PrimaryChanger {
  const {instance, clock, lease, orders, limits, onEvent} = context;
  /** The lease while this instance holds it and its fence is unspent. */
  let held: LeaseSnapshot | undefined;
  /** The target of an order under `held` that may still be carried out. */
  let openTarget: string | undefined;
  /** The lease as it was read last, and when it was first seen so. */
  let last: {readonly seen: LeaseSnapshot; readonly at: number} | undefined;

  function note(seen: LeaseSnapshot): void {
    if (last && last.seen.revision >= seen.revision) return;
    last = {seen, at: clock.now()};
  }

  async function readLease(
    freshness: Freshness,
  ): Promise<LeaseSnapshot | undefined> {
    const seen = await lease.read(freshness);
    if (seen) note(seen);
    return seen;
  }

  /** Whether another holder may have acted a moment ago. */
  function isTurnOfOther(): boolean {
    if (!last || last.seen.record.holder === instance) return false;
    return (
      clock.now() - last.at < limits.handoverDelayMs + limits.orderWindowMs
    );
  }

  /** Writes the record; after a lost answer it reads back what happened. */
  async function write(
    record: LeaseRecord,
    seen: LeaseSnapshot | undefined,
  ): Promise<LeaseSnapshot | undefined> {
    try {
      return await lease.replace(record, seen);
    } catch (err) {
      onEvent({
        event: 'leaseWriteUnanswered',
        group: record.change?.group ?? '',
        why: messageOf(err),
      });
      const now = await lease.read();
      const isMine =
        now?.record.holder === instance && now.record.fence === record.fence;
      return isMine ? now : undefined;
    }
  }

  async function takeFence(
    planned: PlannedChange,
  ): Promise<LeaseSnapshot | ChangeOutcome> {
    const seen = await readLease(Freshness.Current);
    if (isTurnOfOther()) return ChangeOutcome.Deferred;
    const fence = (seen?.record.fence ?? 0) + 1;
    const record = {holder: instance, fence, change: planned};
    const taken = await write(record, seen);
    if (taken) note(taken);
    return taken ?? ChangeOutcome.Deferred;
  }

  /** The fence that may be used while the store is away; undefined for none:
   * an order under it that may still be carried out would pass as well. */
  function fenceWithoutStore(
    planned: PlannedChange,
  ): LeaseSnapshot | undefined {
    if (!held) return undefined;
    const isFree = openTarget === undefined || openTarget === planned.to;
    return isFree ? held : undefined;
  }

  async function order(planned: PlannedChange): Promise<ChangeOutcome> {
    const {group, to: endpoint} = planned;
    const until = clock.now() + limits.orderWindowMs;
    while (clock.now() < until) {
      if (!held) return ChangeOutcome.Refused;
      const {fence} = held.record;
      openTarget = endpoint;
      const result = await orders.send({
        group,
        endpoint,
        holder: instance,
        fence,
      });
      onEvent({event: 'promotionOrdered', group, endpoint, fence, result});
      if (result === OrderResult.Accepted) return ChangeOutcome.Ordered;
      if (result === OrderResult.Refused) {
        held = undefined;
        return ChangeOutcome.Refused;
      }
      await clock.sleep(limits.retryMs);
    }
    return ChangeOutcome.Unanswered;
  }

  async function fenceFor(
    planned: PlannedChange,
  ): Promise<LeaseSnapshot | ChangeOutcome> {
    try {
      const taken = await takeFence(planned);
      if (typeof taken !== 'string') openTarget = undefined;
      return taken;
    } catch (err) {
      const spare = fenceWithoutStore(planned);
      onEvent({
        event: 'leaseUnreachable',
        group: planned.group,
        why: messageOf(err),
        fence: spare?.record.fence,
      });
      return spare ?? ChangeOutcome.NoFence;
    }
  }

  return {
    get isHolder() {
      return last?.seen.record.holder === instance;
    },
    async refreshLease() {
      // An old answer is older than it seems, which only makes a turn longer.
      const seen = await readLease(last ? Freshness.Stale : Freshness.Current);
      if (seen) return;
      const record = {holder: instance, fence: 1, change: undefined};
      held = await write(record, undefined);
      if (!held) return;
      note(held);
      onEvent({event: 'leaseTaken', group: '', fence: 1});
    },
    async change(planned) {
      const fence = await fenceFor(planned);
      if (typeof fence === 'string') return fence;
      held = fence;
      const {group, from, to} = planned;
      onEvent({
        event: 'changeBegun',
        group,
        from,
        to,
        fence: fence.record.fence,
      });
      return order(planned);
    },
  };
}
