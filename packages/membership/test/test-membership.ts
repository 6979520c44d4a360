import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type MemberRecord, supersedes} from '../src/index.js';
import {type SimulatedFleet, simulatedFleet} from './simulated-fleet.js';

const ALL = ['i0', 'i1', 'i2', 'i3', 'i4'];
const ALL_BUT_I1 = ['i0', 'i2', 'i3', 'i4'];

interface Case {
  readonly name: string;
  readonly fault: (fleet: SimulatedFleet) => void;
  /**
   * Members that the instances other than i1 consider alive during the fault.
   */
  readonly aliveDuringFault: readonly string[];
  readonly repair: (fleet: SimulatedFleet) => void;
  /**
   * Members that the instances other than i1 consider alive after the repair.
   */
  readonly aliveAfterRepair: readonly string[];
}

const restoreLinks = (fleet: SimulatedFleet) => {
  fleet.link = () => 'pass';
};

const CASES: readonly Case[] = [
  {
    name: 'a member partitioned from all others is removed until the partition ends',
    fault: fleet => {
      fleet.link = (a, b) => (a === 'i1' || b === 'i1' ? 'drop' : 'pass');
    },
    aliveDuringFault: ALL_BUT_I1,
    repair: restoreLinks,
    aliveAfterRepair: ALL,
  },
  {
    name: 'a link that is down in both directions is covered by indirect probes',
    fault: fleet => {
      fleet.link = (a, b) =>
        (a === 'i1' && b === 'i2') || (a === 'i2' && b === 'i1')
          ? 'drop'
          : 'pass';
    },
    aliveDuringFault: ALL,
    repair: restoreLinks,
    aliveAfterRepair: ALL,
  },
  {
    name: 'a link that is down in one direction is covered by indirect probes',
    fault: fleet => {
      fleet.link = (a, b) => (a === 'i2' && b === 'i1' ? 'drop' : 'pass');
    },
    aliveDuringFault: ALL,
    repair: restoreLinks,
    aliveAfterRepair: ALL,
  },
  {
    name: 'a member that receives but cannot send is removed until it can send',
    fault: fleet => {
      fleet.link = a => (a === 'i1' ? 'drop' : 'pass');
    },
    aliveDuringFault: ALL_BUT_I1,
    repair: restoreLinks,
    aliveAfterRepair: ALL,
  },
  {
    name: 'a paused member is removed until it resumes',
    fault: fleet => fleet.paused.add('i1'),
    aliveDuringFault: ALL_BUT_I1,
    repair: fleet => fleet.paused.delete('i1'),
    aliveAfterRepair: ALL,
  },
  {
    name: 'reordered and duplicated messages have no effect',
    fault: fleet => {
      fleet.link = () => 'twice';
      fleet.reversed = true;
    },
    aliveDuringFault: ALL,
    repair: restoreLinks,
    aliveAfterRepair: ALL,
  },
  {
    name: 'a member that announces its leaving stays removed',
    fault: fleet => {
      fleet.dispatch('i1', {type: 'leave'});
    },
    aliveDuringFault: ALL_BUT_I1,
    repair: restoreLinks,
    aliveAfterRepair: ALL_BUT_I1,
  },
];

for (const {name, fault, aliveDuringFault, repair, aliveAfterRepair} of CASES) {
  test(`membership: ${name}`, () => {
    const fleet = simulatedFleet(ALL.length);
    fleet.run(1000);
    for (const id of ALL) assert.deepEqual(fleet.aliveSeenBy(id), ALL, id);
    fault(fleet);
    fleet.run(2000);
    for (const id of ALL_BUT_I1) {
      const others = fleet.aliveSeenBy(id).filter(other => other !== id);
      const expected = aliveDuringFault.filter(other => other !== id);
      assert.deepEqual(others, expected, id);
    }
    repair(fleet);
    fleet.run(2000);
    for (const id of ALL_BUT_I1)
      assert.deepEqual(fleet.aliveSeenBy(id), aliveAfterRepair, id);
  });
}

