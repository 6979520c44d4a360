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
  checkBeforeWriteMs: 200,
  checkIdleMs: 1000,
  waitMs: 500,
  retryMs: 20,
  maxRetryMs: 100,
};

type Step = readonly [now: number, event: PoolEvent];

const wanted = (id: number, isWrite = false, until = 5000): PoolEvent => ({
  type: 'wanted',
  req: {id, isWrite, until},
});
const tick: PoolEvent = {type: 'tick'};
const given = (
  id: number,
  left: 'sound' | 'state' | 'broken',
  heardAt = 0,
): PoolEvent => ({type: 'given', id, left, heardAt});

/** Effects of the last step, each as a short text. */
function run(size: number, steps: readonly Step[]) {
  let state: PoolState = initialPool(size, LIMITS);
  let effects: readonly PoolEffect[] = [];
  for (const [now, event] of steps) {
    ({state, effects} = stepPool(state, event, now));
  }
  return {state, effects: effects.map(textOf)};
}

function textOf(effect: PoolEffect): string {
  if (effect.type === 'lend') return `lend ${effect.id} to ${effect.req}`;
  if (effect.type === 'fail') return `fail ${effect.req}`;
  return effect.type === 'open' ? 'open' : `${effect.type} ${effect.id}`;
}

interface Case {
  readonly name: string;
  readonly size: number;
  readonly steps: readonly Step[];
  /** Effects of the last step. */
  readonly expected: readonly string[];
}

const TWO_OPEN: readonly Step[] = [
  [0, tick],
  [0, {type: 'opened', id: 1}],
  [0, {type: 'opened', id: 2}],
];

const CASES: readonly Case[] = [
  {
    name: 'opens its whole share ahead of need',
    size: 3,
    steps: [[0, tick]],
    expected: ['open', 'open', 'open'],
  },
  {
    name: 'opens none for each request that waits',
    size: 1,
    steps: [
      [0, tick],
      [0, wanted(10)],
      [0, wanted(11)],
    ],
    expected: [],
  },
  {
    name: 'lends to the one who waits longest',
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
    name: 'checks an idle connection before a write',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [300, wanted(10, true)],
    ],
    expected: ['check 1'],
  },
  {
    name: 'does not check it before a read',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [300, wanted(10)],
    ],
    expected: ['lend 1 to 10'],
  },
  {
    name: 'lends it once the check is answered',
    size: 1,
    steps: [
      [0, tick],
      [0, {type: 'opened', id: 1}],
      [300, wanted(10, true)],
      [301, {type: 'checked', id: 1, sound: true}],
    ],
    expected: ['lend 1 to 10'],
  },
  {
    name: 'closes a silent one, doubts the others and opens anew',
    size: 2,
    steps: [
      ...TWO_OPEN,
      [300, wanted(10, true)],
      [550, {type: 'checked', id: 2, sound: false}],
    ],
    expected: ['close 2', 'check 1', 'open'],
  },
  {
    name: 'checks even before a read once others were silent',
    size: 2,
    steps: [...TWO_OPEN, [10, {type: 'suspected'}]],
    expected: ['check 2', 'check 1'],
  },
  {
    name: 'pauses after a refusal',
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
    name: 'tries with one connection after the pause',
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
    name: 'fails a request that has waited for too long',
    size: 1,
    steps: [
      [0, tick],
      [0, wanted(10, false, 100)],
      [100, tick],
    ],
    expected: ['fail 10'],
  },
  {
    name: 'sends reads elsewhere at once while none can be opened',
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
    name: 'resets what may hold state before it is lent again',
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
    name: 'closes what came back broken and opens another',
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
    name: 'closes idle connections beyond a smaller share',
    size: 2,
    steps: [...TWO_OPEN, [1, {type: 'resized', size: 1}]],
    expected: ['close 1'],
  },
  {
    name: 'closes lent ones beyond it as they come back',
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

test('the pool never holds more than its share nor lends one twice', () => {
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
    (size, words) => {
      let state = initialPool(size, LIMITS);
      let now = 0;
      let lastId = 0;
      const lent = new Set<number>();
      const send = (next: PoolEvent) => {
        const result = stepPool(state, next, now);
        state = result.state;
        for (const effect of result.effects) {
          if (effect.type !== 'lend') continue;
          assert.ok(!lent.has(effect.id), 'lent twice');
          lent.add(effect.id);
        }
        const open = state.connections.length + state.opening;
        assert.ok(open <= size, `${open} of ${size}`);
      };
      const giveBack = (left: 'sound' | 'broken') => {
        const id = [...lent][0];
        if (id === undefined) return;
        lent.delete(id);
        send(given(id, left, now));
      };
      const answerCheck = (sound: boolean) => {
        const item = state.connections.find(({use}) => use === 'checking');
        if (item) send({type: 'checked', id: item.id, sound});
      };
      send(tick);
      for (const word of words) {
        now += 50;
        if (word === 'want')
          send(wanted(++lastId, lastId % 2 === 0, now + 500));
        if (word === 'open' && state.opening > 0) {
          send({type: 'opened', id: ++lastId});
        }
        if (word === 'refuse' && state.opening > 0) send({type: 'notOpened'});
        if (word === 'give') giveBack('sound');
        if (word === 'break') giveBack('broken');
        if (word === 'check') answerCheck(true);
        if (word === 'silent') answerCheck(false);
        if (word === 'tick') send(tick);
      }
    },
  );
  fc.assert(property, {seed: 7, numRuns: 300});
});
