/**
 * Messages about facts with changed fields. A copy in force is replaced by newer
 * versions only, and a feed that has taken odd messages still spreads what it
 * learns.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {mutated, oddValue} from '@quetzalreel/checks';
import {manualClock} from '@quetzalreel/common';
import {isRevision} from '@quetzalreel/object-store';
import {MAX_READERS, heardReaders} from '../src/heard-readers.js';
import {type FeedMessage, isFactMessage} from '../src/index.js';
import {KIND, singleFeed} from './single-feed.js';

const SEED = 54;
const FROM = '10.0.0.9:1';
const IN_FORCE = {name: 'a', revision: 5, value: 1};
const DELTA = {
  kind: KIND,
  since: 0,
  era: 1,
  revision: 5,
  events: [{object: IN_FORCE, deleted: false}],
};
const NEXT_DELTA = {
  ...DELTA,
  since: 5,
  revision: 6,
  events: [{object: {...IN_FORCE, revision: 6}, deleted: false}],
};
const MESSAGES: readonly unknown[] = [
  {
    type: 'readerBeat',
    from: FROM,
    beat: {
      reader: 'r',
      life: 1,
      seq: 1,
      ageMs: 0,
      kinds: [{kind: KIND, era: 1, revision: 5, reachedMs: 10}],
    },
  },
  {type: 'kindDelta', from: FROM, delta: DELTA},
  {type: 'kindDelta', from: FROM, delta: NEXT_DELTA},
  {type: 'heard', from: FROM},
  {type: 'copiesWanted', from: FROM, known: {k: {era: 1, revision: 4}}},
];
const message = fc.oneof(...MESSAGES.map(mutated), oddValue);

/** A feed that knows one object, at revision 5. */
function knowingFeed() {
  const known = new Map<string, number>();
  const sent: FeedMessage[] = [];
  const feed = singleFeed({
    links: [FROM],
    onEvents(events) {
      for (const {object, deleted} of events) {
        const before = known.get(object.name) ?? 0;
        assert.ok(deleted || object.revision >= before);
        if (deleted) known.delete(object.name);
        else known.set(object.name, object.revision);
      }
    },
    send(addresses, item) {
      for (const address of addresses) assert.equal(typeof address, 'string');
      sent.push(item);
    },
  });
  feed.receive({type: 'kindDelta', from: FROM, delta: DELTA});
  return {feed, known, sent};
}

describe('the readers that were heard', () => {
  it('are no more than the limit, and the latest is among them', () => {
    const ages = fc.array(fc.nat(100_000), {minLength: 1, maxLength: 5});
    const property = fc.property(ages, list => {
      const clock = manualClock();
      const readers = heardReaders(clock);
      for (let i = 0; i < 2 * MAX_READERS; i++) {
        const ageMs = i % 2 === 0 ? list[i % list.length]! : 0;
        const beat = {reader: `r-${i}`, life: 1, seq: 1, ageMs, kinds: []};
        readers.note(beat, FROM);
        clock.advance(1);
      }
      const names = [...readers.all].map(({name}) => name);
      assert.equal(names.length, MAX_READERS);
      assert.ok(names.includes(`r-${2 * MAX_READERS - 1}`));
    });
    fc.assert(property, {seed: SEED, numRuns: 5});
  });
});

describe('a feed that gets changed messages', () => {
  it('keeps valid ones only, and sends valid ones', () => {
    for (const item of MESSAGES) assert.ok(isFactMessage(item));
    const list = fc.array(message, {maxLength: 8});
    const property = fc.property(list, items => {
      const {feed, known, sent} = knowingFeed();
      assert.equal(known.get('a'), 5);
      for (const item of items) if (isFactMessage(item)) feed.receive(item);
      feed.tick();
      for (const revision of known.values()) assert.ok(isRevision(revision));
      for (const item of sent)
        assert.ok(isFactMessage({...item, from: FROM}), JSON.stringify(item));
      feed.dispose();
    });
    fc.assert(property, {seed: SEED, numRuns: 1000});
  });
});