test('leaving reaches all members at once, without the suspicion timeout', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  fleet.dispatch('i1', {type: 'leave'});
  fleet.run(100);
  const informed = ALL_BUT_I1.filter(
    id => !fleet.aliveSeenBy(id).includes('i1'),
  );
  assert.deepEqual(informed, ALL_BUT_I1);
});

test('an instance that resumes after a pause declares no member dead', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  fleet.link = (a, b) => (a === 'i1' || b === 'i1' ? 'drop' : 'pass');
  fleet.run(250);
  const acceptedStatuses = () =>
    (fleet.acceptedRecords.get('i1') ?? []).map(record => record.status);
  assert.ok(acceptedStatuses().includes('suspect'));
  fleet.paused.add('i1');
  fleet.link = () => 'pass';
  fleet.run(5000);
  fleet.paused.delete('i1');
  fleet.run(1000);
  assert.ok(!acceptedStatuses().includes('dead'));
  assert.deepEqual(fleet.aliveSeenBy('i1'), ALL);
});

test('two parts of a fleet rejoin through seed addresses after a partition', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  const inPartA = (id: string) => id === 'i0' || id === 'i1';
  fleet.link = (a, b) => (inPartA(a) === inPartA(b) ? 'pass' : 'drop');
  fleet.run(3000);
  assert.deepEqual(fleet.aliveSeenBy('i0'), ['i0', 'i1']);
  assert.deepEqual(fleet.aliveSeenBy('i4'), ['i2', 'i3', 'i4']);
  fleet.link = () => 'pass';
  fleet.run(3000);
  for (const id of ALL) assert.deepEqual(fleet.aliveSeenBy(id), ALL, id);
});

test('a new member does not gossip the records of its roster', () => {
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
  fleet.dispatch('i0', {type: 'received', message});
  const {members: known, queue} = fleet.states.get('i0')!;
  assert.deepEqual([known.size, queue.length], [20, 1]);
});

test('a report of suspected primaries reaches all members without waiting for probes', () => {
  const fleet = simulatedFleet(ALL.length);
  fleet.run(1000);
  const suspected = [{group: 'g', endpoint: 'e1', term: 3}];
  fleet.dispatch('i1', {type: 'suspects', suspected});
  fleet.run(50);
  for (const id of ALL_BUT_I1) {
    const report = fleet.states.get(id)!.reports.get('i1');
    assert.deepEqual(report?.suspected, suspected, id);
  }
});

test('a seed address that never answers does not become a member', () => {
  const fleet = simulatedFleet(ALL.length);
  for (const id of ALL) {
    fleet.dispatch(id, {type: 'listed', addresses: ['i0', 'ghost']});
  }
  fleet.run(2000);
  for (const id of ALL) assert.deepEqual(fleet.aliveSeenBy(id), ALL);
});

test('messages per instance do not increase with the size of a stable fleet', () => {
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

test('the record that takes precedence does not depend on the order of arrival', () => {
  const record = fc
    .tuple(
      fc.integer({min: 0, max: 2}),
      fc.constantFrom('alive', 'suspect', 'dead', 'left'),
    )
    .map(([incarnation, status]) => {
      const identity = {
        id: 'a',
        address: 'a',
        admin: 'a',
        dataCentre: 'recife',
      };
      return {...identity, incarnation, status} as MemberRecord;
    });
  const mergeAll = (records: readonly MemberRecord[]) => {
    let current: MemberRecord | undefined;
    for (const next of records) if (supersedes(next, current)) current = next;
    return current;
  };
  fc.assert(
    fc.property(fc.array(record, {maxLength: 8}), records => {
      assert.deepEqual(mergeAll([...records].reverse()), mergeAll(records));
    }),
    {seed: 5, numRuns: 500},
  );
});
