/**
 * Generates SQL with misleading quotes and comments. A write must be found
 * between any of them, and quoted text must not be taken for a write.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {classify} from '../src/index.js';

const SEED = 20261204;
const RUNS = 5000;

/** Text that misleads a scanner with wrong rules for quotes and comments. */
const misleading = fc
  .array(
    fc.constantFrom(
      "'",
      '"',
      '$$',
      '$a$',
      '/*',
      '*/',
      '--',
      '\n',
      '\r',
      '\\',
      ';',
      ' ',
      'E',
      "E'",
      'DELETE FROM a',
      'x',
      'é',
      '1',
      '$',
    ),
    {maxLength: 8},
  )
  .map(pieces => pieces.join(''));

const quoteWith = (text: string, quote: string) =>
  quote + text.replaceAll(quote, quote + quote) + quote;

const literal = fc.oneof(
  misleading.map(text => quoteWith(text.replaceAll('\\', ''), "'")),
  misleading.map(
    text => 'E' + quoteWith(text.replaceAll('\\', '\\\\'), "'") + '::text',
  ),
  misleading.map(text => {
    const body = text.replaceAll('\\', '').replaceAll("'", "\\'");
    return `E'${body}'::text`;
  }),
  misleading.map(text => `$b$${text}$b$`),
  misleading.map(text => `$$${text.replaceAll('$', '')}$$`),
  misleading.map(text => quoteWith(`n${text}`, '"')),
);

const gap = fc.oneof(
  fc.constantFrom(' ', '\n', '\t'),
  misleading.map(text => `/*${text.replace(/[*/]/g, '')}*/`),
  misleading.map(text => `/* /*${text.replace(/[*/]/g, '')}*/ '*/`),
  misleading.map(text => `--${text.replace(/[\n\r]/g, '')}\n`),
  misleading.map(text => `--${text.replace(/[\n\r]/g, '')}\r`),
);

const read = fc
  .tuple(
    gap,
    fc.array(fc.tuple(gap, literal, gap), {minLength: 1, maxLength: 4}),
  )
  .map(([before, columns]) => {
    const list = columns.map(parts => parts.join('')).join(',');
    return `${before}SELECT ${list}`;
  });

const write = fc
  .tuple(fc.constantFrom('DELETE FROM a', 'INSERT INTO a', 'CALL b()'), gap)
  .map(([verb, after]) => `${verb}${after}`);

test('a write among reads is never classified as a read', () => {
  fc.assert(
    fc.property(fc.array(read, {maxLength: 3}), write, read, (a, b, c) => {
      const sql = [...a, b, c].join(';');
      assert.notEqual(classify(sql).class, 'read');
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

test('a read with quoted text is classified as a read', () => {
  fc.assert(
    fc.property(fc.array(read, {minLength: 1, maxLength: 3}), parts => {
      assert.equal(classify(parts.join(';')).class, 'read');
    }),
    {seed: SEED, numRuns: RUNS},
  );
});
