/**
 * Searches the models of fenced orders, of changes without fences, of replica
 * reads and of token grants exhaustively, then checks that disabling any one rule breaks an invariant.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  OrderOmission,
  initialOrderState,
  orderSteps,
} from '../src/fenced-orders.js';
import {ReadOmission, initialReadState, readSteps} from '../src/fresh-reads.js';
import {search} from '../src/search.js';
import {
  GrantOmission,
  grantSteps,
  initialGrantState,
} from '../src/token-grants.js';
import {
  ChangeOmission,
  changeSteps,
  initialChangeState,
} from '../src/unfenced-change.js';

const MAX_STATES = 600_000;
const ORDERS = {changes: 3};
/** Bounds of the changes without fences. */
const CHANGES = {ticks: 2};
/** Bounds of the tokens of an account. */
const GRANTS = {ticks: 4};
/** Bounds of the exhaustive search. */
const READS = {commits: 1, ticks: 3};
/** Bounds within which each disabled rule leads to a violation. */
const OMITTED_READS = {commits: 2, ticks: 3};

describe('fenced orders', () => {
  it('break no invariant, however late orders are applied', () => {
    const steps = (state: ReturnType<typeof initialOrderState>) =>
      orderSteps(state, ORDERS);
    const {violation, complete} = search(
      initialOrderState(),
      steps,
      MAX_STATES,
    );
    assert.equal(violation, undefined);
    assert.equal(complete, true);
  });

  for (const omit of Object.values(OrderOmission)) {
    it(`break an invariant with: ${omit}`, () => {
      const steps = (state: ReturnType<typeof initialOrderState>) =>
        orderSteps(state, {...ORDERS, omit});
      assert.ok(search(initialOrderState(), steps, MAX_STATES).violation);
    });
  }
});

describe('changes of primary without fences', () => {
  const explore = (omit?: ChangeOmission) => {
    const bounds = omit ? {...CHANGES, omit} : CHANGES;
    return search(
      initialChangeState(),
      state => changeSteps(state, bounds),
      MAX_STATES,
    );
  };

  it('acknowledge no commit of the replaced primary', () => {
    const {violation, complete} = explore();
    assert.equal(violation, undefined);
    assert.equal(complete, true);
  });

  for (const omit of Object.values(ChangeOmission)) {
    it(`break an invariant with: ${omit}`, () => {
      assert.ok(explore(omit).violation);
    });
  }
});

describe('replica reads by samples', () => {
  it('break no invariant across suspensions and changes of primary', () => {
    const steps = (state: ReturnType<typeof initialReadState>) =>
      readSteps(state, READS);
    const {violation, complete} = search(initialReadState(), steps, MAX_STATES);
    assert.equal(violation, undefined);
    assert.equal(complete, true);
  });

  for (const omit of Object.values(ReadOmission)) {
    it(`break an invariant with: ${omit}`, () => {
      const steps = (state: ReturnType<typeof initialReadState>) =>
        readSteps(state, {...OMITTED_READS, omit});
      assert.ok(search(initialReadState(), steps, MAX_STATES).violation);
    });
  }
});

describe('token grants', () => {
  const explore = (omit?: GrantOmission) => {
    const bounds = omit ? {...GRANTS, omit} : GRANTS;
    return search(
      initialGrantState(),
      state => grantSteps(state, bounds),
      MAX_STATES,
    );
  };

  it('never exceed the refills of a window and one burst', () => {
    const {violation, complete} = explore();
    assert.equal(violation, undefined);
    assert.equal(complete, true);
  });

  for (const omit of Object.values(GrantOmission)) {
    it(`break an invariant with: ${omit}`, () => {
      assert.ok(explore(omit).violation);
    });
  }
});
