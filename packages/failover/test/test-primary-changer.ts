/** Changes of primary under a lease, with failing stores and orders. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {StoreUnavailableError, storeEra} from '@quetzalreel/object-store';
import {
  ChangeOutcome,
  type LeaseRecord,
  type LeaseStore,
  OrderResult,
  type PromotionOrder,
  PromotionOrders,
  type LeaseSnapshot,
  primaryChanger,
} from '../src/index.js';

const LIMITS = {handoverDelayMs: 3000, orderWindowMs: 1500, retryMs: 100};
const PLANNED = {group: 'g', from: 'e-1', to: 'e-2'};

/** A lease that several instances share, with injected store failures. */
function sharedLease() {
  let current: LeaseSnapshot | undefined;
  const era = storeEra();
  era.note(0);
  /** Number of restores before the next write is applied. */
  const state = {down: false, loseAnswers: 0, restoresBeforeWrite: 0};
  let revision = 0;
  function check(): void {
    if (state.down) throw new StoreUnavailableError('down', true);
  }
  /** Comes back with the lease `to`, undefined for none. */
  function restore(to: LeaseSnapshot | undefined): void {
    era.note(era.current + 1);
    revision = to?.revision ?? 0;
    current = to && {...to, era: era.current};
  }

  const lease: LeaseStore = {
    era,
    async read() {
      check();
      return current;
    },
    async replace(record: LeaseRecord, seen) {
      check();
      if (state.restoresBeforeWrite-- > 0) restore(current);
      if (seen?.revision !== current?.revision) return undefined;
      current = {record, era: era.current, revision: ++revision};
      if (state.loseAnswers > 0) {
        state.loseAnswers--;
        throw new StoreUnavailableError('lost', false);
      }
      return current;
    },
  };
  return {lease, state, restore};
}

class RecordedOrders extends PromotionOrders {
  readonly sent: PromotionOrder[] = [];
  results: OrderResult[] = [];

  async send(order: PromotionOrder): Promise<OrderResult> {
    this.sent.push(order);
    return this.results.shift() ?? OrderResult.Accepted;
  }
}

function setUp() {
  const clock = manualClock();
  const {lease, state, restore} = sharedLease();
  const orders = new RecordedOrders();
  const idle = {isKnown: false};
  const instance = (
    name: string,
    hasAllChanges: (era: number, since: number) => boolean = () => false,
  ) =>
    primaryChanger({
      instance: name,
      clock,
      lease,
      orders,
      limits: LIMITS,
      onEvent: () => {},
      hasAllChanges,
      areOthersIdle: async () => idle.isKnown,
    });
  return {idle, clock, state, orders, instance, lease, restore};
}

/** Advances the clock until `work` settles, so that its retries run. */
async function runUntilSettled<T>(
  clock: ReturnType<typeof manualClock>,
  work: Promise<T>,
): Promise<T> {
  let done = false;
  void work.finally(() => {
    done = true;
  });
  while (!done) {
    await new Promise(resolve => setImmediate(resolve));
    if (!done) clock.advance(50);
  }
  return work;
}

describe('a change of primary', () => {
  it('has a higher fence than all earlier changes', async () => {
    const {clock, orders, instance} = setUp();
    const one = instance('one');
    await one.refreshLease();
    await runUntilSettled(clock, one.change(PLANNED, true));
    await runUntilSettled(
      clock,
      one.change({...PLANNED, from: 'e-2', to: 'e-3'}, true),
    );
    assert.deepEqual(
      orders.sent.map(order => order.fence),
      [2, 3],
    );
  });

  it('is deferred while another holder may be sending orders', async () => {
    const {clock, orders, instance} = setUp();
    const one = instance('one');
    const two = instance('two');
    await runUntilSettled(clock, one.change(PLANNED, true));
    assert.equal(
      await runUntilSettled(clock, two.change(PLANNED, true)),
      ChangeOutcome.Deferred,
    );
    clock.advance(LIMITS.handoverDelayMs + LIMITS.orderWindowMs);
    assert.equal(
      await runUntilSettled(clock, two.change(PLANNED, true)),
      ChangeOutcome.Ordered,
    );
    const fences = orders.sent.map(order => order.fence);
    assert.deepEqual(fences, [1, 2]);
  });

  it('is ordered if the lease was written but the response was lost', async () => {
    const {clock, state, orders, instance} = setUp();
    state.loseAnswers = 1;
    const outcome = await runUntilSettled(
      clock,
      instance('one').change(PLANNED, true),
    );
    assert.equal(outcome, ChangeOutcome.Ordered);
    assert.equal(orders.sent[0]!.fence, 1);
  });

  it('is ordered again with the same fence while the order is unanswered', async () => {
    const {clock, orders, instance} = setUp();
    orders.results = [OrderResult.Unanswered, OrderResult.NotDone];
    const outcome = await runUntilSettled(
      clock,
      instance('one').change(PLANNED, true),
    );
    assert.equal(outcome, ChangeOutcome.Ordered);
    assert.deepEqual(
      orders.sent.map(order => order.fence),
      [1, 1, 1],
    );
  });

  it('never uses a fence again after an order under it was refused', async () => {
    const {clock, state, orders, instance} = setUp();
    const one = instance('one');
    orders.results = [OrderResult.Refused];
    assert.equal(
      await runUntilSettled(clock, one.change(PLANNED, true)),
      ChangeOutcome.Refused,
    );
    // No new fence can be acquired without the store.
    state.down = true;
    assert.equal(
      await runUntilSettled(clock, one.change(PLANNED, true)),
      ChangeOutcome.NoFence,
    );
    assert.equal(orders.sent.length, 1);
  });

  it('may use the held fence while the store is unreachable', async () => {
    const {clock, state, orders, instance} = setUp();
    const one = instance('one');
    await one.refreshLease();
    state.down = true;
    assert.equal(
      await runUntilSettled(clock, one.change(PLANNED, true)),
      ChangeOutcome.Ordered,
    );
    assert.equal(orders.sent[0]!.fence, 1);
  });

  it('to another target needs a new fence while an order may still be executed', async () => {
    const {clock, state, orders, instance} = setUp();
    const one = instance('one');
    await one.refreshLease();
    state.down = true;
    orders.results = Array.from({length: 40}, () => OrderResult.Unanswered);
    assert.equal(
      await runUntilSettled(clock, one.change(PLANNED, true)),
      ChangeOutcome.Unanswered,
    );
    const sent = orders.sent.length;
    assert.equal(
      await runUntilSettled(clock, one.change({...PLANNED, to: 'e-3'}, true)),
      ChangeOutcome.NoFence,
    );
    assert.equal(orders.sent.length, sent);
  });
});

