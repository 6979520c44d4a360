/** Copies of a kind that get the same changes from several readers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  type KindEvent,
  type KindObject,
  compareVersions,
} from '@quetzalreel/object-store';
import {
  type KindCopy,
  type KindDelta,
  deltaOf,
  mergeDelta,
  wholeCopy,
} from '../src/index.js';

/** A change in the store: the name, and whether it removes the object. */
interface Change {
  readonly name: string;
  readonly removes: boolean;
}

const change: fc.Arbitrary<Change> = fc.record({
  name: fc.constantFrom('a', 'b', 'c'),
  removes: fc.boolean(),
});

/** Revision of the empty store, at which every copy starts. */
const FIRST = 1;
const ERA = 1;
const EMPTY: KindCopy = {era: ERA, revision: FIRST, objects: new Map()};

/** The store's events, the first one above `FIRST`. */
function eventsOf(changes: readonly Change[]): KindEvent[] {
  return changes.map(({name, removes}, i) => ({
    object: {name, revision: FIRST + i + 1, value: i},
    deleted: removes,
  }));
}

/** The objects in the store at `revision`. */
function objectsAt(
  events: readonly KindEvent[],
  revision: number,
): Map<string, number> {
  const objects = new Map<string, number>();
  for (const {object, deleted} of events.slice(0, revision - FIRST)) {
    if (deleted) objects.delete(object.name);
    else objects.set(object.name, object.revision);
  }
  return objects;
}

function revisionsIn(copy: KindCopy): Map<string, number> {
  return new Map(
    [...copy.objects].map(([name, object]) => [name, object.revision]),
  );
}

function sorted(objects: Map<string, number>): Array<[string, number]> {
  return [...objects].sort(([a], [b]) => (a < b ? -1 : 1));
}

/** What a list returned at `revision`. */
function objectsListed(events: readonly KindEvent[], revision: number) {
  const newest = Math.min(revision, FIRST + events.length);
  const objects = new Map<string, KindObject>();
  for (const {object, deleted} of events.slice(0, newest - FIRST)) {
    if (deleted) objects.delete(object.name);
    else objects.set(object.name, object);
  }
  return {revision: newest, objects};
}

/** The deltas of a reader that reads after each of the revisions `stops`. */
function deltasOf(
  events: readonly KindEvent[],
  stops: readonly number[],
): KindDelta[] {
  const deltas: KindDelta[] = [];
  let copy = EMPTY;
  let read = 0;
  for (const stop of [...stops].sort((a, b) => a - b)) {
    const batch = events.slice(read, stop);
    if (batch.length === 0) continue;
    read = stop;
    const revision = FIRST + stop;
    const got = {isAll: false, era: ERA, revision, events: batch};
    const delta = deltaOf('k', copy, got);
    deltas.push(delta);
    const merged = mergeDelta(copy, delta);
    if (merged.type === 'merged') copy = merged.copy;
  }
  return deltas;
}

const history = fc.array(change, {minLength: 1, maxLength: 12});
const stops = fc.array(fc.integer({min: 1, max: 12}), {maxLength: 6});

describe('a copy', () => {
  it('is the state of the store at its revision, whatever arrives', () => {
    const order = fc.array(fc.nat(), {maxLength: 30});
    fc.assert(
      fc.property(history, stops, stops, order, (changes, one, two, picks) => {
        const events = eventsOf(changes);
        const deltas = [...deltasOf(events, one), ...deltasOf(events, two)];
        if (deltas.length === 0) return;
        let copy = EMPTY;
        for (const pick of picks) {
          const delta = deltas[pick % deltas.length]!;
          const merged = mergeDelta(copy, delta);
          if (merged.type !== 'merged') continue;
          assert.ok(merged.copy.revision > copy.revision);
          copy = merged.copy;
          const expected = objectsAt(events, copy.revision);
          assert.deepEqual(sorted(revisionsIn(copy)), sorted(expected));
        }
      }),
      {seed: 3, numRuns: 500},
    );
  });

  it('is repaired by a whole copy after a gap', () => {
    const events = eventsOf([
      {name: 'a', removes: false},
      {name: 'b', removes: false},
      {name: 'a', removes: true},
      {name: 'c', removes: false},
    ]);
    const [first, , third] = deltasOf(events, [1, 2, 3, 4]);
    const start = mergeDelta(undefined, {...first!, since: 0});
    assert.ok(start.type === 'merged');
    assert.equal(mergeDelta(start.copy, third!).type, 'gap');
    const objects = new Map([
      ['b', events[1]!.object],
      ['c', events[3]!.object],
    ]);
    const whole = wholeCopy('k', {era: ERA, revision: 5, objects});
    const repaired = mergeDelta(start.copy, whole);
    assert.ok(repaired.type === 'merged');
    assert.deepEqual(
      repaired.events.map(({object, deleted}) => [object.name, deleted]),
      [
        ['a', true],
        ['b', false],
        ['c', false],
      ],
    );
  });

  it('does not go back to a list that the store answered late', () => {
    const objects = new Map([['a', {name: 'a', revision: 9, value: 1}]]);
    const late = wholeCopy('k', {era: ERA, revision: 7, objects: new Map()});
    const copy = {era: ERA, revision: 9, objects};
    assert.equal(mergeDelta(copy, late).type, 'known');
  });

  it('is that of the newest past whose list arrived, across restores', () => {
    const order = fc.array(fc.nat(), {maxLength: 30});
    const kept = fc.nat(12);
    fc.assert(
      fc.property(
        history,
        history,
        kept,
        stops,
        stops,
        order,
        (lost, rewritten, kept, one, two, picks) => {
          const before = eventsOf(lost);
          const after = eventsOf([...lost.slice(0, kept), ...rewritten]);
          const listed = objectsListed(after, FIRST + kept);
          const deltas = [
            ...deltasOf(before, one),
            ...deltasOf(after, two).map(delta => ({...delta, era: ERA + 1})),
            wholeCopy('k', {...listed, era: ERA + 1}),
          ];
          let copy = EMPTY;
          for (const pick of picks) {
            const delta = deltas[pick % deltas.length]!;
            const merged = mergeDelta(copy, delta);
            if (merged.type !== 'merged') continue;
            assert.ok(compareVersions(merged.copy, copy) > 0);
            copy = merged.copy;
            const events = copy.era === ERA ? before : after;
            const expected = objectsAt(events, copy.revision);
            assert.deepEqual(sorted(revisionsIn(copy)), sorted(expected));
          }
        },
      ),
      {seed: 4, numRuns: 500},
    );
  });
});

describe('a list of several pages', () => {
  it('does not hide a change on an earlier page behind one on a later page', () => {
    const at = (name: string, revision: number): KindEvent => ({
      object: {name, revision, value: revision},
      deleted: false,
    });
    // `a` was listed, then `a` and `b` changed, then `b` was listed.
    const listed = [at('a', 5), at('b', 12)];
    const list = {isAll: true, era: ERA, revision: 10, events: listed};
    const first = mergeDelta(undefined, deltaOf('k', undefined, list));
    assert.ok(first.type === 'merged');
    const changed = [at('a', 11), at('b', 12)];
    const watch = {isAll: false, era: ERA, revision: 12, events: changed};
    const next = mergeDelta(first.copy, deltaOf('k', first.copy, watch));
    assert.ok(next.type === 'merged');
    assert.deepEqual(revisionsIn(next.copy).get('a'), 11);
    assert.deepEqual(next.events, [at('a', 11)]);
  });
});
