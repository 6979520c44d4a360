import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type PoolEffect,
  type PoolEvent,
  type PoolLimits,
  type PoolState,
  initialPool,
  stepPool,
} from '../src/index.js';

const LIMITS: PoolLimits = {
  maxAgeForWriteMs: 200,
  idleCheckAfterMs: 1000,
  maxWaitMs: 500,
  initialRetryDelayMs: 20,
  maxRetryDelayMs: 100,
};

type Step = readonly [now: number, event: PoolEvent];

const wanted = (id: number, isWrite = false, deadline = 5000): PoolEvent => ({
  type: 'wanted',
  req: {id, isWrite, deadline},
});
const tick: PoolEvent = {type: 'tick'};
const given = (
  id: number,
  condition: 'sound' | 'state' | 'broken',
  lastReceivedAt = 0,
): PoolEvent => ({type: 'given', id, condition, lastReceivedAt});

/** Returns the state and the effects of the last step, each as a short text. */
function run(size: number, steps: readonly Step[]) {
  let state: PoolState = initialPool(size, LIMITS);
  let effects: readonly PoolEffect[] = [];
  for (const [now, event] of steps) {
    ({state, effects} = stepPool(state, event, now));
  }
  return {state, effects: effects.map(describeEffect)};
}

function describeEffect(effect: PoolEffect): string {
  if (effect.type === 'lend') return `lend ${effect.id} to ${effect.req}`;
  if (effect.type === 'fail') return `fail ${effect.req}`;
  return effect.type === 'open' ? 'open' : `${effect.type} ${effect.id}`;
}

interface PoolCase {
  readonly name: string;
  readonly size: number;
  readonly steps: readonly Step[];
  /** Expected effects of the last step. */
  readonly expected: readonly string[];
}

const TWO_OPEN: readonly Step[] = [
  [0, tick],
  [0, {type: 'opened', id: 1}],
  [0, {type: 'opened', id: 2}],
];

const CASES: readonly PoolCase[] = [
  {
    name: 'opens its whole share before any request',
    size: 3,
    steps: [[0, tick]],
    expected: ['open', 'open', 'open'],
  },
  {
    name: 'opens no connections beyond its share for waiting requests',
    size: 1,
    steps: [
      [0, tick],
      [0, wanted(10)],
      [0, wanted(11)],
    ],
    expected: [],
  },
  {
    name: 'lends to the request that has waited longest',
    size: 1,
    steps: [
      [0, tick],
      [0, wanted(10)],
      [0, wanted(11)],
      [5, {type: 'opened', id: 1}],
    ],
    expected: ['lend 1 to 10'],
  },
  {
    name: 'checks a connection that has been idle before a write',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [300, wanted(10, true)],
    ],
    expected: ['check 1'],
  },
  {
    name: 'does not check a connection that has been idle before a read',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [300, wanted(10)],
    ],
    expected: ['lend 1 to 10'],
  },
  {
    name: 'lends a connection for a write once its check is answered',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [300, wanted(10, true)],
      [301, {type: 'checked', id: 1, answered: true}],
    ],
    expected: ['lend 1 to 10'],
  },
  {
    name: 'closes a connection that misses a check, checks the others and opens a new one',
    size: 2,
    steps: [
      ...TWO_OPEN,
      [300, wanted(10, true)],
      [550, {type: 'checked', id: 2, answered: false}],
    ],
    expected: ['close 2', 'check 1', 'open'],
  },
  {
    name: 'checks idle connections at once after a request got no response',
    size: 2,
    steps: [...TWO_OPEN, [10, {type: 'suspected'}]],
    expected: ['check 2', 'check 1'],
  },
  {
    name: 'does not connect again before the retry delay has passed',
    size: 2,
    steps: [
      [0, tick],
      [1, {type: 'notOpened'}],
      [1, {type: 'notOpened'}],
      [30, tick],
    ],
    expected: [],
  },
  {
    name: 'opens one connection to retry after the delay',
    size: 2,
    steps: [
      [0, tick],
      [1, {type: 'notOpened'}],
      [1, {type: 'notOpened'}],
      [41, tick],
    ],
    expected: ['open'],
  },
  {
    name: 'fails a request whose deadline has passed',
    size: 1,
    steps: [
      [0, tick],
      [0, wanted(10, false, 100)],
      [100, tick],
    ],
    expected: ['fail 10'],
  },
  {
    name: 'fails waiting reads at once but not writes when no connection can be opened',
    size: 1,
    steps: [
      [0, tick],
      [0, wanted(10)],
      [0, wanted(11, true)],
      [1, {type: 'notOpened'}],
    ],
    expected: ['fail 10'],
  },
  {
    name: 'resets a connection that may hold session state before it is lent again',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [0, wanted(10)],
      [1, given(1, 'state', 1)],
    ],
    expected: ['reset 1'],
  },
  {
    name: 'closes a connection that is returned broken and opens another',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [0, wanted(10)],
      [1, given(1, 'broken')],
    ],
    expected: ['close 1', 'open'],
  },
  {
    name: 'closes surplus idle connections when its share shrinks',
    size: 2,
    steps: [...TWO_OPEN, [1, {type: 'resized', size: 1}]],
    expected: ['close 1'],
  },
  {
    name: 'closes surplus connections in use after they are returned',
    size: 2,
    steps: [
      ...TWO_OPEN,
      [1, wanted(10)],
      [1, wanted(11)],
      [2, {type: 'resized', size: 1}],
      [3, given(1, 'sound', 3)],
    ],
    expected: ['close 1'],
  },
];