describe('after the store lost a lease in a restore', () => {
  /** Lets `one` order under a lease that the store then loses. */
  async function loseLease(fx: ReturnType<typeof setUp>) {
    const {clock, lease, restore, instance} = fx;
    const one = instance('one');
    const two = instance('two');
    await one.refreshLease();
    await two.refreshLease();
    clock.advance(LIMITS.handoverDelayMs + LIMITS.orderWindowMs);
    const kept = await lease.read();
    await runUntilSettled(clock, one.change(PLANNED, true));
    restore(kept);
    return {one, two};
  }

  it('no two holders order with one fence, and the next one is higher', async () => {
    const fx = setUp();
    const {two} = await loseLease(fx);
    fx.clock.advance(LIMITS.handoverDelayMs + LIMITS.orderWindowMs);
    assert.equal(
      await runUntilSettled(fx.clock, two.change(PLANNED, true)),
      ChangeOutcome.Ordered,
    );
    const [first, second] = fx.orders.sent.map(({fence}) => fence);
    assert.ok(second! > first!);
  });

  it('no holder orders within the turn of the one whose lease is lost', async () => {
    const fx = setUp();
    const {one, two} = await loseLease(fx);
    for (const holder of [one, two]) {
      assert.equal(
        await runUntilSettled(fx.clock, holder.change(PLANNED, true)),
        ChangeOutcome.Deferred,
      );
    }
    assert.equal(fx.orders.sent.length, 1);
  });

  it('no order is sent with its fence', async () => {
    const fx = setUp();
    const {one} = await loseLease(fx);
    fx.state.down = true;
    assert.equal(
      await runUntilSettled(fx.clock, one.change(PLANNED, true)),
      ChangeOutcome.NoFence,
    );
  });

  it('its holder gets a new fence before the store is away again', async () => {
    const fx = setUp();
    const {one} = await loseLease(fx);
    await one.refreshLease();
    fx.clock.advance(LIMITS.handoverDelayMs + LIMITS.orderWindowMs);
    fx.state.down = true;
    assert.equal(
      await runUntilSettled(fx.clock, one.change(PLANNED, true)),
      ChangeOutcome.Ordered,
    );
    const [first, second] = fx.orders.sent.map(({fence}) => fence);
    assert.ok(second! > first!);
  });

  it('no lease counts that was written on a revision of before', async () => {
    const fx = setUp();
    const one = fx.instance('one');
    await one.refreshLease();
    fx.state.restoresBeforeWrite = 1;
    assert.equal(
      await runUntilSettled(fx.clock, one.change(PLANNED, true)),
      ChangeOutcome.Deferred,
    );
    assert.equal(fx.orders.sent.length, 0);
  });

  it('it gives no permission until one that knows all changes wrote it again', async () => {
    const fx = setUp();
    const {one} = await loseLease(fx);
    assert.equal(await one.readLease(), false);
    await one.refreshLease();
    assert.equal(await fx.instance('three').readLease(), false);
    const knowing = fx.instance('one', () => true);
    await knowing.refreshLease();
    assert.equal(await fx.instance('three').readLease(), true);
  });

  it('it gives none while a lost holder may begin a change', async () => {
    const fx = setUp();
    const confirmed = {at: -Infinity};
    const hasAll = (_era: number, since: number) => confirmed.at >= since;
    const one = fx.instance('one', hasAll);
    await one.refreshLease();
    fx.restore(await fx.lease.read());
    confirmed.at = fx.clock.now();
    await one.refreshLease();
    assert.equal(await one.readLease(), false);
    fx.clock.advance(LIMITS.handoverDelayMs + LIMITS.orderWindowMs);
    await one.refreshLease();
    assert.equal(await one.readLease(), false);
    confirmed.at = fx.clock.now();
    await one.refreshLease();
    assert.equal(await one.readLease(), true);
  });

  it('the next one orders at once if all others have ordered nothing lately', async () => {
    const fx = setUp();
    const {two} = await loseLease(fx);
    fx.idle.isKnown = true;
    assert.equal(
      await runUntilSettled(fx.clock, two.change(PLANNED, true)),
      ChangeOutcome.Ordered,
    );
  });
});
