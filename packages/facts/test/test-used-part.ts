/** What a feed keeps and passes on of objects that anyone may have written. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type KindObject, unreadableObject} from '@quetzalreel/object-store';
import type {FeedMessage} from '../src/index.js';
import {KIND, singleFeed} from './single-feed.js';

const PEER = '10.0.0.9:1';
const OTHER_PEER = '10.0.0.8:1';

/** Uses the field `n`, which has to be there. */
function usedPart(object: KindObject): KindObject {
  const {n} = object.value as {n?: number};
  return n === undefined ? unreadableObject(object) : {...object, value: {n}};
}

function fixture() {
  const sent: FeedMessage[] = [];
  const feed = singleFeed({
    usedPart,
    links: [PEER, OTHER_PEER],
    send: (_addresses, message) => sent.push(message),
  });
  const receive = (
    since: number,
    revision: number,
    objects: readonly KindObject[],
  ) => {
    const events = objects.map(object => ({object, deleted: false}));
    const delta = {kind: KIND, since, era: 1, revision, events};
    feed.receive({type: 'kindDelta', from: PEER, delta});
  };
  return {feed, sent, receive};
}

describe('of objects that a peer sends whole', () => {
  const more = Array.from({length: 100}, () => ({}));

  it('a feed keeps and passes on what is used, and the name of others', () => {
    const {feed, sent, receive} = fixture();
    receive(0, 5, [{name: 'a', revision: 5, value: {n: 1, more}}]);
    receive(5, 7, [
      {name: 'b', revision: 6, value: {n: 2, more}},
      {name: 'w', revision: 7, value: {more}},
    ]);
    const [passedOn] = sent.filter(({type}) => type === 'kindDelta');
    assert.ok(passedOn?.type === 'kindDelta');
    assert.deepEqual(
      passedOn.delta.events.map(({object}) => object),
      [
        {name: 'b', revision: 6, value: {n: 2}},
        {name: 'w', revision: 7, value: undefined, unreadable: true},
      ],
    );
    assert.deepEqual(feed.keptObjects(), [
      {kind: KIND, readable: 2, unreadable: 1, passedOver: 0},
    ]);
    feed.dispose();
  });

  it('a feed sends the same to a peer that asks for its copies', () => {
    const {feed, sent, receive} = fixture();
    receive(0, 5, [{name: 'a', revision: 5, value: {n: 1, more}}]);
    const known = {[KIND]: {era: 0, revision: 0}};
    feed.receive({type: 'copiesWanted', from: OTHER_PEER, known});
    const copy = sent.at(-1)!;
    assert.ok(copy.type === 'kindDelta');
    assert.deepEqual(copy.delta.events[0]!.object.value, {n: 1});
    feed.dispose();
  });
});
