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
  ["SELECT '/*', 1; DELETE FROM a WHERE b = '*/'", 'write'],
  ["SELECT '--'; DELETE FROM a", 'write'],
  ['SELECT 1 -- a\rDELETE FROM a', 'write'],
  ["SELECT $$'$$; DELETE FROM a WHERE b = $$'$$", 'write'],
  ["SELECT $x$ $$ ' $x$; DELETE FROM a -- '", 'write'],
  ["SELECT E'\\''; DELETE FROM a -- '", 'write'],
  ["SELECT '\\'; DELETE FROM a -- '", 'write'],
  ["SELECT '\\', '; DELETE FROM a --'", 'write'],
  ["SELECT E'a'\n'\\', '; DELETE FROM a --'", 'write'],
  ["SELECT 1e5$$ ' $$; DELETE FROM a -- '", 'write'],
  ['SELECT /* /* */ 1; DELETE FROM a */ 1', 'read'],
  ['SELECT /* /* */ */ 1; DELETE FROM a', 'write'],
  ['SELECT "a;b", "/*"; DELETE FROM a -- "*/', 'write'],
  ['(SELECT 1)', 'read'],
  ['(WITH a AS (DELETE FROM b RETURNING *) SELECT * FROM a)', 'write'],
  ['SELECT "nextval"(1)', 'write'],
  ['SELECT U&"n\\0065xtval"(1)', 'write'],
  ["SELECT set_config('a', 'b', false)", 'write'],
  ["SELECT 'it''s; DELETE FROM a'", 'read'],
  ["SELECT 'unfinished", 'write'],
  ['SELECT 1 /* unfinished', 'write'],
  ['EXPLAIN ANALYZE EXECUTE a', 'write'],
  ['SELECT\u00a01', 'write'],
  ['SELECT 1; SET search_path = a', 'setting'],
  ['BEGIN; SET LOCAL a = 1', 'begin'],
  ['INSERT INTO a VALUES (1); COMMIT', 'commit'],
  ['ROLLBACK TO a', 'write'],
  ["COMMIT PREPARED 'a'", 'unsupported'],
];

for (const [sql, expected] of CASES) {
  test(`${JSON.stringify(sql)} is ${expected}`, () => {
    assert.equal(classify(sql).class, expected);
  });
}

const MAY_WRITE: ReadonlyArray<readonly [string, boolean]> = [
  ['SELECT count(*), lower(a) FROM b WHERE c IN (1, 2)', false],
  ['SELECT charge(1)', true],
  ['SELECT public.lower(a) FROM b', true],
  ['SELECT pg_catalog.lower(a) FROM b', false],
  ['SELECT "count"(1)', true],
  ["SELECT 'charge(1)'", false],
];

for (const [sql, expected] of MAY_WRITE) {
  test(`${JSON.stringify(sql)} may write: ${expected}`, () => {
    assert.equal(classify(sql).mayWrite, expected);
  });
}

const LEAVES_STATE: ReadonlyArray<readonly [string, boolean]> = [
  ['SET LOCAL a = 1', false],
  ['SET TRANSACTION READ ONLY', false],
  ['SET a = 1', true],
  ['BEGIN; SET a = 1', true],
  ["SELECT set_config('a', 'b', false)", true],
  ["SELECT \"set_config\"('a', 'b', false)", true],
  ['SELECT pg_advisory_lock(1)', true],
  ['SELECT pg_advisory_xact_lock(1)', false],
  ['CREATE TEMP TABLE a (b int)', true],
  ['INSERT INTO a VALUES (1)', false],
  ["/*kind='k'*/ set x = 1", true],
  ['SELECT 1; SET x = 1', true],
  ['UPDATE t SET a = 1', false],
  ['SELECT 1', false],
];

for (const [sql, expected] of LEAVES_STATE) {
  test(`${JSON.stringify(sql)} leaves state: ${expected}`, () => {
    assert.equal(classify(sql).leavesState, expected);
  });
}

const COMMANDS: ReadonlyArray<readonly [string, object]> = [
  ["SET quetzalreel.kind = 'pay'", {verb: 'set', name: 'kind', value: 'pay'}],
  [
    'set session quetzalreel.kind to pay',
    {verb: 'set', name: 'kind', value: 'pay'},
  ],
  ['SET quetzalreel.kind TO DEFAULT', {verb: 'reset', name: 'kind'}],
  ['RESET quetzalreel.kind', {verb: 'reset', name: 'kind'}],
  ['SHOW quetzalreel.session', {verb: 'show', name: 'session'}],
];

for (const [sql, expected] of COMMANDS) {
  test(`${JSON.stringify(sql)} is a proxy command`, () => {
    assert.deepEqual(classify(sql).command, expected);
  });
}

test('a kind in a comment inside a string literal is ignored', () => {
  assert.equal(classify("SELECT '/*kind=''pay''*/'").kind, undefined);
});

test('kind and key are read from a block comment', () => {
  const found = classify("INSERT INTO a VALUES (1) /*kind='pay',key='k%201'*/");
  assert.equal(found.kind, 'pay');
  assert.equal(found.key, 'k 1');
});
