import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {type SmallFleet, codeOf, smallFleet, until} from './small-fleet.js';

let fleet: SmallFleet;
before(async () => {
  fleet = await smallFleet();
});
after(() => fleet.stop());

let keys = 0;
const newKey = () => `key-${++keys}`;
const insert = (key: string) =>
  `INSERT INTO entries (key, value) VALUES ('${key}', 'v')`;
const rowsOf = (key: string) =>
  fleet.primary().db.log.rows('entries', key).length;

/** Closes every connection to the primary; its data stays. */
async function breakConnections(): Promise<void> {
  const {server} = fleet.primary();
  await server.fail();
  await server.recover();
  await until(() => fleet.daemons[0]!.busy('entries') === 0);
}

test('statements of two transactions never mix', async () => {
  const [one, two] = [await fleet.caller(), await fleet.caller()];
  const keys = [newKey(), newKey()] as const;
  await one.query('BEGIN');
  await two.query('BEGIN');
  await one.query(insert(keys[0]));
  await two.query(insert(keys[1]));
  await one.query('ROLLBACK');
  await two.query('COMMIT');
  assert.deepEqual(keys.map(rowsOf), [0, 1]);
});

interface CutCase {
  readonly name: string;
  readonly next: string;
  /** SQLSTATE told for the first request after the cut. */
  readonly code: string | undefined;
}

const CUT_CASES: readonly CutCase[] = [
  {name: 'a statement', next: 'SELECT 1', code: '40000'},
  {name: 'COMMIT', next: 'COMMIT', code: '40000'},
  {name: 'ROLLBACK', next: 'ROLLBACK', code: undefined},
];

for (const {name, next, code} of CUT_CASES) {
  test(`a connection lost before ${name} rolls back`, async () => {
    const caller = await fleet.caller();
    const key = newKey();
    await caller.query('BEGIN');
    await caller.query(insert(key));
    await breakConnections();
    assert.equal(await codeOf(caller, next), code);
    await codeOf(caller, 'ROLLBACK');
    assert.equal(rowsOf(key), 0);
    assert.equal(await codeOf(caller, insert(key)), undefined);
    assert.equal(rowsOf(key), 1);
  });
}

test('a request that sends COMMIT along may have committed', async () => {
  const caller = await fleet.caller();
  await caller.query('BEGIN');
  const running = codeOf(caller, 'SELECT pg_sleep(5); COMMIT');
  await fleet.primary().server.fail();
  await fleet.primary().server.recover();
  assert.equal(await running, 'QR002');
});

test('what follows a cut does not run outside the transaction', async () => {
  const caller = await fleet.caller();
  const keys = [newKey(), newKey()] as const;
  await caller.query('BEGIN');
  await breakConnections();
  assert.equal(await codeOf(caller, insert(keys[0])), '40000');
  assert.equal(await codeOf(caller, insert(keys[1])), '40000');
  assert.equal(await codeOf(caller, 'COMMIT'), '40000');
  assert.deepEqual(keys.map(rowsOf), [0, 0]);
});

test('a COMMIT whose answer is lost has an unknown outcome', async () => {
  for (const commit of ['COMMIT', `${insert('with-it')}; COMMIT`]) {
    const caller = await fleet.caller();
    await caller.query('BEGIN');
    await caller.query(insert(newKey()));
    fleet.primary().faults.loseAnswers = 1;
    assert.equal(await codeOf(caller, commit), 'QR002');
    assert.equal(await codeOf(caller, 'SELECT 1'), undefined);
  }
});

test('a failed transaction accepts only its end', async () => {
  const caller = await fleet.caller();
  const key = newKey();
  await caller.query('BEGIN');
  assert.equal(await codeOf(caller, 'not sql'), '42601');
  assert.equal(await codeOf(caller, insert(key)), '25P02');
  assert.equal((await caller.query('COMMIT')).command, 'ROLLBACK');
  assert.equal(rowsOf(key), 0);
});

test('a caller that vanishes leaves nothing behind', async () => {
  const key = newKey();
  for (let i = 0; i < 8; i++) {
    const caller = await fleet.caller();
    await caller.query('BEGIN');
    await caller.query(insert(key));
    // Half of them vanish while a statement runs.
    if (i % 2 === 0) void codeOf(caller, 'SELECT pg_sleep(0.05)');
    const {stream} = (
      caller as unknown as {connection: {stream: {destroy(): void}}}
    ).connection;
    stream.destroy();
  }
  const next = await fleet.caller();
  await next.query(insert(key));
  assert.equal(rowsOf(key), 1);
  await until(() => fleet.daemons[0]!.busy('entries') === 0);
});

test('a transaction does not commit on a primary that was replaced', async () => {
  const caller = await fleet.caller();
  const key = newKey();
  await caller.query('BEGIN');
  await caller.query(insert(key));
  const old = fleet.primary();
  old.db.fence({term: old.db.term + 1, holder: 'other'});
  assert.equal(await codeOf(caller, 'COMMIT'), 'QR001');
  assert.equal(old.db.log.rows('entries', key).length, 0);
  // Not run is safe to send again, until the new primary serves.
  while ((await codeOf(caller, insert(key))) === 'QR001');
  assert.equal(rowsOf(key), 1);
});
