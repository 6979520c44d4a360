/** What a changer of primaries needs and offers. */
import type {Clock} from '@quetzalreel/common';
import type {ChangeRecord, ChangeRecords} from './change-records.js';
import type {LeaseStore, PlannedChange} from './lease.js';
import type {PromotionOrders} from './orders.js';

/** Outcome of a change of primary. */
export const ChangeOutcome = {
  /** The order was accepted; the endpoint soon becomes the primary. */
  Ordered: 'ordered',
  /** Another instance has acquired the lease, or may have begun a change. */
  Deferred: 'stoodBack',
  /** The order was refused; its fence can't be used again. */
  Refused: 'refused',
  /** The order is unanswered; it may still be executed. */
  Unanswered: 'unanswered',
  /** The store is unreachable, and no fence may be used without it. */
  NoFence: 'noFence',
  /** The preparation failed: the old primary may still be in use. */
  NotPrepared: 'notPrepared',
} as const;

/** One of the values of `ChangeOutcome`. */
export type ChangeOutcome = (typeof ChangeOutcome)[keyof typeof ChangeOutcome];

/** Time limits of a change. */
export interface ChangeLimits {
  /** Minimum time between the orders of two holders, in milliseconds. */
  readonly handoverDelayMs: number;
  /** How long a holder may send orders after it wrote the lease, milliseconds.
   * Other instances include this time in their wait to acquire the lease. */
  readonly orderWindowMs: number;
  /** Delay before an order is sent again, in milliseconds. */
  readonly retryMs: number;
}

/** A log entry for one step of a change. */
export interface ChangeEvent {
  readonly event: string;
  readonly group: string;
  readonly [field: string]: unknown;
}

/** Dependencies and limits of `primaryChanger`. */
export interface ChangeContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly lease: LeaseStore;
  readonly orders: PromotionOrders;
  readonly limits: ChangeLimits;
  readonly onEvent: (event: ChangeEvent) => void;
  /** Called when a newer change of a group became known. */
  readonly onChanges?: () => void;
  /**
   * Whether the witnesses have confirmed this instance's changes in an era of the
   * store, at `since` or later by its clock; undefined where nothing depends on
   * it.
   */
  readonly hasAllChanges?: (era: number, since: number) => boolean;
  /**
   * Whether all other instances are known to have sent no order for `idleMs`,
   * and to use no lease of before `era` any more; undefined if that can't be
   * asked.
   */
  readonly areOthersIdle?: (era: number, idleMs: number) => Promise<boolean>;
}

/** The state of the lease in which a change is prepared. */
export interface LeaseTerm {
  /**
   * When the store acknowledged the lease with the change; undefined if the
   * held fence is used without the store. Monotonic milliseconds.
   */
  readonly writtenAt: number | undefined;
  /** When the last order may be sent. Monotonic milliseconds. */
  readonly orderUntil: number;
  /** The newest change of the group before this one; undefined if none is known. */
  readonly previous: ChangeRecord | undefined;
}

/**
 * Makes sure that the old primary is no longer used; called after the lease was
 * acquired and before the order. Resolves to false if it can't be ensured; no
 * order is sent then.
 */
export type PrepareChange = (
  change: ChangeRecord,
  term: LeaseTerm,
) => Promise<boolean>;

/** Changes primaries on behalf of one instance, one change at a time. */
export interface PrimaryChanger {
  /** Whether this instance was the holder when the lease was last read. */
  readonly isHolder: boolean;
  /** Fence of the lease when it was last read; 0 for none. */
  readonly knownFence: number;
  /**
   * Reads the lease, and acquires it if it does not exist, or if this instance
   * held it before the store was restored: an instance must hold it before the
   * store becomes unreachable.
   */
  refreshLease(): Promise<void>;
  /**
   * Reads the lease from the store itself, not from a copy that may be out of
   * date. Resolves to whether the lease contains all changes that were begun.
   * Rejects with the store's errors.
   */
  readLease(): Promise<boolean>;
  /** When the last order was sent; undefined for never. Monotonic ms. */
  readonly lastOrderAt: number | undefined;
  /** The newest known change of each group. */
  readonly changes: ChangeRecords;
  /** Adds changes that other instances reported. */
  addChanges(changes: Iterable<ChangeRecord>): void;
  /** `isPlanned`: the replaced primary still serves. */
  change(
    planned: PlannedChange,
    isPlanned: boolean,
    prepare?: PrepareChange,
  ): Promise<ChangeOutcome>;
}
