import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {TokenError, tokenCodec} from '../src/index.js';

const SEED = 20261205;
const RUNS = 2000;

const codec = tokenCodec('a key');
const floors = fc
  .array(
    fc.tuple(
      fc.stringMatching(/^[a-z0-9][a-z0-9_.-]{0,20}$/),
      fc.record({term: fc.nat(), offset: fc.nat()}, {noNullPrototype: true}),
    ),
    {maxLength: 5},
  )
  .map(entries => new Map(entries));

test('a token decodes to the positions that were encoded', () => {
  fc.assert(
    fc.property(floors, value => {
      assert.deepEqual(codec.read(codec.write(value)), value);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

test('a token signed with another key is refused', () => {
  const token = tokenCodec('another key').write(new Map());
  assert.throws(() => codec.read(token), TokenError);
});

test('a token with any character changed, added or removed is refused', () => {
  fc.assert(
    fc.property(
      floors,
      fc.nat(),
      fc.string({maxLength: 3}),
      (value, at, by) => {
        const token = codec.write(value);
        const place = at % (token.length + 1);
        const changes = [
          token.slice(0, place) + by + token.slice(place),
          token.slice(0, place) + by + token.slice(place + 1),
          token.slice(0, place),
        ];
        for (const changed of changes) {
          if (changed === token) continue;
          assert.throws(() => codec.read(changed), TokenError);
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

test('arbitrary text throws a TokenError', () => {
  const text = fc.oneof(
    fc.string(),
    fc.string().map(body => `qr1.${body}.${body}`),
  );
  fc.assert(
    fc.property(text, value => {
      assert.throws(() => codec.read(value), TokenError);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});
