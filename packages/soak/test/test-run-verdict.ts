/** Statements that ran where they must not, in tables. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ExecutedStatement} from '@quetzalreel/platform-adapter/standin';
import {type SentStatement, checkExecutions} from '../src/index.js';

const SENT: readonly SentStatement[] = [
  sent('a1', 'WRITE k d', 't-a'),
  sent('a2', 'COMMIT', 't-a'),
  sent('b1', 'READ k', undefined),
  sent('b2', 'WRITE k e', 't-b'),
  {...sent('c1', 'READ k', undefined), values: {tenant: 'c'}},
  {...sent('d1', 'EXECUTE s1 k', undefined), shape: 'READ q-d'},
];

function sent(
  id: string,
  text: string,
  transaction: string | undefined,
): SentStatement {
  return {id, text, transaction, values: {}, shape: undefined};
}

/** A statement as it ran, in the endpoint's transaction `transaction`. */
function ran(
  id: string,
  transaction: number | undefined,
  change: Partial<ExecutedStatement> = {},
): ExecutedStatement {
  const text = SENT.find(statement => statement.id === id)?.text ?? 'READ k';
  return {
    endpoint: 'i-1',
    clientName: 'a',
    id,
    text,
    values: {},
    connection: 1,
    transaction,
    shape: undefined,
    position: {term: 1, offset: 0},
    ...change,
  };
}

const CASES: ReadonlyArray<
  readonly [
    string,
    readonly ExecutedStatement[],
    'clean' | 'pinned' | 'foreign',
  ]
> = [
  ['a transaction on its own', [ran('a1', 1), ran('a2', 1)], 'clean'],
  ['a lone read outside of any', [ran('b1', undefined)], 'clean'],
  ['a lone read in one of its own', [ran('b1', 4)], 'clean'],
  [
    "the product's own statements",
    [ran('-', 1, {text: 'READ x'}), ran('a1', 1)],
    'clean',
  ],
  [
    'a prepared statement under another name',
    [ran('d1', undefined, {text: 'EXECUTE p9 k', shape: 'READ q-d'})],
    'clean',
  ],
  ["a lone read in another's", [ran('a1', 1), ran('b1', 1)], 'pinned'],
  [
    "a transaction in another's",
    [ran('a1', 1), ran('b2', 1), ran('a2', 1)],
    'pinned',
  ],
  ['an end in another one', [ran('a1', 1), ran('a2', 2)], 'pinned'],
  ['an end outside of any', [ran('a1', 1), ran('a2', undefined)], 'pinned'],
  ['values of nobody', [ran('c1', undefined)], 'pinned'],
  [
    "another's values",
    [ran('b1', undefined, {values: {tenant: 'c'}})],
    'pinned',
  ],
  [
    "another's shape",
    [ran('d1', undefined, {text: 'EXECUTE s1 k', shape: 'READ q-e'})],
    'pinned',
  ],
  ['a statement of nobody', [ran('x1', undefined)], 'foreign'],
  ['a changed text', [ran('b1', undefined, {text: 'READ other'})], 'foreign'],
];

describe('the verdict on', () => {
  const statements = new Map(SENT.map(item => [item.id, item]));
  for (const [name, runs, expected] of CASES) {
    it(`${name} is ${expected}`, () => {
      const {pinned, foreign} = checkExecutions(runs, statements);
      assert.equal(pinned.length > 0, expected === 'pinned');
      assert.equal(foreign.length > 0, expected === 'foreign');
    });
  }
});
