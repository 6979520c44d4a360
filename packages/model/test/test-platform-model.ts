/** Fenced orders and reads by samples, searched whole and with rules out. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OrderOmission, firstOrders, orderSteps} from '../src/fenced-orders.js';
import {ReadOmission, firstReads, readSteps} from '../src/fresh-reads.js';
import {search} from '../src/search.js';

const MAX_STATES = 400_000;
const ORDERS = {changes: 3};
/** Searched whole. */
const READS = {commits: 1, ticks: 3};
/** Where each rule that is out is missed. */
const OMITTED_READS = {commits: 2, ticks: 3};

describe('fenced orders', () => {
  it('break nothing, whatever lands late', () => {
    const steps = (state: ReturnType<typeof firstOrders>) =>
      orderSteps(state, ORDERS);
    const {violation, complete} = search(firstOrders(), steps, MAX_STATES);
    assert.equal(violation, undefined);
    assert.equal(complete, true);
  });

  for (const omit of Object.values(OrderOmission)) {
    it(`break an invariant with: ${omit}`, () => {
      const steps = (state: ReturnType<typeof firstOrders>) =>
        orderSteps(state, {...ORDERS, omit});
      assert.ok(search(firstOrders(), steps, MAX_STATES).violation);
    });
  }
});

describe('reads by samples', () => {
  it('break nothing, whoever sleeps or is replaced', () => {
    const steps = (state: ReturnType<typeof firstReads>) =>
      readSteps(state, READS);
    const {violation, complete} = search(firstReads(), steps, MAX_STATES);
    assert.equal(violation, undefined);
    assert.equal(complete, true);
  });

  for (const omit of Object.values(ReadOmission)) {
    it(`break an invariant with: ${omit}`, () => {
      const steps = (state: ReturnType<typeof firstReads>) =>
        readSteps(state, {...OMITTED_READS, omit});
      assert.ok(search(firstReads(), steps, MAX_STATES).violation);
    });
  }
});
