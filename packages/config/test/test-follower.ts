import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type FollowerEvent,
  type FollowerState,
  digestOf,
  initialFollower,
  scaleToFleet,
  stepFollower,
} from '../src/index.js';

const document = (generation: number, changeId = `c${generation}`) => ({
  generation,
  changeId,
  groups: [],
});

const read = (generation: number, changeId?: string): FollowerEvent => ({
  type: 'document',
  source: 'read',
  from: 'store',
  document: document(generation, changeId),
  version: generation,
});

const fromPeer = (generation: number, changeId?: string): FollowerEvent => ({
  type: 'document',
  source: 'peer',
  from: 'p2',
  document: document(generation, changeId),
});

const announced = (generation: number, changeId?: string): FollowerEvent => ({
  type: 'heard',
  from: 'p2',
  generation,
  digest: digestOf(document(generation, changeId)),
});

const storeDown: FollowerEvent = {type: 'storeDown', why: 'no answer'};
const invalid: FollowerEvent = {
  type: 'document',
  source: 'watched',
  from: 'store',
  document: {generation: 9},
  version: 9,
};

interface Case {
  readonly name: string;
  readonly events: readonly FollowerEvent[];
  /** Types of the effects of the last event. */
  readonly effects: readonly string[];
  readonly inForce: number | undefined;
}

const CASES: readonly Case[] = [
  {
    name: 'first read from the store',
    events: [read(1)],
    effects: ['apply'],
    inForce: 1,
  },
  {
    name: 'a read with a higher generation',
    events: [read(1), read(2)],
    effects: ['apply'],
    inForce: 2,
  },
  {
    name: 'a read with a lower generation',
    events: [read(2), read(1)],
    effects: [],
    inForce: 2,
  },
  {
    name: 'the same document read twice',
    events: [read(2), read(2)],
    effects: [],
    inForce: 2,
  },
  {
    name: 'a document with a lower generation from a peer',
    events: [read(3), fromPeer(2)],
    effects: [],
    inForce: 3,
  },
  {
    name: 'a peer announces a higher generation',
    events: [read(1), announced(2)],
    effects: ['askPeer'],
    inForce: 1,
  },
  {
    name: 'a peer announces a higher generation and sends the document',
    events: [read(1), announced(2), fromPeer(2)],
    effects: ['apply'],
    inForce: 2,
  },
  {
    name: 'a read with a lower generation than a peer sent',
    events: [fromPeer(4), read(3)],
    effects: [],
    inForce: 4,
  },
  {
    name: 'store unreachable at start',
    events: [storeDown],
    effects: ['storeChanged', 'askPeers'],
    inForce: undefined,
  },
  {
    name: 'store unreachable at start, second failure',
    events: [storeDown, storeDown],
    effects: ['askPeers'],
    inForce: undefined,
  },
  {
    name: 'store unreachable with a configuration in force',
    events: [read(1), storeDown],
    effects: ['storeChanged'],
    inForce: 1,
  },
  {
    name: 'store reachable again',
    events: [storeDown, {type: 'storeUp'}],
    effects: ['storeChanged'],
    inForce: undefined,
  },
  {
    name: 'a different document with the generation in force',
    events: [read(2), read(2, 'x')],
    effects: ['conflict'],
    inForce: 2,
  },
  {
    name: 'the same conflicting document read again',
    events: [read(2), read(2, 'x'), read(2, 'x')],
    effects: [],
    inForce: 2,
  },
  {
    name: 'a peer announces a conflicting digest',
    events: [read(2), announced(2, 'x')],
    effects: ['conflict'],
    inForce: 2,
  },
  {
    name: 'a higher generation after a conflict',
    events: [read(2), read(2, 'x'), read(3)],
    effects: ['apply'],
    inForce: 3,
  },
  {
    name: 'an invalid document',
    events: [read(2), invalid],
    effects: ['refused'],
    inForce: 2,
  },
  {
    name: 'the same invalid document again',
    events: [read(2), invalid, invalid],
    effects: [],
    inForce: 2,
  },
];

function run(events: readonly FollowerEvent[]) {
  let state: FollowerState = initialFollower();
  let effects: string[] = [];
  for (const event of events) {
    const result = stepFollower(state, event);
    state = result.state;
    effects = result.effects.map(effect => effect.type);
  }
  return {state, effects};
}

for (const {name, events, effects, inForce} of CASES) {
  test(`follower: ${name}`, () => {
    const result = run(events);
    assert.deepEqual(result.effects, effects);
    assert.equal(result.state.inForce?.cfg.generation, inForce);
  });
}

test('the generation in force never decreases, and its document never changes', () => {
  const events = fc.oneof(
    fc.tuple(
      fc.constantFrom(read, fromPeer, announced),
      fc.integer({min: 1, max: 6}),
      fc.constantFrom('x', 'y'),
    ),
    fc.constant([() => storeDown, 0, ''] as const),
  );
  fc.assert(
    fc.property(fc.array(events, {maxLength: 40}), list => {
      let state = initialFollower();
      for (const [make, generation, id] of list) {
        const before = state.inForce;
        state = stepFollower(state, make(generation, id)).state;
        const after = state.inForce;
        if (!before) continue;
        assert.ok(after && after.cfg.generation >= before.cfg.generation);
        if (after.cfg.generation === before.cfg.generation) {
          assert.equal(after.digest, before.digest);
        }
      }
    }),
    {seed: 11, numRuns: 500},
  );
});

test('total platform calls do not increase with the size of the fleet', () => {
  const base = {watchMs: 2000, rereadMs: 1000};
  assert.deepEqual(scaleToFleet(base, 3), base);
  assert.equal(400 / scaleToFleet(base, 400).rereadMs, 8 / 1000);
});

test('a store restored from an older copy does not hide its next change', () => {
  const watched: FollowerEvent = {...read(7), version: 5} as FollowerEvent;
  let state = initialFollower();
  for (const event of [read(6), {...read(4), version: 4} as FollowerEvent])
    state = stepFollower(state, event).state;
  assert.equal(state.version, 4);
  assert.equal(state.inForce?.cfg.generation, 6);
  assert.equal(stepFollower(state, watched).state.inForce?.cfg.generation, 7);
});
