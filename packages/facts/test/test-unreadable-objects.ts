/** How many objects that can't be used a copy keeps. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type KindEvent, unreadableObject} from '@quetzalreel/object-store';
import {type KindCopy, mergeDelta, wholeCopy} from '../src/index.js';
import {MAX_UNREADABLE_BYTES} from '../src/unreadable-objects.js';

const ERA = 1;
/** More than a copy keeps. */
const MANY = 20_000;

function put(name: string, revision: number, isReadable = false): KindEvent {
  const object = {name, revision, value: {a: 1}};
  return {
    object: isReadable ? object : unreadableObject(object),
    deleted: false,
  };
}

/** The copy after `events`, what it tells, and how many objects it lacks. */
function merge(before: KindCopy | undefined, events: readonly KindEvent[]) {
  const revisions = events.map(({object}) => object.revision);
  const revision = Math.max(...revisions);
  const since = before?.revision ?? 0;
  const merge = mergeDelta(before, {
    kind: 'k',
    since,
    era: ERA,
    revision,
    events,
  });
  assert.ok(merge.type === 'merged');
  return merge;
}

const valid = put('valid', 1, true);
const many = Array.from({length: MANY}, (_, i) => put(`w-${i}`, i + 2));

describe('a copy with many unreadable objects', () => {
  it('keeps no more than fit into a message, and each readable one', () => {
    const late = put('late', MANY + 2, true);
    const {copy, events, passedOver} = merge(undefined, [valid, ...many, late]);
    assert.ok(passedOver > 0);
    assert.equal(copy.objects.size, MANY + 2 - passedOver);
    assert.equal(events.length, copy.objects.size);
    assert.ok(copy.objects.has('valid') && copy.objects.has('late'));
    const {length} = JSON.stringify(wholeCopy('k', copy));
    assert.ok(length < 2 * MAX_UNREADABLE_BYTES, `${length} bytes`);
  });

  it('passes the newest ones over, and keeps those that it has', () => {
    const {copy: before} = merge(undefined, [valid, ...many]);
    const {copy, events} = merge(before, [put('newest', MANY + 2)]);
    assert.deepEqual(events, []);
    assert.deepEqual(copy.objects, before.objects);
  });

  it('tells that one is removed which it has and can no longer keep', () => {
    const {copy: before} = merge(undefined, [valid, ...many]);
    const spoilt = put('valid', MANY + 2);
    const {copy, events} = merge(before, [spoilt]);
    assert.equal(copy.objects.has('valid'), false);
    assert.deepEqual(events, [{object: spoilt.object, deleted: true}]);
  });

  it('keeps them again when others are removed', () => {
    const {copy: full} = merge(undefined, [valid, ...many]);
    const removals = many.slice(0, MANY / 2).map(({object}) => ({
      object: {...object, revision: MANY + 2},
      deleted: true,
    }));
    const {copy: before} = merge(full, removals);
    const next = put('next', MANY + 3);
    const {copy, passedOver} = merge(before, [next]);
    assert.equal(passedOver, 0);
    assert.ok(copy.objects.has('next'));
  });
});
