import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {after, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {manualClock} from '@quetzalreel/common';
import pg from 'pg';
import {type DrainableCaller, drainCallers} from '../src/drain.js';
import {type SmallFleet, codeOf, smallFleet, until} from './small-fleet.js';

const fleets: SmallFleet[] = [];
const children: ChildProcess[] = [];
after(async () => {
  for (const child of children) child.kill('SIGKILL');
  for (const fleet of fleets) await fleet.stop();
});

async function started() {
  const fleet = await smallFleet();
  fleets.push(fleet);
  return fleet;
}

const insert = (key: string) =>
  `INSERT INTO entries (key, value) VALUES ('${key}', 'v')`;

test('a stop answers what is under way and tells idle callers', async () => {
  const fleet = await started();
  const [daemon] = fleet.daemons;
  const [idle, working, inside] = await Promise.all([
    fleet.caller(),
    fleet.caller(),
    fleet.caller(),
  ]);
  const told = new Promise<string>(resolve =>
    idle.once('error', err => resolve((err as {code?: string}).code ?? '')),
  );
  await inside.query('BEGIN');
  await inside.query(insert('inside'));
  const running = working.query('SELECT pg_sleep(0.2)');
  await until(() => daemon!.busy('entries') === 2);
  const stopped = daemon!.stop();
  const ready = await fetch(`http://127.0.0.1:${daemon!.adminPort}/readyz`);
  assert.equal(ready.status, 503);
  await assert.rejects(fleet.caller());
  assert.equal(await told, '57P01');
  assert.equal((await running).rowCount, 1);
  assert.equal(await codeOf(inside, 'COMMIT'), undefined);
  const report = await stopped;
  assert.deepEqual(report, {
    gone: 3,
    transactionsEnded: 0,
    requestsCut: 0,
  });
  assert.equal(fleet.primary().db.log.rows('entries', 'inside').length, 1);
});

test('a transaction may go on until its bound, a request until the last', async () => {
  const clock = manualClock();
  const callers = new Set<DrainableCaller>();
  const add = (pending: number, inTransaction: boolean) => {
    const caller: DrainableCaller = {
      pending,
      inTransaction,
      sendShutdown: () => callers.delete(caller),
    };
    callers.add(caller);
  };
  add(0, false);
  add(0, true);
  add(1, false);
  const times = {
    transactionLimitMs: 100,
    totalLimitMs: 200,
    checkIntervalMs: 10,
  };
  const sizes: number[] = [];
  const drained = drainCallers(callers, clock, times);
  for (let at = 0; at <= 200; at += 10) {
    sizes.push(callers.size);
    clock.advance(10);
    await new Promise(resolve => setImmediate(resolve));
  }
  const report = await drained;
  assert.deepEqual([sizes[0], sizes[9], sizes[11]], [2, 2, 1]);
  assert.deepEqual(report, {
    gone: 2,
    transactionsEnded: 1,
    requestsCut: 1,
  });
});

/** Writes until an error; resolves with the keys written and the last. */
async function work(port: number, name: string) {
  const where = {host: '127.0.0.1', port, user: name, database: 'entries'};
  const client = new pg.Client(where);
  client.on('error', () => {});
  await client.connect();
  const written: string[] = [];
  for (let n = 0; ; n++) {
    const key = `${name}-${n}`;
    const code = await codeOf(client, insert(key));
    if (code === undefined) {
      written.push(key);
      continue;
    }
    await client.end().catch(() => {});
    return {written, last: key, code};
  }
}

/** Starts a daemon as a process, on free ports unless `flags` say otherwise. */
function spawnDaemon(platformPort: number, flags: Record<string, string>) {
  const main = fileURLToPath(new URL('../src/main.js', import.meta.url));
  const all = {
    instance: 'spawned',
    'data-centre': 'recife',
    port: '0',
    'admin-port': '0',
    'peer-port': '0',
    'platform-url': `http://127.0.0.1:${platformPort}`,
    'log-level': 'fatal',
    ...flags,
  };
  const args = Object.entries(all).flatMap(([k, v]) => [`--${k}`, v]);
  const child = spawn(process.execPath, [main, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.push(child);
  return child;
}

test('a process whose port is taken says so and ends', async () => {
  const fleet = await started();
  const taken = String(fleet.primary().server.port);
  const child = spawnDaemon(fleet.platform.port, {'peer-port': taken});
  let said = '';
  child.stderr.on('data', chunk => {
    said += String(chunk);
  });
  const code = await new Promise(resolve => child.once('close', resolve));
  assert.equal(code, 2);
  assert.match(said, new RegExp(`${taken}.*--peer-port`, 's'));
});

test('a process under load stops by SIGTERM and fails nothing', async () => {
  const fleet = await started();
  const child = spawnDaemon(fleet.platform.port, {});
  const ended = new Promise<number | null>(resolve =>
    child.once('exit', code => resolve(code)),
  );
  const lines = createInterface({input: child.stdout});
  const line = await new Promise<string>(resolve =>
    lines.once('line', resolve),
  );
  const {port} = JSON.parse(line) as {port: number};
  const working = Array.from({length: 8}, (_, i) => work(port, `w${i}`));
  await new Promise(resolve => setTimeout(resolve, 500));
  child.kill('SIGTERM');
  assert.equal(await ended, 0);
  const {log} = fleet.primary().db;
  for (const {written, last, code} of await Promise.all(working)) {
    assert.ok(written.length > 0);
    for (const key of written) assert.equal(log.rows('entries', key).length, 1);
    // A request that crossed the dismissal was never received, so not run.
    assert.equal(log.rows('entries', last).length, 0, code);
    assert.doesNotMatch(code, /^QR/);
  }
});
