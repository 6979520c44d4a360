/**
 * Carries out a change of primary: acquires the lease with a new fence, then
 * sends the promotion order until its outcome is known.
 */
import {messageOf} from '@quetzalreel/common';
import {Freshness, compareVersions} from '@quetzalreel/object-store';
import {
  type ChangeRecord,
  type ChangeRecords,
  NO_CHANGES,
  highestFence,
  withChanges,
} from './change-records.js';
import {
  type LeaseRecord,
  type PlannedChange,
  type LeaseSnapshot,
  isComplete,
} from './lease.js';
import {
  type ChangeContext,
  ChangeOutcome,
  type PrepareChange,
  type PrimaryChanger,
} from './change-types.js';
import {nextFence} from './fence.js';
import {OrderResult} from './orders.js';

/** A lease under which a change may go on. */
interface AcquiredLease {
  readonly lease: LeaseSnapshot;
  /** Whether it was written for the change; else it is an earlier one. */
  readonly isWritten: boolean;
  /** The newest change of the group before. */
  readonly previous: ChangeRecord | undefined;
}

/** Creates a changer that holds no fence yet. */
export function primaryChanger(context: ChangeContext): PrimaryChanger {
  const {instance, clock, lease, orders, limits, onEvent} = context;
  /** From the write of a lease until another holder may send orders. */
  const turnMs = limits.handoverDelayMs + limits.orderWindowMs;
  /** The lease, while this instance holds it and may use its fence. */
  let heldLease: LeaseSnapshot | undefined;
  /** Target of an order under `heldLease` that may still be executed. */
  let pendingTarget: string | undefined;
  /** The latest known lease, and when its revision was first seen. */
  let lastSeen: {readonly seen: LeaseSnapshot; readonly at: number} | undefined;

  /**
   * Until when another instance may send orders under a lease that the store
   * lost when it was restored.
   */
  let lostLeaseUntil = -Infinity;
  let lastOrderAt: number | undefined;
  /** Whether the store was restored and the lease was not read since. */
  let needsNewFence = false;
  let changesUnderWay = 0;

  let changes: ChangeRecords = NO_CHANGES;

  lease.era.onRestored(() => {
    heldLease = undefined;
    needsNewFence = true;
    lostLeaseUntil = clock.now() + turnMs;
  });

  function addChanges(added: Iterable<ChangeRecord>): void {
    const before = changes;
    changes = withChanges(changes, added);
    if (changes !== before) context.onChanges?.();
  }

  function recordSeen(seen: LeaseSnapshot): void {
    addChanges(seen.record.changes ?? []);
    if (lastSeen && compareVersions(lastSeen.seen, seen) >= 0) return;
    // A restored store shows a lease again that was not written since.
    const {holder, fence} = seen.record;
    const before = lastSeen?.seen.record;
    const isSeenAgain = before?.holder === holder && before.fence === fence;
    const at = lastSeen && isSeenAgain ? lastSeen.at : clock.now();
    lastSeen = {seen, at};
  }

  async function readLease(
    freshness: Freshness,
  ): Promise<LeaseSnapshot | undefined> {
    const seen = await lease.read(freshness);
    if (seen) recordSeen(seen);
    return seen;
  }

  /** Whether the holder of a lease that the store lost may be sending orders. */
  async function mayLostHolderAct(): Promise<boolean> {
    if (clock.now() >= lostLeaseUntil) return false;
    const era = lease.era.current;
    const areIdle =
      (await context.areOthersIdle?.(era, limits.handoverDelayMs)) ?? false;
    if (areIdle && lease.era.current === era) lostLeaseUntil = clock.now();
    onEvent({event: 'lostLeaseAsked', group: '', era, areIdle});
    return !areIdle;
  }

  /** Whether another holder may be sending orders or did so too recently. */
  function mayOtherHolderAct(): boolean {
    if (!lastSeen || lastSeen.seen.record.holder === instance) return false;
    return clock.now() - lastSeen.at < turnMs;
  }

  /** The fence with which the lease `seen`, undefined for none, is replaced. */
  function fenceAfter(seen: LeaseSnapshot | undefined): number {
    const replaced = seen ?? {era: lease.era.current, revision: 0};
    const known = Math.max(seen?.record.fence ?? 0, highestFence(changes));
    return nextFence(replaced, known);
  }

  /**
   * The era in which a lease that replaces `seen` contains all changes; undefined
   * while that is not known, as the holder of a lost lease may begin one.
   */
  function completeAfter(seen: LeaseSnapshot | undefined): number | undefined {
    const era = seen?.era ?? lease.era.current;
    if (isComplete(seen, era)) return era;
    if (clock.now() < lostLeaseUntil) return undefined;
    const hasAll = context.hasAllChanges?.(era, lostLeaseUntil) ?? false;
    return hasAll ? era : undefined;
  }

  /**
   * The lease of this instance in place of `seen`, with the change that it begins
   * if there is one.
   */
  function recordAfter(
    seen: LeaseSnapshot | undefined,
    change?: PlannedChange,
    isPlanned = false,
  ): LeaseRecord {
    const fence = fenceAfter(seen);
    const begun = change ? [{...change, fence, isPlanned}] : [];
    return {
      holder: instance,
      fence,
      completeIn: completeAfter(seen),
      change,
      changes: [...withChanges(changes, begun).values()],
    };
  }

  /**
   * Writes a lease in place of `seen`. Returns undefined if it was not written,
   * or if the store was restored meanwhile: `seen` is no longer what was there,
   * and its fence may have been used.
   */
  async function replaceLease(
    record: LeaseRecord,
    seen: LeaseSnapshot | undefined,
  ): Promise<LeaseSnapshot | undefined> {
    const era = seen?.era ?? lease.era.current;
    const written = await writeRecord(record, seen);
    if (!written) return undefined;
    recordSeen(written);
    if (written.era === era && lease.era.current === era) return written;
    const {fence} = record;
    onEvent({event: 'leaseOfLostEra', group: '', fence, era});
    return undefined;
  }

  /** Writes the record; if that fails, reads back whether it was written. */
  async function writeRecord(
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
      const current = await lease.read();
      const isMine =
        current?.record.holder === instance &&
        current.record.fence === record.fence;
      return isMine ? current : undefined;
    }
  }

  async function acquireLease(
    planned: PlannedChange,
    isPlanned: boolean,
  ): Promise<AcquiredLease | ChangeOutcome> {
    const seen = await readLease(Freshness.Current);
    if (mayOtherHolderAct() || (await mayLostHolderAct()))
      return ChangeOutcome.Deferred;
    const previous = changes.get(planned.group);
    const record = recordAfter(seen, planned, isPlanned);
    const lease = await replaceLease(record, seen);
    if (!lease) return ChangeOutcome.Deferred;
    return {lease, isWritten: true, previous};
  }

  /** The lease whose fence may be used while the store is unreachable;
   * undefined if there is none. A fence can't be used for a second target while
   * an order for the first may still be executed: both would be accepted. */
  function leaseWithoutStore(
    planned: PlannedChange,
  ): LeaseSnapshot | undefined {
    if (!heldLease) return undefined;
    const mayReuse =
      pendingTarget === undefined || pendingTarget === planned.to;
    return mayReuse ? heldLease : undefined;
  }

  async function sendOrder(
    planned: PlannedChange,
    orderUntil: number,
  ): Promise<ChangeOutcome> {
    const {group, to: endpoint} = planned;
    while (clock.now() < orderUntil) {
      if (!heldLease) return ChangeOutcome.Refused;
      const {fence} = heldLease.record;
      pendingTarget = endpoint;
      lastOrderAt = clock.now();
      const result = await orders.send({
        group,
        endpoint,
        holder: instance,
        fence,
      });
      onEvent({event: 'promotionOrdered', group, endpoint, fence, result});
      if (result === OrderResult.Accepted) return ChangeOutcome.Ordered;
      if (result === OrderResult.Refused) {
        heldLease = undefined;
        return ChangeOutcome.Refused;
      }
      await clock.sleep(limits.retryMs);
    }
    return ChangeOutcome.Unanswered;
  }

  /** The lease with which a change may go on, or why it may not. */
  async function acquireOrReuseLease(
    planned: PlannedChange,
    isPlanned: boolean,
  ): Promise<AcquiredLease | ChangeOutcome> {
    try {
      const taken = await acquireLease(planned, isPlanned);
      if (typeof taken === 'string') return taken;
      pendingTarget = undefined;
      return taken;
    } catch (err) {
      const reusable = leaseWithoutStore(planned);
      onEvent({
        event: 'leaseUnreachable',
        group: planned.group,
        why: messageOf(err),
        fence: reusable?.record.fence,
      });
      if (!reusable) return ChangeOutcome.NoFence;
      const previous = changes.get(planned.group);
      return {lease: reusable, isWritten: false, previous};
    }
  }

  async function change(
    planned: PlannedChange,
    isPlanned: boolean,
    prepare?: PrepareChange,
  ): Promise<ChangeOutcome> {
    const acquired = await acquireOrReuseLease(planned, isPlanned);
    if (typeof acquired === 'string') return acquired;
    heldLease = acquired.lease;
    const {fence} = heldLease.record;
    onEvent({event: 'changeBegun', ...planned, fence});
    const begunAt = clock.now();
    const orderUntil = begunAt + limits.orderWindowMs;
    if (prepare) {
      const record = {...planned, fence, isPlanned};
      const {isWritten, previous} = acquired;
      const writtenAt = isWritten ? begunAt : undefined;
      if (!(await prepare(record, {writtenAt, orderUntil, previous})))
        return ChangeOutcome.NotPrepared;
    }
    return sendOrder(planned, orderUntil);
  }

  async function countedChange(
    ...args: Parameters<typeof change>
  ): Promise<ChangeOutcome> {
    changesUnderWay++;
    try {
      return await change(...args);
    } finally {
      changesUnderWay--;
    }
  }

  return {
    get isHolder() {
      return lastSeen?.seen.record.holder === instance;
    },
    get knownFence() {
      return lastSeen?.seen.record.fence ?? 0;
    },
    async refreshLease() {
      // A stale read can show a revision late, which only lengthens the wait
      // for another holder.
      const isFirstOfEra = lastSeen?.seen.era !== lease.era.current;
      const seen = await readLease(
        isFirstOfEra ? Freshness.Current : Freshness.Stale,
      );
      const isOwn = seen?.record.holder === instance;
      const keepsFence = heldLease !== undefined || !needsNewFence;
      const staysComplete =
        isComplete(seen, lease.era.current) ||
        completeAfter(seen) === undefined;
      if (seen && (!isOwn || (keepsFence && staysComplete))) {
        needsNewFence = false;
        return;
      }
      if (changesUnderWay > 0) return;
      const taken = await replaceLease(recordAfter(seen), seen);
      if (!taken) return;
      heldLease = taken;
      needsNewFence = false;
      const {fence} = taken.record;
      onEvent({event: 'leaseTaken', group: '', fence});
    },
    async readLease() {
      const seen = await readLease(Freshness.Current);
      return isComplete(seen, lease.era.current);
    },
    get lastOrderAt() {
      return lastOrderAt;
    },
    get changes() {
      return changes;
    },
    addChanges,
    change: countedChange,
  };
}
