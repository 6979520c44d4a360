/** Writes under faults: what their callers are told, and what ran. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {type SmallFleet, codeOf, smallFleet, until} from './small-fleet.js';

let fleet: SmallFleet;
before(async () => {
  fleet = await smallFleet();
});
after(() => fleet.stop());

let keys = 0;
const newKey = () => `write-${++keys}`;
const insert = (key: string) =>
  `INSERT INTO entries (key, value) VALUES ('${key}', 'v')`;
const keyed = (key: string, sql = insert(key)) => `${sql} /*key='${key}'*/`;
const slowly = (sql: string) => `SELECT pg_sleep(0.2); ${sql}`;
const rowsOf = (key: string) =>
  fleet.primary().db.log.rows('entries', key).length;
const sent = () => until(() => fleet.primary().server.running > 0);

async function breakConnections(): Promise<void> {
  const {server} = fleet.primary();
  await server.fail();
  await server.recover();
}

/** Makes one replica the primary while the old one still answers. */
function replacePrimary(): void {
  const old = fleet.primary();
  const term = old.db.term + 1;
  const attempt = {term, holder: 'test'};
  const [next, other] = fleet.databases.filter(item => item !== old);
  for (const {db} of fleet.databases) db.fence(attempt);
  next!.db.promote(attempt);
  const {port} = next!.server;
  for (const item of [old, other!]) {
    item.db.follow(attempt, '127.0.0.1', port);
  }
}

interface Case {
  readonly name: string;
  readonly sql: (key: string) => string;
  /** Makes the fault before the write, or while it runs. */
  readonly before?: () => Promise<void> | void;
  readonly during?: () => Promise<void> | void;
  /** What the caller is told; undefined for an answer. */
  readonly code: string | undefined;
  readonly rows: number;
}

const CASES: readonly Case[] = [
  {name: 'no fault', sql: insert, code: undefined, rows: 1},
  {
    name: 'connections broke before it was sent',
    sql: insert,
    before: breakConnections,
    code: undefined,
    rows: 1,
  },
  {
    name: 'the connection breaks after it was sent',
    sql: key => slowly(insert(key)),
    during: breakConnections,
    code: 'QR002',
    rows: 1,
  },
  {
    name: 'the answer is lost after the commit',
    sql: insert,
    before: () => {
      fleet.primary().faults.loseAnswers = 1;
    },
    code: 'QR002',
    rows: 1,
  },
  {
    name: 'the connection breaks under a BEGIN, which runs nothing',
    sql: () => 'BEGIN',
    before: () => {
      fleet.primary().faults.serviceMs = 100;
    },
    during: async () => {
      await breakConnections();
      fleet.primary().faults.serviceMs = 0;
    },
    code: undefined,
    rows: 0,
  },
  {
    name: 'the answer of an idempotent kind is lost, so it runs again',
    sql: key => `/*kind='renew'*/ ${insert(key)}`,
    before: () => {
      fleet.primary().faults.loseAnswers = 1;
    },
    code: undefined,
    rows: 2,
  },
  {
    name: 'the primary became read-only',
    sql: insert,
    before: replacePrimary,
    code: undefined,
    rows: 1,
  },
  {
    name: 'the primary became read-only while it ran',
    sql: key => slowly(insert(key)),
    during: replacePrimary,
    code: undefined,
    rows: 1,
  },
  {
    name: 'the answer is lost after the commit, with a key',
    sql: keyed,
    before: () => {
      fleet.primary().faults.loseAnswers = 1;
    },
    code: undefined,
    rows: 1,
  },
  {
    name: 'the connection breaks before the commit, with a key',
    sql: key => keyed(key, slowly(insert(key))),
    during: breakConnections,
    code: undefined,
    rows: 1,
  },
  {
    name: 'the primary is replaced before the commit, with a key',
    sql: key => keyed(key, slowly(insert(key))),
    during: replacePrimary,
    code: undefined,
    rows: 1,
  },
  {
    name: 'an error of the statement itself, with a key',
    sql: key => keyed(key, 'INSERT INTO'),
    code: '42601',
    rows: 0,
  },
];

for (const {name, sql, before: prepare, during, code, rows} of CASES) {
  test(`a write: ${name}`, async () => {
    const caller = await fleet.caller();
    const key = newKey();
    await caller.query('SELECT 1');
    await prepare?.();
    const told = codeOf(caller, sql(key));
    if (during) {
      await sent();
      await during();
    }
    assert.equal(await told, code);
    await until(() => rowsOf(key) === rows);
    assert.equal(await codeOf(caller, insert(newKey())), undefined);
  });
}

test('a write on a frozen primary is told when the next one serves', async () => {
  const caller = await fleet.caller();
  const old = fleet.primary();
  const {term} = old.db;
  const told = codeOf(caller, slowly(insert(newKey())));
  await sent();
  old.faults.cut = new Set(['*', 'replication']);
  assert.equal(await told, 'QR002');
  assert.ok(fleet.primary().db.term > term);
  old.faults.cut = new Set();
  assert.equal(await codeOf(caller, insert(newKey())), undefined);
});

test('a request sent again with its key gets the first answer', async () => {
  const key = newKey();
  const first = await (await fleet.caller()).query(keyed(key));
  const again = await (await fleet.caller()).query(keyed(key));
  assert.deepEqual(again.rowCount, first.rowCount);
  assert.equal(again.command, first.command);
  const text = 'INSERT INTO entries (key, value) VALUES ($1, $2)';
  const values = [`${key}-b`, 'v'];
  const extended = {text: `${text} /*key='${key}-b'*/`, values};
  for (let i = 0; i < 2; i++) {
    const res = await (await fleet.caller()).query(extended);
    assert.equal(res.rowCount, 1);
  }
  assert.deepEqual([rowsOf(key), rowsOf(`${key}-b`)], [1, 1]);
});

test('requests with one key at the same time run once', async () => {
  const key = newKey();
  const callers = await Promise.all([1, 2, 3].map(() => fleet.caller()));
  const told = callers.map(caller => codeOf(caller, keyed(key)));
  assert.deepEqual(await Promise.all(told), [undefined, undefined, undefined]);
  assert.equal(rowsOf(key), 1);
});

test('a key outlives a change of primary', async () => {
  const key = newKey();
  const caller = await fleet.caller();
  assert.equal(await codeOf(caller, keyed(key)), undefined);
  replacePrimary();
  assert.equal(await codeOf(caller, keyed(key)), undefined);
  assert.equal(rowsOf(key), 1);
});
