import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type MemberRecord, supersedes} from '../src/index.js';
import {type SimulatedFleet, simulatedFleet} from './simulated-fleet.js';

const ALL = ['i0', 'i1', 'i2', 'i3', 'i4'];
const WITHOUT_1 = ['i0', 'i2', 'i3', 'i4'];

interface Case {
  readonly name: string;
  readonly fault: (fleet: SimulatedFleet) => void;
  /** Whom the others hold for alive while the fault lasts. */
  readonly during: readonly string[];
  readonly mend: (fleet: SimulatedFleet) => void;
  /** Whom everyone holds for alive afterwards. */
  readonly after: readonly string[];
}

const pass = (fleet: SimulatedFleet) => {
  fleet.path = () => 'pass';
};

const CASES: readonly Case[] = [
  {
    name: 'cut off from everyone',
    fault: fleet => {
      fleet.path = (a, b) => (a === 'i1' || b === 'i1' ? 'drop' : 'pass');
    },
    during: WITHOUT_1,
    mend: pass,
    after: ALL,
  },
  {
    name: 'cut off from one, reached through others',
    fault: fleet => {
      fleet.path = (a, b) =>
        (a === 'i1' && b === 'i2') || (a === 'i2' && b === 'i1')
          ? 'drop'
          : 'pass';
    },
    during: ALL,
    mend: pass,
    after: ALL,
  },
  {
    name: 'cut one way from one',
    fault: fleet => {
      fleet.path = (a, b) => (a === 'i2' && b === 'i1' ? 'drop' : 'pass');
    },
    during: ALL,
    mend: pass,
    after: ALL,
  },
  {
    name: 'heard by nobody, but hearing everyone',
    fault: fleet => {
      fleet.path = a => (a === 'i1' ? 'drop' : 'pass');
    },
    during: WITHOUT_1,
    mend: pass,
    after: ALL,
  },
  {
    name: 'paused, and woken',
    fault: fleet => fleet.paused.add('i1'),
    during: WITHOUT_1,
    mend: fleet => fleet.paused.delete('i1'),
    after: ALL,
  },
  {
    name: 'messages crossed and twice',
    fault: fleet => {
      fleet.path = () => 'twice';
      fleet.crossed = true;
    },
    during: ALL,
    mend: pass,
    after: ALL,
  },
  {
    name: 'leaving at its own wish',
    fault: fleet => {
      fleet.give('i1', {type: 'leave'});
    },
    during: WITHOUT_1,
    mend: pass,
    after: WITHOUT_1,
  },
];

for (const {name, fault, during, mend, after} of CASES) {
  test(`membership: ${name}`, () => {
    const fleet = simulatedFleet(ALL.length);
    fleet.run(1000);
    for (const id of ALL) assert.deepEqual(fleet.aliveIn(id), ALL, id);
    fault(fleet);
    fleet.run(2000);
    for (const id of WITHOUT_1) {
      const others = fleet.aliveIn(id).filter(other => other !== id);
      const wanted = during.filter(other => other !== id);
      assert.deepEqual(others, wanted, id);
    }
    mend(fleet);
    fleet.run(2000);
    for (const id of WITHOUT_1) assert.deepEqual(fleet.aliveIn(id), after, id);
  });
}

test('leaving is told at once, without a suspicion', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  fleet.give('i1', {type: 'leave'});
  fleet.run(100);
  const told = WITHOUT_1.filter(id => !fleet.aliveIn(id).includes('i1'));
  assert.deepEqual(told, WITHOUT_1);
});

test('a woken instance declares nobody dead', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  fleet.path = (a, b) => (a === 'i1' || b === 'i1' ? 'drop' : 'pass');
  fleet.run(250);
  const taken = () =>
    (fleet.taken.get('i1') ?? []).map(record => record.status);
  assert.ok(taken().includes('suspect'));
  fleet.paused.add('i1');
  fleet.path = () => 'pass';
  fleet.run(5000);
  fleet.paused.delete('i1');
  fleet.run(1000);
  assert.ok(!taken().includes('dead'));
  assert.deepEqual(fleet.aliveIn('i1'), ALL);
});

test('two halves that were apart find each other by the list', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  const isLeft = (id: string) => id === 'i0' || id === 'i1';
  fleet.path = (a, b) => (isLeft(a) === isLeft(b) ? 'pass' : 'drop');
  fleet.run(3000);
  assert.deepEqual(fleet.aliveIn('i0'), ['i0', 'i1']);
  assert.deepEqual(fleet.aliveIn('i4'), ['i2', 'i3', 'i4']);
  fleet.path = () => 'pass';
  fleet.run(3000);
  for (const id of ALL) assert.deepEqual(fleet.aliveIn(id), ALL, id);
});

test('a newcomer does not pass on what it was told at its start', () => {
  const fleet = simulatedFleet(1);
  const record = (i: number): MemberRecord => ({
    id: `x${i}`,
    address: `x${i}`,
    admin: `x${i}`,
    dataCentre: 'natal',
    incarnation: 1,
    status: 'alive',
  });
  const members = Array.from({length: 20}, (_, i) => record(i));
  const config = {generation: 0, digest: ''};
  const envelope = {from: record(0), config, changes: []};
  const message = {...envelope, type: 'roster', members} as const;
  fleet.give('i0', {type: 'received', message});
  const {members: known, queue} = fleet.states.get('i0')!;
  assert.deepEqual([known.size, queue.length], [20, 1]);
});

test('a report of suspected primaries reaches everyone at once', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  const suspected = [{group: 'g', endpoint: 'e1', term: 3}];
  fleet.give('i1', {type: 'suspects', suspected});
  fleet.run(50);
  for (const id of WITHOUT_1) {
    const report = fleet.states.get(id)!.reports.get('i1');
    assert.deepEqual(report?.suspected, suspected, id);
  }
});

test('a listed address that never answers is no member', () => {
  const fleet = simulatedFleet(ALL.length);
  for (const id of ALL) {
    fleet.give(id, {type: 'listed', addresses: ['i0', 'ghost']});
  }
  fleet.run(2000);
  for (const id of ALL) assert.deepEqual(fleet.aliveIn(id), ALL);
});

test('messages in a steady fleet do not grow with it', () => {
  const sentBy = (size: number) => {
    const fleet = simulatedFleet(size);
    fleet.run(4000);
    fleet.sent.clear();
    fleet.run(2000);
    let total = 0;
    for (const messages of fleet.sent.values()) total += messages.length;
    return total / size;
  };
  assert.ok(sentBy(32) <= 1.2 * sentBy(8));
});

test('one record of two holds, in whatever order they come', () => {
  const record = fc
    .tuple(
      fc.integer({min: 0, max: 2}),
      fc.constantFrom('alive', 'suspect', 'dead', 'left'),
    )
    .map(([incarnation, status]) => {
      const named = {id: 'a', address: 'a', admin: 'a', dataCentre: 'recife'};
      return {...named, incarnation, status} as MemberRecord;
    });
  const last = (records: readonly MemberRecord[]) => {
    let held: MemberRecord | undefined;
    for (const next of records) if (supersedes(next, held)) held = next;
    return held;
  };
  fc.assert(
    fc.property(fc.array(record, {maxLength: 8}), records => {
      assert.deepEqual(last([...records].reverse()), last(records));
    }),
    {seed: 5, numRuns: 500},
  );
});
