/** Messages about facts that are malformed or implausible. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type FactMessage, type FeedEvent, isFactMessage} from '../src/index.js';
import {KIND, singleFeed} from './single-feed.js';

const FROM = '10.0.0.9:1';
const DELTA = {kind: KIND, since: 0, era: 1, revision: 5, events: []};
const BEAT = {reader: 'a', life: 1, seq: 1, ageMs: 0, kinds: []};

const MALFORMED: ReadonlyArray<readonly [string, unknown]> = [
  ['no sender', {type: 'readerBeat', beat: BEAT}],
  [
    'a negative age',
    {type: 'readerBeat', from: FROM, beat: {...BEAT, ageMs: -1}},
  ],
  [
    'an age that is not a number',
    {type: 'readerBeat', from: FROM, beat: {...BEAT, ageMs: NaN}},
  ],
  [
    'a negative revision',
    {type: 'kindDelta', from: FROM, delta: {...DELTA, revision: -1}},
  ],
  [
    'a revision that is no integer',
    {type: 'kindDelta', from: FROM, delta: {...DELTA, revision: 1.5}},
  ],
  [
    'an event without an object',
    {
      type: 'kindDelta',
      from: FROM,
      delta: {...DELTA, events: [{deleted: true}]},
    },
  ],
  ['an unknown type', {type: 'other', from: FROM}],
];

describe('a message is refused', () => {
  for (const [what, message] of MALFORMED) {
    it(`with ${what}`, () => assert.equal(isFactMessage(message), false));
  }

  it('or accepted without an error, whatever it is', () => {
    fc.assert(
      fc.property(fc.anything(), value => {
        isFactMessage(value);
      }),
      {seed: 21, numRuns: 2000},
    );
  });
});

/** A feed that has one object, at revision 5. */
function knowingFeed() {
  const events: FeedEvent[] = [];
  const known = new Map<string, number>();
  const feed = singleFeed({
    onEvents(changes) {
      for (const {object, deleted} of changes) {
        if (deleted) known.delete(object.name);
        else known.set(object.name, object.revision);
      }
    },
    onEvent: event => events.push(event),
  });
  const object = {name: 'a', revision: 5, value: 1};
  feed.receive({
    type: 'kindDelta',
    from: FROM,
    delta: {...DELTA, events: [{object, deleted: false}]},
  });
  return {feed, events, known};
}

describe('a feed', () => {
  it('passes over a copy from the future, and keeps what it knows', () => {
    const {feed, events, known} = knowingFeed();
    const revision = Number.MAX_SAFE_INTEGER;
    feed.receive({type: 'kindDelta', from: FROM, delta: {...DELTA, revision}});
    assert.deepEqual([...known], [['a', 5]]);
    assert.equal(events.at(-1)!.event, 'deltaImplausible');
    assert.equal(events.at(-1)!['from'], FROM);
    const object = {name: 'b', revision: 6, value: 2};
    const delta = {...DELTA, since: 5, revision: 6};
    feed.receive({
      type: 'kindDelta',
      from: FROM,
      delta: {...delta, events: [{object, deleted: false}]},
    });
    assert.equal(known.get('b'), 6);
    feed.dispose();
  });

  it('passes over a copy of an era from the future', () => {
    const {feed, events, known} = knowingFeed();
    const era = Number.MAX_SAFE_INTEGER;
    feed.receive({type: 'kindDelta', from: FROM, delta: {...DELTA, era}});
    assert.deepEqual([...known], [['a', 5]]);
    assert.equal(events.at(-1)!.event, 'deltaImplausible');
    feed.dispose();
  });

  it('takes any valid message without an error', () => {
    const event = fc.record(
      {
        object: fc.record({
          name: fc.constantFrom('a', 'b'),
          revision: fc.nat(20),
          value: fc.anything(),
        }),
        deleted: fc.boolean(),
      },
      {noNullPrototype: true},
    );
    const message: fc.Arbitrary<FactMessage> = fc.oneof(
      fc.record({
        type: fc.constant('kindDelta' as const),
        from: fc.constantFrom(FROM, 'x'),
        delta: fc.record({
          kind: fc.constantFrom('k', 'other'),
          since: fc.nat(20),
          era: fc.nat(3),
          revision: fc.nat(20),
          events: fc.array(event, {maxLength: 3}),
        }),
      }),
      fc.record({
        type: fc.constant('copiesWanted' as const),
        from: fc.constantFrom(FROM, 'x'),
        known: fc.dictionary(
          fc.constantFrom('k', 'o'),
          fc.record({era: fc.nat(3), revision: fc.nat(20)}),
        ),
      }),
    );
    fc.assert(
      fc.property(fc.array(message, {maxLength: 20}), messages => {
        const {feed} = knowingFeed();
        for (const item of messages) feed.receive(item);
        feed.dispose();
      }),
      {seed: 22, numRuns: 300},
    );
  });
});
