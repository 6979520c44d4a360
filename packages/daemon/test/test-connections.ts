import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {type SmallFleet, codeOf, smallFleet, until} from './small-fleet.js';

const fleets: SmallFleet[] = [];
after(async () => {
  for (const fleet of fleets) await fleet.stop();
});

async function started(sizes: Parameters<typeof smallFleet>[0]) {
  const fleet = await smallFleet(sizes);
  fleets.push(fleet);
  return fleet;
}

const insert = (key: string) =>
  `INSERT INTO entries (key, value) VALUES ('${key}', 'v')`;

test('connections gone silent lose neither a read nor a write', async () => {
  const fleet = await started({});
  const caller = await fleet.caller();
  await caller.query(insert('before'));
  // Idle for longer than the bound, so that the next write is checked.
  await new Promise(resolve => setTimeout(resolve, 300));
  for (const {faults} of fleet.databases) {
    faults.silencedBefore = performance.now();
  }
  // Replicas find their own silent connections; here they do so at once.
  const {port} = fleet.primary().server;
  for (const {db} of fleet.databases) {
    if (db.role === 'primary') continue;
    db.follow({term: 1, holder: ''}, '127.0.0.1', port);
  }
  const next = await fleet.caller();
  assert.equal(await codeOf(next, insert('after')), undefined);
  const read = "SELECT value FROM entries WHERE key = 'before'";
  assert.equal((await next.query(read)).rows.length, 1);
  assert.equal(fleet.primary().db.log.rows('entries', 'after').length, 1);
});

test('eight instances stay within the connections of each endpoint', async () => {
  const fleet = await started({daemons: 8, connections: 20, connectMs: 10});
  const callers = await Promise.all(
    fleet.daemons.map((_, i) => fleet.caller(i)),
  );
  const work = callers.map(async (caller, i) => {
    for (let n = 0; n < 10; n++) {
      assert.equal(await codeOf(caller, insert(`${i}-${n}`)), undefined);
      assert.equal(await codeOf(caller, 'SELECT 1'), undefined);
    }
  });
  await Promise.all(work);
  for (const {server} of fleet.databases) {
    assert.ok(server.mostConnections <= 20, `${server.mostConnections}`);
  }
});

test('a setting of one caller does not reach the next', async () => {
  const fleet = await started({});
  const caller = await fleet.caller();
  await caller.query('BEGIN');
  await caller.query('SET search_path = x');
  await caller.query('COMMIT');
  await until(() => fleet.daemons[0]!.busy('entries') === 0);
  assert.equal(await codeOf(caller, insert('after-set')), undefined);
});
