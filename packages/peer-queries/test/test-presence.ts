/** Which instances are considered alive, and which one removes an entry. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type ListedInstance,
  NO_INSTANCES,
  type Presence,
  updatePresence,
  presentInstances,
  entriesToRemove,
} from '../src/index.js';

const TIMEOUT_MS = 100;

function entry(instance: string, revision: number): ListedInstance {
  const address = `${instance}:1`;
  return {
    instance,
    address,
    relay: address,
    dataCentre: 'z',
    facts: 0,
    era: 1,
    revision,
  };
}

function presenceAfter(
  ...lists: ReadonlyArray<readonly [number, readonly ListedInstance[]]>
): Presence {
  let presence = NO_INSTANCES;
  for (const [at, entries] of lists) {
    presence = updatePresence(presence, entries, at);
  }
  return presence;
}

function namesOf(entries: readonly ListedInstance[]): string[] {
  return entries.map(({instance}) => instance).sort();
}

describe('an instance', () => {
  it('is present while its entry is renewed, and no longer', () => {
    const presence = presenceAfter(
      [0, [entry('a', 1), entry('b', 2)]],
      [90, [entry('a', 1), entry('b', 3)]],
    );
    assert.deepEqual(namesOf(presentInstances(presence, 100, TIMEOUT_MS)), [
      'a',
      'b',
    ]);
    assert.deepEqual(namesOf(presentInstances(presence, 101, TIMEOUT_MS)), [
      'b',
    ]);
  });

  it('is not considered renewed by a read staler than an earlier one', () => {
    const presence = presenceAfter(
      [0, [entry('a', 5)]],
      [90, [entry('a', 4)]],
      [95, [entry('a', 5)]],
    );
    assert.deepEqual(presentInstances(presence, 101, TIMEOUT_MS), []);
  });

  it('is not present once its entry is removed', () => {
    const presence = presenceAfter([0, [entry('a', 1)]], [10, []]);
    assert.deepEqual(presentInstances(presence, 10, TIMEOUT_MS), []);
  });

  it('that does not renew its entry is removed by one peer', () => {
    const renewed = ['a', 'c', 'd'].map(name => entry(name, 9));
    const all = ['a', 'b', 'c', 'd', 'e'].map(name => entry(name, 1));
    const unresponsive = [entry('b', 1), entry('e', 1)];
    const presence = presenceAfter(
      [0, all],
      [90, [...renewed, ...unresponsive]],
    );
    const removed = (by: string) =>
      namesOf(entriesToRemove(presence, by, 150, TIMEOUT_MS));
    assert.deepEqual(removed('c'), ['b']);
    assert.deepEqual(removed('a'), ['e']);
    assert.deepEqual(removed('d'), []);
  });
});

describe('in a restored store, an instance', () => {
  const inNextEra = (instance: string, revision: number) => ({
    ...entry(instance, revision),
    era: 2,
  });
  const presentAfter = (
    at: number,
    restoredAt: number,
    lists: ReadonlyArray<readonly [number, readonly ListedInstance[]]>,
  ) => {
    let presence = NO_INSTANCES;
    for (const [now, entries] of lists)
      presence = updatePresence(
        presence,
        entries,
        now,
        now < restoredAt ? -Infinity : restoredAt,
      );
    return namesOf(presentInstances(presence, at, 1_000_000));
  };

  it('is present while its entry is missing, until it had time to return', () => {
    const lists = [
      [0, [entry('a', 5), entry('b', 9)]],
      [1000, [inNextEra('a', 5)]],
    ] as const;
    assert.deepEqual(presentAfter(1000, 900, lists), ['a', 'b']);
    const later = [...lists, [20_000, [inNextEra('a', 5)]]] as const;
    assert.deepEqual(presentAfter(20_000, 900, later), ['a']);
  });

  it('is renewed by a revision that is lower than its old one', () => {
    const lists = [
      [0, [entry('a', 50)]],
      [1000, [inNextEra('a', 20)]],
    ] as const;
    let presence = NO_INSTANCES;
    for (const [now, entries] of lists)
      presence = updatePresence(presence, entries, now, 900);
    const present = presentInstances(presence, 1050, TIMEOUT_MS);
    assert.deepEqual(namesOf(present), ['a']);
  });

  it('is not present again after it has left, and is removed', () => {
    const lists = [
      [0, [entry('a', 5), entry('b', 9)]],
      [1000, [entry('a', 5)]],
      [2000, [inNextEra('a', 5), inNextEra('b', 9)]],
    ] as const;
    assert.deepEqual(presentAfter(2000, 1900, lists), ['a']);
    let presence = NO_INSTANCES;
    for (const [now, entries] of lists)
      presence = updatePresence(presence, entries, now);
    const removed = entriesToRemove(presence, 'a', 2000, 1_000_000);
    assert.deepEqual(namesOf(removed), ['b']);
  });
});
