/**
 * Changes of primary by fenced orders, as a transition system: two instances
 * share the lease in a store that may be away, orders may be carried out late,
 * and an instance that does nothing for a while may be paused. Times are left
 * out: any order of the steps may happen.
 */
import type {ModelStep} from './search.js';

/** Rules that can be taken out, to see that an invariant bites. */
export const OrderOmission = {
  NewFence: 'one fence for all changes of a holder',
  OpenTarget: 'the held fence without the store, whatever may still land',
  ConditionalWrite: 'the lease is written without its revision',
} as const;

/** One of the values of `OrderOmission`. */
export type OrderOmission = (typeof OrderOmission)[keyof typeof OrderOmission];

/** Bounds of the search. */
export interface OrderBounds {
  /** Changes that are decided at most. */
  readonly changes: number;
  readonly omit?: OrderOmission;
}

/** An order on its way. */
interface Order {
  readonly holder: number;
  readonly fence: number;
  readonly target: number;
  /** Number of the decision that it carries out. */
  readonly change: number;
}

/** An instance. */
interface Holder {
  /** Fence that it may use; 0 for none. */
  readonly held: number;
  /** Revision and fence of the lease as it has read them; -1 for unread. */
  readonly seenRevision: number;
  readonly seenFence: number;
  /** Target of an order under `held` that may still land; -1 for none. */
  readonly openTarget: number;
}

/** A state. */
export interface OrderState {
  readonly holders: readonly Holder[];
  readonly lease: {readonly revision: number; readonly fence: number};
  readonly storeUp: boolean;
  readonly inFlight: readonly Order[];
  /** Highest fence that the platform has seen. */
  readonly platformFence: number;
  readonly changes: number;
  /** The newest decision that was carried out: of the highest fence, and of
   * those under one fence the last. */
  readonly carriedOut: {
    readonly fence: number;
    readonly change: number;
    readonly target: number;
  };
  /** Who used each fence. */
  readonly users: ReadonlyArray<readonly [fence: number, holder: number]>;
  readonly broken: string | null;
}

/** What must hold in every state. */
export const ORDER_INVARIANTS = {
  Newest: 'an older change undoes a newer one',
  OneHolder: 'two holders order with one fence',
} as const;

const TARGETS = [1, 2] as const;

/** Nobody holds the lease. */
export function firstOrders(): OrderState {
  const holder = {held: 0, seenRevision: -1, seenFence: 0, openTarget: -1};
  return {
    holders: [holder, holder],
    lease: {revision: 0, fence: 0},
    storeUp: true,
    inFlight: [],
    platformFence: 0,
    changes: 0,
    carriedOut: {fence: 0, change: 0, target: 0},
    users: [],
    broken: null,
  };
}

function withHolder(
  state: OrderState,
  i: number,
  change: Partial<Holder>,
): OrderState {
  const holders = state.holders.map((holder, at) =>
    at === i ? {...holder, ...change} : holder,
  );
  return {...state, holders};
}

/** Sends an order of a new decision under `fence`. */
function send(
  state: OrderState,
  i: number,
  fence: number,
  target: number,
): OrderState {
  const change = state.changes + 1;
  const order = {holder: i, fence, target, change};
  const isShared = state.users.some(
    ([used, holder]) => used === fence && holder !== i,
  );
  const isKnown = state.users.some(([used]) => used === fence);
  const sent = withHolder(state, i, {held: fence, openTarget: target});
  return {
    ...sent,
    changes: change,
    inFlight: [...state.inFlight, order],
    users: isKnown ? state.users : [...state.users, [fence, i]],
    broken: isShared ? ORDER_INVARIANTS.OneHolder : state.broken,
  };
}

/** Takes the lease as it was read, with the next fence, and orders. */
function takeAndOrder(
  state: OrderState,
  i: number,
  target: number,
  {omit}: OrderBounds,
): OrderState | undefined {
  const {held, seenRevision, seenFence} = state.holders[i]!;
  if (!state.storeUp) return undefined;
  if (omit === OrderOmission.NewFence && held > 0) {
    return send(state, i, held, target);
  }
  if (seenRevision < 0) return undefined;
  const isCurrent = seenRevision === state.lease.revision;
  if (!isCurrent && omit !== OrderOmission.ConditionalWrite) return undefined;
  const fence = seenFence + 1;
  const lease = {revision: state.lease.revision + 1, fence};
  const taken = withHolder({...state, lease}, i, {
    seenRevision: lease.revision,
    seenFence: fence,
  });
  return send(taken, i, fence, target);
}

/** Orders under the held fence while the store is away. */
function orderWithoutStore(
  state: OrderState,
  i: number,
  target: number,
  {omit}: OrderBounds,
): OrderState | undefined {
  const {held, openTarget} = state.holders[i]!;
  if (state.storeUp || held === 0) return undefined;
  const isFree = openTarget < 0 || openTarget === target;
  if (!isFree && omit !== OrderOmission.OpenTarget) return undefined;
  return send(state, i, held, target);
}

/** The platform carries an order out, now or seconds later. */
function land(state: OrderState, order: Order): OrderState {
  const inFlight = state.inFlight.filter(other => other !== order);
  const {held} = state.holders[order.holder]!;
  if (order.fence < state.platformFence) {
    const refused = {...state, inFlight};
    if (held !== order.fence) return refused;
    return withHolder(refused, order.holder, {held: 0, openTarget: -1});
  }
  const {fence, change, target} = state.carriedOut;
  const isOlder =
    order.fence < fence || (order.fence === fence && order.change < change);
  return {
    ...state,
    inFlight,
    platformFence: order.fence,
    carriedOut: isOlder
      ? state.carriedOut
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

/** All steps from a state. */
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
  for (const order of state.inFlight) {
    add(`order ${order.change} lands`, land(state, order));
  }
  for (const i of [0, 1]) {
    const {revision, fence} = state.lease;
    if (state.storeUp) {
      const seen = {seenRevision: revision, seenFence: fence};
      add(`i${i} reads the lease`, withHolder(state, i, seen));
    }
    if (state.changes >= bounds.changes) continue;
    for (const target of TARGETS) {
      const name = `i${i} orders e${target}`;
      add(name, takeAndOrder(state, i, target, bounds));
      add(
        `${name} without the store`,
        orderWithoutStore(state, i, target, bounds),
      );
    }
  }
  return steps;
}
