/**
 * Model of changes of primary that instances order from the platform with a
 * fence. Two instances compete for a lease in a store that may be unavailable,
 * and the platform may apply an order late. The store may be restored from a copy
 * without the last write of the lease. The fences are those of production code.
 * Time isn't modelled: steps may happen in any sequence, so an instance that takes
 * none for a while stands for a suspended one.
 */
import {nextFence} from '@quetzalreel/failover';
import type {ModelStep} from './search.js';

/**
 * Rules that can be disabled, to check that an invariant then breaks. Each text
 * says what happens without the rule.
 */
export const OrderOmission = {
  NewFence: 'one fence for all changes of a holder',
  PendingTarget: 'the held fence without the store, whatever may still land',
  ConditionalWrite: 'the lease is written without its revision',
  EraInFence: 'the next fence is counted from the lease alone',
  EraOfWrite: 'a lease counts though the store was restored before its write',
} as const;

/** One of the values of `OrderOmission`. */
export type OrderOmission = (typeof OrderOmission)[keyof typeof OrderOmission];

/** Bounds of the search. */
export interface OrderBounds {
  /** Maximum number of changes of primary that are decided. */
  readonly changes: number;
  readonly omit?: OrderOmission;
}

/** An order in flight to the platform. */
interface Order {
  readonly instance: number;
  readonly fence: number;
  readonly target: number;
  /** Number of the change, in the sequence in which changes are decided. */
  readonly change: number;
}

/** An instance that may hold the lease and order a change of primary. */
interface OrderingInstance {
  /** Fence that the instance may use; 0 for none. */
  readonly heldFence: number;
  /** Lease revision that the instance last read; -1 if it has read none. */
  readonly seenRevision: number;
  /** Era of the store in which it was read. */
  readonly seenEra: number;
  /** Fence of the lease at that revision. */
  readonly seenFence: number;
  /** Target of an order with `heldFence` that may be in flight; -1 for none. */
  readonly pendingTarget: number;
}

/** The lease in the store. */
interface LeaseState {
  readonly revision: number;
  readonly fence: number;
}

/** A state of the model. */
export interface OrderState {
  readonly instances: readonly OrderingInstance[];
  readonly lease: LeaseState;
  /** The lease before its last write. */
  readonly leaseBefore: LeaseState;
  readonly era: number;
  readonly storeUp: boolean;
  readonly inFlight: readonly Order[];
  /** Highest fence that the platform has accepted. */
  readonly platformFence: number;
  readonly changes: number;
  /**
   * The newest change that was applied: the one with the highest fence, and
   * among equal fences the one with the highest change number.
   */
  readonly lastApplied: {
    readonly fence: number;
    readonly change: number;
    readonly target: number;
  };
  /** Instance that first ordered with each fence. */
  readonly fenceUsers: ReadonlyArray<
    readonly [fence: number, instance: number]
  >;
  readonly broken: string | null;
}

/** Invariants, by the texts that are printed when one is broken. */
export const ORDER_INVARIANTS = {
  Newest: 'an older change undoes a newer one',
  OneHolder: 'two holders order with one fence',
} as const;

const TARGETS = [1, 2] as const;
const MAX_RESTORES = 1;

/** Initial state: no instance holds the lease. */
export function initialOrderState(): OrderState {
  const instance = {
    heldFence: 0,
    seenRevision: -1,
    seenEra: 0,
    seenFence: 0,
    pendingTarget: -1,
  };
  return {
    instances: [instance, instance],
    lease: {revision: 0, fence: 0},
    leaseBefore: {revision: 0, fence: 0},
    era: 0,
    storeUp: true,
    inFlight: [],
    platformFence: 0,
    changes: 0,
    lastApplied: {fence: 0, change: 0, target: 0},
    fenceUsers: [],
    broken: null,
  };
}

function withInstance(
  state: OrderState,
  i: number,
  change: Partial<OrderingInstance>,
): OrderState {
  const instances = state.instances.map((instance, at) =>
    at === i ? {...instance, ...change} : instance,
  );
  return {...state, instances};
}

/** Decides a change to `target` and sends its order with `fence`. */
function send(
  state: OrderState,
  i: number,
  fence: number,
  target: number,
): OrderState {
  const change = state.changes + 1;
  const order = {instance: i, fence, target, change};
  const isShared = state.fenceUsers.some(
    ([used, instance]) => used === fence && instance !== i,
  );
  const isKnown = state.fenceUsers.some(([used]) => used === fence);
  const sent = withInstance(state, i, {
    heldFence: fence,
    pendingTarget: target,
  });
  return {
    ...sent,
    changes: change,
    inFlight: [...state.inFlight, order],
    fenceUsers: isKnown ? state.fenceUsers : [...state.fenceUsers, [fence, i]],
    broken: isShared ? ORDER_INVARIANTS.OneHolder : state.broken,
  };
}

