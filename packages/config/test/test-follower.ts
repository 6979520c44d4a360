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

const pushed = (generation: number, changeId?: string): FollowerEvent => ({
  type: 'document',
  source: 'peer',
  from: 'p2',
  document: document(generation, changeId),
});

const heard = (generation: number, changeId?: string): FollowerEvent => ({
  type: 'heard',
  from: 'p2',
  generation,
  digest: digestOf(document(generation, changeId)),
});

const down: FollowerEvent = {type: 'storeDown', why: 'no answer'};
const bad: FollowerEvent = {
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
  {name: 'a first read', events: [read(1)], effects: ['apply'], inForce: 1},
  {
    name: 'a higher one',
    events: [read(1), read(2)],
    effects: ['apply'],
    inForce: 2,
  },
  {name: 'a stale read', events: [read(2), read(1)], effects: [], inForce: 2},
  {name: 'the same twice', events: [read(2), read(2)], effects: [], inForce: 2},
  {name: 'an old peer', events: [read(3), pushed(2)], effects: [], inForce: 3},
  {
    name: 'a peer ahead',
    events: [read(1), heard(2)],
    effects: ['askPeer'],
    inForce: 1,
  },
  {
    name: 'its document',
    events: [read(1), heard(2), pushed(2)],
    effects: ['apply'],
    inForce: 2,
  },
  {
    name: 'a stale read after a peer',
    events: [pushed(4), read(3)],
    effects: [],
    inForce: 4,
  },
  {
    name: 'start, store down',
    events: [down],
    effects: ['storeChanged', 'askPeers'],
    inForce: undefined,
  },
  {
    name: 'store still down',
    events: [down, down],
    effects: ['askPeers'],
    inForce: undefined,
  },
  {
    name: 'store down later',
    events: [read(1), down],
    effects: ['storeChanged'],
    inForce: 1,
  },
  {
    name: 'store back',
    events: [down, {type: 'storeUp'}],
    effects: ['storeChanged'],
    inForce: undefined,
  },
  {
    name: 'changed under its generation',
    events: [read(2), read(2, 'x')],
    effects: ['conflict'],
    inForce: 2,
  },
  {
    name: 'the same conflict again',
    events: [read(2), read(2, 'x'), read(2, 'x')],
    effects: [],
    inForce: 2,
  },
  {
    name: 'a conflict heard from a peer',
    events: [read(2), heard(2, 'x')],
    effects: ['conflict'],
    inForce: 2,
  },
  {
    name: 'higher after a conflict',
    events: [read(2), read(2, 'x'), read(3)],
    effects: ['apply'],
    inForce: 3,
  },
  {
    name: 'an invalid document',
    events: [read(2), bad],
    effects: ['refused'],
    inForce: 2,
  },
  {
    name: 'an invalid document again',
    events: [read(2), bad, bad],
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
    const end = run(events);
    assert.deepEqual(end.effects, effects);
    assert.equal(end.state.inForce?.cfg.generation, inForce);
  });
}

test('a generation only rises, and its document never changes', () => {
  const events = fc.oneof(
    fc.tuple(
      fc.constantFrom(read, pushed, heard),
      fc.integer({min: 1, max: 6}),
      fc.constantFrom('x', 'y'),
    ),
    fc.constant([() => down, 0, ''] as const),
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

test('the fleet as a whole calls the platform no more often as it grows', () => {
  const base = {watchMs: 2000, rereadMs: 1000};
  assert.deepEqual(scaleToFleet(base, 3), base);
  assert.equal(400 / scaleToFleet(base, 400).rereadMs, 8 / 1000);
});
