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

/** A small hash for tests; any will do that is the same everywhere. */
function hash(text: string): number {
  let sum = 7;
  for (const char of text) sum = (sum * 31 + char.charCodeAt(0)) % 65_521;
  return sum;
}

const ids = (from: number, to: number) =>
  Array.from({length: to - from}, (_, i) => `i${from + i}`);

test('shares add up to the limit, and differ by one at most', () => {
  for (let size = 1; size <= 24; size++) {
    const members = ids(0, size);
    const shares = members.map(id => shareOf(ENDPOINT, members, id, hash));
    const total = shares.reduce((sum, share) => sum + share, 0);
    assert.equal(total, ENDPOINT.connections);
    assert.ok(Math.max(...shares) - Math.min(...shares) <= 1);
  }
});

/** Each instance learns of a change by this time after it. */
const LEARN_MS = 800;
const TICK_MS = 50;

test('a rolling replacement 8 to 16 to 8 keeps the limit and starves none', () => {
  const states = new Map<string, ShareState>();
  const known = new Map<string, Array<{at: number; members: string[]}>>();
  let random = seededRandom(3);
  let now = 0;
  let changedAt = 0;
  const delay = () => {
    const steps = Array.from({length: LEARN_MS / TICK_MS}, (_, i) => i);
    const result = pickRandom(random, steps, 1);
    random = result.random;
    return result.picked[0]! * TICK_MS;
  };
  const step = (id: string, event: ShareEvent) =>
    states.set(id, stepShares(states.get(id)!, event, now, hash).state);
  const change = (members: string[]) => {
    changedAt = now;
    for (const id of members) {
      if (!states.has(id)) {
        states.set(id, initialShares(id, 16, LIMITS));
        step(id, {type: 'endpoints', list: [ENDPOINT]});
      }
      known.set(id, [...(known.get(id) ?? []), {at: now + delay(), members}]);
    }
    for (const id of [...states.keys()]) {
      if (!members.includes(id)) states.delete(id);
    }
  };
  const run = (forMs: number) => {
    for (const end = now + forMs; now < end; now += TICK_MS) {
      for (const id of states.keys()) {
        for (const news of known.get(id) ?? []) {
          if (news.at === now) step(id, {type: 'members', ids: news.members});
        }
        step(id, {type: 'tick'});
      }
      const held = [...states.values()].map(state =>
        allowedConnections(state, 'e1'),
      );
      const total = held.reduce((sum, part) => sum + part, 0);
      const isLearning = now - changedAt < LEARN_MS;
      const most = ENDPOINT.connections + (isLearning ? 1 : 0);
      assert.ok(total <= most, `${total} at ${now}`);
    }
    for (const [id, state] of states)
      assert.ok(allowedConnections(state, 'e1') > 0, id);
  };
  change(ids(0, 8));
  run(3000);
  for (let size = 9; size <= 16; size++) {
    change(ids(0, size));
    run(2000);
  }
  for (let gone = 1; gone <= 8; gone++) {
    change(ids(gone, 16));
    run(2000);
  }
});

test('an instance that knows no other keeps to the size by settings', () => {
  let state = initialShares('a', 8, LIMITS);
  const endpoints = {type: 'endpoints', list: [ENDPOINT]} as const;
  state = stepShares(state, endpoints, 0, hash).state;
  state = stepShares(state, {type: 'tick'}, 60_000, hash).state;
  assert.equal(allowedConnections(state, 'e1'), 2);
});

/** Two instances that share four connections. */
function two(): {a: ShareState; b: ShareState} {
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

test('who waits with all in use asks, not too often', () => {
  const {a} = two();
  const first = stepShares(a, use(2, 1), 10, hash);
  assert.deepEqual(typesOf(first.effects), ['want']);
  const soon = stepShares(first.state, use(2, 1), 50, hash);
  assert.deepEqual(soon.effects, []);
  const later = stepShares(soon.state, use(2, 1), 110, hash);
  assert.deepEqual(typesOf(later.effects), ['want']);
});

const LENDING: ReadonlyArray<[string, ShareEvent, number]> = [
  ['nothing in use', use(0, 0), 1],
  ['one in use', use(1, 0), 1],
  ['all in use', use(2, 0), 0],
  ['requests waiting here too', use(0, 1), 0],
];

for (const [name, state, lent] of LENDING) {
  test(`lending with ${name}: ${lent}`, () => {
    const before = stepShares(two().b, state, 0, hash).state;
    const ask = {type: 'wanted', from: 'a', endpoint: 'e1', count: 1} as const;
    const result = stepShares(before, ask, 10, hash);
    assert.equal(allowedConnections(result.state, 'e1'), 2 - lent);
    assert.equal(typesOf(result.effects).includes('grant'), lent > 0);
  });
}

test('a loan ends for the borrower before it ends for the lender', () => {
  const {a, b} = two();
  const asked = stepShares(a, use(2, 1), 100, hash).state;
  const ask = {type: 'wanted', from: 'a', endpoint: 'e1', count: 1} as const;
  let lender = stepShares(b, ask, 120, hash).state;
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