for (const {name, size, steps, expected} of CASES) {
  test(`the pool ${name}`, () => {
    assert.deepEqual(run(size, steps).effects, expected);
  });
}

test('the pool never exceeds its share or lends a connection twice', () => {
  const event = fc.oneof(
    fc.constant('want'),
    fc.constant('open'),
    fc.constant('refuse'),
    fc.constant('give'),
    fc.constant('break'),
    fc.constant('check'),
    fc.constant('silent'),
    fc.constant('tick'),
  );
  const property = fc.property(
    fc.integer({min: 1, max: 4}),
    fc.array(event, {maxLength: 120}),
    (size, actions) => {
      let state = initialPool(size, LIMITS);
      let now = 0;
      let lastId = 0;
      const lent = new Set<number>();
      const send = (next: PoolEvent) => {
        const result = stepPool(state, next, now);
        state = result.state;
        for (const effect of result.effects) {
          if (effect.type !== 'lend') continue;
          assert.ok(!lent.has(effect.id), 'connection lent twice');
          lent.add(effect.id);
        }
        const open = state.connections.length + state.opening;
        assert.ok(open <= size, `${open} connections, share of ${size}`);
      };
      const giveBack = (condition: 'sound' | 'broken') => {
        const id = [...lent][0];
        if (id === undefined) return;
        lent.delete(id);
        send(given(id, condition, now));
      };
      const answerCheck = (answered: boolean) => {
        const item = state.connections.find(
          ({status}) => status === 'checking',
        );
        if (item) send({type: 'checked', id: item.id, answered});
      };
      send(tick);
      for (const action of actions) {
        now += 50;
        if (action === 'want')
          send(wanted(++lastId, lastId % 2 === 0, now + 500));
        if (action === 'open' && state.opening > 0) {
          send({type: 'opened', id: ++lastId});
        }
        if (action === 'refuse' && state.opening > 0) send({type: 'notOpened'});
        if (action === 'give') giveBack('sound');
        if (action === 'break') giveBack('broken');
        if (action === 'check') answerCheck(true);
        if (action === 'silent') answerCheck(false);
        if (action === 'tick') send(tick);
      }
    },
  );
  fc.assert(property, {seed: 7, numRuns: 300});
});
