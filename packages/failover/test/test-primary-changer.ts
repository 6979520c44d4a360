/** Changes of primary under a lease, with failing stores and orders. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {StoreUnavailableError} from '@quetzalreel/object-store';
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
  const state = {down: false, loseAnswers: 0};
  function check(): void {
    if (state.down) throw new StoreUnavailableError('down', true);
  }
  const lease: LeaseStore = {
    async read() {
      check();
      return current;
    },
    async replace(record: LeaseRecord, seen) {
      check();
      if (seen?.revision !== current?.revision) return undefined;
      current = {record, revision: (current?.revision ?? 0) + 1};
      if (state.loseAnswers > 0) {
        state.loseAnswers--;
        throw new StoreUnavailableError('lost', false);
      }
      return current;
    },
  };
  return {lease, state};
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
  const {lease, state} = sharedLease();
  const orders = new RecordedOrders();
  const instance = (name: string) =>
    primaryChanger({
      instance: name,
      clock,
      lease,
      orders,
      limits: LIMITS,
      onEvent: () => {},
    });
  return {clock, state, orders, instance};
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
