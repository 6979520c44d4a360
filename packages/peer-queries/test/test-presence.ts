/** Which instances count, as their entries are renewed or stay silent. */
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

const SILENT_MS = 100;

function entry(instance: string, revision: number): ListedInstance {
  const address = `${instance}:1`;
  return {instance, address, relay: address, dataCentre: 'z', revision};
}

function readings(
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
  it('counts while its entry is renewed, and no longer', () => {
    const presence = readings(
      [0, [entry('a', 1), entry('b', 2)]],
      [90, [entry('a', 1), entry('b', 3)]],
    );
    assert.deepEqual(namesOf(presentInstances(presence, 100, SILENT_MS)), [
      'a',
      'b',
    ]);
    assert.deepEqual(namesOf(presentInstances(presence, 101, SILENT_MS)), [
      'b',
    ]);
  });

  it('is not renewed by a list that is older than one read before', () => {
    const presence = readings(
      [0, [entry('a', 5)]],
      [90, [entry('a', 4)]],
      [95, [entry('a', 5)]],
    );
    assert.deepEqual(presentInstances(presence, 101, SILENT_MS), []);
  });

  it('that has left the list counts no more', () => {
    const presence = readings([0, [entry('a', 1)]], [10, []]);
    assert.deepEqual(presentInstances(presence, 10, SILENT_MS), []);
  });

  it('that is silent is removed by one other', () => {
    const renewed = ['a', 'c', 'd'].map(name => entry(name, 9));
    const all = ['a', 'b', 'c', 'd', 'e'].map(name => entry(name, 1));
    const silent = [entry('b', 1), entry('e', 1)];
    const presence = readings([0, all], [90, [...renewed, ...silent]]);
    const removed = (by: string) =>
      namesOf(entriesToRemove(presence, by, 150, SILENT_MS));
    assert.deepEqual(removed('c'), ['b']);
    assert.deepEqual(removed('a'), ['e']);
    assert.deepEqual(removed('d'), []);
  });
});
