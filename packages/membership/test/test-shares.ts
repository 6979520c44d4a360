import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type ShareEffect,
  type ShareEvent,
  type ShareState,
  allowedConnections,
  pickRandom,
  initialShares,
  seededRandom,
  shareOf,
  stepShares,
} from '../src/index.js';

const LIMITS = {
  growthDelayMs: 1000,
  loanDurationMs: 500,
  loanRequestIntervalMs: 100,
};
const ENDPOINT = {name: 'e1', connections: 20};

/**
 * A simple hash; the tests only require that it is the same on all instances.
 */
function hash(text: string): number {
  let sum = 7;
  for (const char of text) sum = (sum * 31 + char.charCodeAt(0)) % 65_521;
  return sum;
}

const ids = (from: number, to: number) =>
  Array.from({length: to - from}, (_, i) => `i${from + i}`);

test('shares add up to the limit and differ by at most one', () => {
  for (let size = 1; size <= 24; size++) {
    const members = ids(0, size);
    const shares = members.map(id => shareOf(ENDPOINT, members, id, hash));
    const total = shares.reduce((sum, share) => sum + share, 0);
    assert.equal(total, ENDPOINT.connections);
    assert.ok(Math.max(...shares) - Math.min(...shares) <= 1);
  }
});

/** Time by which each instance has learned of a change of members. */
const PROPAGATION_MS = 800;
const TICK_MS = 50;

test('a rolling replacement from 8 to 16 to 8 instances keeps the limit and leaves every instance a connection', () => {
  const states = new Map<string, ShareState>();
  const pendingUpdates = new Map<
    string,
    Array<{at: number; members: string[]}>
  >();
  let random = seededRandom(3);
  let now = 0;
  let changedAt = 0;
  const delay = () => {
    const steps = Array.from({length: PROPAGATION_MS / TICK_MS}, (_, i) => i);
    const result = pickRandom(random, steps, 1);
    random = result.random;
    return result.picked[0]! * TICK_MS;
  };
  const step = (id: string, event: ShareEvent) =>
    states.set(id, stepShares(states.get(id)!, event, now, hash).state);
  const setMembers = (members: string[]) => {
    changedAt = now;
    for (const id of members) {
      if (!states.has(id)) {
        states.set(id, initialShares(id, 16, LIMITS));
        step(id, {type: 'endpoints', list: [ENDPOINT]});
      }
      pendingUpdates.set(id, [
        ...(pendingUpdates.get(id) ?? []),
        {at: now + delay(), members},
      ]);
    }
    for (const id of [...states.keys()]) {
      if (!members.includes(id)) states.delete(id);
    }
  };
  const run = (durationMs: number) => {
    for (const end = now + durationMs; now < end; now += TICK_MS) {
      for (const id of states.keys()) {
        for (const update of pendingUpdates.get(id) ?? []) {
          if (update.at === now)
            step(id, {type: 'members', ids: update.members});
        }
        step(id, {type: 'tick'});
      }
      const held = [...states.values()].map(state =>
        allowedConnections(state, 'e1'),
      );
      const total = held.reduce((sum, count) => sum + count, 0);
      const isPropagating = now - changedAt < PROPAGATION_MS;
      const limit = ENDPOINT.connections + (isPropagating ? 1 : 0);
      assert.ok(total <= limit, `${total} at ${now}`);
    }
    for (const [id, state] of states)
      assert.ok(allowedConnections(state, 'e1') > 0, id);
  };
  setMembers(ids(0, 8));
  run(3000);
  for (let size = 9; size <= 16; size++) {
    setMembers(ids(0, size));
    run(2000);
  }
  for (let removed = 1; removed <= 8; removed++) {
    setMembers(ids(removed, 16));
    run(2000);
  }
});

test('an instance that knows no peer divides by the fleet size from the settings', () => {
  let state = initialShares('a', 8, LIMITS);
  const endpoints = {type: 'endpoints', list: [ENDPOINT]} as const;
  state = stepShares(state, endpoints, 0, hash).state;
  state = stepShares(state, {type: 'tick'}, 60_000, hash).state;
  assert.equal(allowedConnections(state, 'e1'), 2);
});

/** Two instances that share an endpoint with four connections. */
function makePair(): {a: ShareState; b: ShareState} {
  const make = (id: string) => {
    const members = {type: 'members', ids: ['a', 'b']} as const;
    const state = stepShares(initialShares(id, 2, LIMITS), members, 0, hash);
    const list = [{name: 'e1', connections: 4}];
    return stepShares(state.state, {type: 'endpoints', list}, 0, hash).state;
  };
  return {a: make('a'), b: make('b')};
}

const use = (busy: number, waiting: number): ShareEvent => ({
  type: 'use',
  endpoint: 'e1',
  busy,
  waiting,
});
const typesOf = (effects: readonly ShareEffect[]) =>
  effects.map(effect => effect.type);

test('an instance whose requests wait sends loan requests at the configured interval', () => {
  const {a} = makePair();
  const first = stepShares(a, use(2, 1), 10, hash);
  assert.deepEqual(typesOf(first.effects), ['want']);
  const soon = stepShares(first.state, use(2, 1), 50, hash);
  assert.deepEqual(soon.effects, []);
  const later = stepShares(soon.state, use(2, 1), 110, hash);
  assert.deepEqual(typesOf(later.effects), ['want']);
});

const LENDING_CASES: ReadonlyArray<[string, ShareEvent, number]> = [
  ['no connection in use', use(0, 0), 1],
  ['one connection in use', use(1, 0), 1],
  ['all connections in use', use(2, 0), 0],
  ['waiting requests on the lender', use(0, 1), 0],
];

for (const [name, state, lent] of LENDING_CASES) {
  test(`lending with ${name}: ${lent} of 2 connections`, () => {
    const before = stepShares(makePair().b, state, 0, hash).state;
    const request = {
      type: 'wanted',
      from: 'a',
      endpoint: 'e1',
      count: 1,
    } as const;
    const result = stepShares(before, request, 10, hash);
    assert.equal(allowedConnections(result.state, 'e1'), 2 - lent);
    assert.equal(typesOf(result.effects).includes('grant'), lent > 0);
  });
}

test('a loan ends for the borrower before it ends for the lender', () => {
  const {a, b} = makePair();
  const asked = stepShares(a, use(2, 1), 100, hash).state;
  const request = {
    type: 'wanted',
    from: 'a',
    endpoint: 'e1',
    count: 1,
  } as const;
  let lender = stepShares(b, request, 120, hash).state;
  const loan = {type: 'granted', endpoint: 'e1', count: 1} as const;
  let borrower = stepShares(asked, loan, 140, hash).state;
  assert.equal(allowedConnections(borrower, 'e1'), 3);
  for (let now = 150; now < 800; now += 10) {
    lender = stepShares(lender, {type: 'tick'}, now, hash).state;
    borrower = stepShares(borrower, {type: 'tick'}, now, hash).state;
    assert.ok(
      allowedConnections(lender, 'e1') + allowedConnections(borrower, 'e1') <=
        4,
    );
  }
  assert.equal(allowedConnections(lender, 'e1'), 2);
});