/**
 * Acquires the lease with the next fence, by a write conditional on the
 * revision that was read, and sends an order.
 */
function acquireLeaseAndOrder(
  state: OrderState,
  i: number,
  target: number,
  {omit}: OrderBounds,
): OrderState | undefined {
  const {heldFence, seenRevision, seenEra, seenFence} = state.instances[i]!;
  if (!state.storeUp) return undefined;
  if (omit === OrderOmission.NewFence && heldFence > 0) {
    return send(state, i, heldFence, target);
  }
  if (seenRevision < 0) return undefined;
  const isCurrent = seenRevision === state.lease.revision;
  if (!isCurrent && omit !== OrderOmission.ConditionalWrite) return undefined;
  const fence =
    omit === OrderOmission.EraInFence
      ? seenFence + 1
      : nextFence({era: seenEra, revision: seenRevision}, seenFence);
  const lease = {revision: state.lease.revision + 1, fence};
  const written = {...state, lease, leaseBefore: state.lease};
  const taken = withInstance(written, i, {
    seenRevision: lease.revision,
    seenEra: state.era,
    seenFence: fence,
  });
  const isVoid = seenEra !== state.era && omit !== OrderOmission.EraOfWrite;
  if (isVoid) return withInstance(taken, i, {heldFence: 0, pendingTarget: -1});
  return send(taken, i, fence, target);
}

/**
 * Sends an order with the held fence while the store is unavailable. Returns
 * nothing if an order with this fence for another target may be in flight.
 */
function orderWithoutStore(
  state: OrderState,
  i: number,
  target: number,
  {omit}: OrderBounds,
): OrderState | undefined {
  const {heldFence, pendingTarget} = state.instances[i]!;
  if (state.storeUp || heldFence === 0) return undefined;
  const isAllowed = pendingTarget < 0 || pendingTarget === target;
  if (!isAllowed && omit !== OrderOmission.PendingTarget) return undefined;
  return send(state, i, heldFence, target);
}

/**
 * The platform applies an order, possibly seconds after it was sent, or rejects
 * it if it has accepted a higher fence.
 */
function applyOrder(state: OrderState, order: Order): OrderState {
  const inFlight = state.inFlight.filter(other => other !== order);
  const {heldFence} = state.instances[order.instance]!;
  if (order.fence < state.platformFence) {
    const refused = {...state, inFlight};
    if (heldFence !== order.fence) return refused;
    return withInstance(refused, order.instance, {
      heldFence: 0,
      pendingTarget: -1,
    });
  }
  const {fence, change, target} = state.lastApplied;
  const isOlder =
    order.fence < fence || (order.fence === fence && order.change < change);
  return {
    ...state,
    inFlight,
    platformFence: order.fence,
    lastApplied: isOlder
      ? state.lastApplied
      : {
          fence: order.fence,
          change: order.change,
          target: order.target,
        },
    broken:
      isOlder && order.target !== target
        ? ORDER_INVARIANTS.Newest
        : state.broken,
  };
}

/** Lists every step possible in a state. */
export function orderSteps(
  state: OrderState,
  bounds: OrderBounds,
): Array<ModelStep<OrderState>> {
  const steps: Array<ModelStep<OrderState>> = [];
  const add = (name: string, next: OrderState | undefined) => {
    if (next) steps.push({name, state: next});
  };
  add(state.storeUp ? 'the store goes away' : 'the store is back', {
    ...state,
    storeUp: !state.storeUp,
  });
  if (!state.storeUp && state.era < MAX_RESTORES) {
    add('the store is restored', {
      ...state,
      storeUp: true,
      era: state.era + 1,
      lease: state.leaseBefore,
    });
  }
  for (const order of state.inFlight) {
    add(`order ${order.change} lands`, applyOrder(state, order));
  }
  for (const i of [0, 1]) {
    const {revision, fence} = state.lease;
    if (state.storeUp) {
      const {era} = state;
      const read = {seenRevision: revision, seenEra: era, seenFence: fence};
      const isLost = state.instances[i]!.seenEra !== era;
      const held = isLost ? {heldFence: 0, pendingTarget: -1} : {};
      const seen = {...read, ...held};
      add(`i${i} reads the lease`, withInstance(state, i, seen));
    }
    if (state.changes >= bounds.changes) continue;
    for (const target of TARGETS) {
      const name = `i${i} orders e${target}`;
      add(name, acquireLeaseAndOrder(state, i, target, bounds));
      add(
        `${name} without the store`,
        orderWithoutStore(state, i, target, bounds),
      );
    }
  }
  return steps;
}
