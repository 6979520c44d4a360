import assert from 'node:assert/strict';
import {test} from 'node:test';
import {classify} from '../src/index.js';

const CASES: ReadonlyArray<readonly [string, string]> = [
  ['SELECT 1', 'read'],
  ['  select 1', 'read'],
  ['/* a */ SELECT 1', 'read'],
  ['-- a\nSELECT 1', 'read'],
  ['SELECT * FROM riders FOR UPDATE', 'write'],
  ["SELECT nextval('seq')", 'write'],
  ['SELECT * INTO copy FROM riders', 'write'],
  ['WITH a AS (SELECT 1) SELECT * FROM a', 'read'],
  ['WITH a AS (DELETE FROM b RETURNING *) SELECT * FROM a', 'write'],
  ['EXPLAIN ANALYZE INSERT INTO a VALUES (1)', 'write'],
  ['INSERT INTO a VALUES (1)', 'write'],
  ['CALL anything()', 'write'],
  ['BEGIN', 'begin'],
  ['START TRANSACTION', 'begin'],
  ['COMMIT', 'commit'],
  ['END', 'commit'],
  ['ROLLBACK', 'rollback'],
  ['COPY a FROM STDIN', 'unsupported'],
  ["SET quetzalreel.kind = 'payment'", 'session'],
  ['SHOW quetzalreel.session', 'session'],
  ['SET search_path = a', 'setting'],
  ['SELECT 1; INSERT INTO a VALUES (1)', 'write'],
  ["SELECT ';'; SELECT 2", 'read'],
  ['SELECT 1; SHOW quetzalreel.session', 'unsupported'],
  ['', 'read'],
];

for (const [sql, expected] of CASES) {
  test(`${JSON.stringify(sql)} is ${expected}`, () => {
    assert.equal(classify(sql).class, expected);
  });
}

test('kind and key are read from a comment', () => {
  const found = classify("INSERT INTO a VALUES (1) /*kind='pay',key='k%201'*/");
  assert.equal(found.kind, 'pay');
  assert.equal(found.key, 'k 1');
});
