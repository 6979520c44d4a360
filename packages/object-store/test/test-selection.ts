/** Selections of JSON values, decoded at once and in pieces. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {inChunks} from '@quetzalreel/checks';
import {
  MAX_TEXT_LENGTH,
  NESTED_TOO_DEEP,
  SCALAR,
  type Selection,
  contentsOf,
  listOf,
  recordOf,
  scalarsOf,
  select,
  selectionDecoder,
} from '../src/index.js';

const SEED = 46;
const RUNS = 3000;

const SELECTION = recordOf({
  a: SCALAR,
  b: listOf(scalarsOf('a', 'b')),
  c: contentsOf(recordOf({a: listOf(SCALAR), b: scalarsOf('a')})),
});

/** Decodes `text`, of which the pieces arrive one after the other. */
function decode(selection: Selection, pieces: readonly Buffer[]): unknown {
  const decoder = selectionDecoder(selection);
  for (const piece of pieces) decoder.push(piece);
  return decoder.end();
}

function decodeText(selection: Selection, text: string): unknown {
  return decode(selection, [Buffer.from(text)]);
}

const {value: anyValue} = fc.letrec(tie => ({
  value: fc.oneof(
    {depthSize: 'small'},
    fc.constantFrom(0, -1.5, 1e300, true, false, null, '', 'a', 'ä€𐍈"\\\n'),
    fc.array(tie('value'), {maxLength: 4}),
    fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), tie('value'), {
      maxKeys: 4,
    }),
  ),
}));

describe('a selection decoded in pieces', () => {
  it('is the selection of the whole value', () => {
    const texts = anyValue.map(value => Buffer.from(JSON.stringify(value)));
    const property = fc.property(inChunks(texts), pieces => {
      const value = JSON.parse(Buffer.concat(pieces).toString());
      assert.deepEqual(decode(SELECTION, pieces), select(SELECTION, value));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  for (const text of [
    '',
    '{"a":1',
    '{"a" 1}',
    '{"a":1,}',
    '{"a":1]',
    '{1:1}',
    '{"b":[{},]}',
    '{"a":1}{}',
    '{"a":tru}',
    '}',
    ',',
  ]) {
    it(`is undefined for ${text || 'no text'}, which is not JSON`, () => {
      assert.equal(decodeText(SELECTION, text), undefined);
    });
  }

  it('has the fields beside bytes that are no characters', () => {
    const odd = Buffer.from([0xe2, 0xff, 0x80]);
    const parts = [Buffer.from('{"x":"'), odd, Buffer.from('","a":1}')];
    assert.deepEqual(decode(SELECTION, parts), {a: 1});
  });

  it('has the fields beside a field nested 300,000 deep', () => {
    const nested = '['.repeat(300_000) + ']'.repeat(300_000);
    assert.deepEqual(decodeText(SELECTION, `{"d":${nested},"a":1}`), {a: 1});
  });
});

/** An array in arrays, `depth` of them around the innermost one. */
function nestedArrays(depth: number): string {
  return '['.repeat(depth + 1) + ']'.repeat(depth + 1);
}

describe('contents', () => {
  for (const [depth, expected] of [
    [31, {}],
    [32, NESTED_TOO_DEEP],
  ] as const) {
    const text = `{"c":{"x":${nestedArrays(depth)}}}`;

    it(`with an unused field ${depth} deep are decoded alike both ways`, () => {
      const c = expected;
      assert.deepEqual(select(SELECTION, JSON.parse(text)), {c});
      assert.deepEqual(decodeText(SELECTION, text), {c});
    });
  }

  it('that are nested too deep leave those that follow as they are', () => {
    const items = listOf(contentsOf(scalarsOf('a')));
    const text = `[{"x":${nestedArrays(40)}},{"a":1}]`;
    const expected = [NESTED_TOO_DEEP, {a: 1}];
    assert.deepEqual(decodeText(items, text), expected);
    assert.deepEqual(select(items, JSON.parse(text)), expected);
  });
});

describe('a text', () => {
  for (const [length, isKept] of [
    [MAX_TEXT_LENGTH, true],
    [MAX_TEXT_LENGTH + 1, false],
  ] as const) {
    it(`of ${length} characters is ${isKept ? 'kept' : 'not kept'}`, () => {
      const a = 'x'.repeat(length);
      const expected = {a: isKept ? a : null};
      assert.deepEqual(select(SELECTION, {a}), expected);
      assert.deepEqual(decodeText(SELECTION, JSON.stringify({a})), expected);
    });
  }
});
