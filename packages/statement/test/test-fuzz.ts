/** The classifier reads what callers send; an error there ends their session. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {oddWord} from '@quetzalreel/checks';
import {
  StatementClass,
  classify,
  readTags,
  splitStatements,
} from '../src/index.js';

const SEED = 51;
const RUNS = 3000;

const CLASSES: ReadonlySet<unknown> = new Set(Object.values(StatementClass));

const sql = fc
  .array(
    fc.oneof(
      oddWord('SELECT', 'INSERT', 'BEGIN', 'COMMIT', 'SET', 'SHOW', 'WITH'),
      fc.constantFrom(
        "'",
        '"',
        '$$',
        '$a$',
        '/*',
        '*/',
        '--',
        '\n',
        ';',
        '(',
        ')',
        "E'\\",
        "kind='%zz'",
        'quetzalreel.session',
        '=',
      ),
    ),
    {maxLength: 10},
  )
  .chain(parts => fc.constantFrom(parts.join(' '), parts.join('')));

test('any text is of a known class, and its parts too', () => {
  const property = fc.property(fc.oneof(sql, fc.string()), text => {
    assert.ok(CLASSES.has(classify(text).class), text);
    for (const part of splitStatements(text)) assert.ok(classify(part));
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test('any comment gives tags that are texts', () => {
  const comments = fc.array(fc.oneof(sql, fc.string()), {maxLength: 3});
  const property = fc.property(comments, list => {
    for (const tag of Object.values(readTags(list)))
      assert.equal(typeof tag, 'string');
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});
