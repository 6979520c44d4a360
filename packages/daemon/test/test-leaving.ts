import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {type SmallFleet, codeOf, smallFleet, until} from './small-fleet.js';

let fleet: SmallFleet;
after(() => fleet.stop());

const insert = (key: string) =>
  `INSERT INTO entries (key, value) VALUES ('${key}', 'v')`;

/** Answers that a request may get while a primary is changed on purpose. */
const HARMLESS = new Set([undefined, 'QR001', '40000']);

test('a leaving primary hands over and gets no more work', async t => {
  fleet = await smallFleet({daemons: 2, serviceMs: 2});
  const [old] = fleet.databases;
  let stopped = false;
  const codes = new Set<string | undefined>();
  const written: string[] = [];
  const work = async (index: number) => {
    const caller = await fleet.caller(index % 2);
    for (let n = 0; !stopped; n++) {
      const key = `w${index}-${n}`;
      const code = await codeOf(caller, insert(key));
      codes.add(code);
      if (code === undefined) written.push(key);
      codes.add(await codeOf(caller, 'SELECT value FROM entries'));
    }
  };
  const working = [work(0), work(1), work(2), work(3)];
  const inside = await fleet.caller();
  await inside.query('BEGIN');
  await inside.query(insert('inside'));
  await until(() => written.length > 20);

  let lastWork = 0;
  const watch = setInterval(() => {
    if (old!.server.running > 0) lastWork = performance.now();
  }, 1);
  const acceptedAt = performance.now();
  await fleet.leave(['entries-1'], 2);
  await until(() => fleet.primary() !== old);
  const since = written.length;
  // No new work for longer than every bound of leaving.
  await until(() => performance.now() - acceptedAt > 3500);
  await until(() => written.length > since + 20);
  clearInterval(watch);
  const seen = lastWork;
  assert.equal(await codeOf(inside, 'SELECT 1'), '40000');
  stopped = true;
  await Promise.all(working);
  const ms = Math.round(seen - acceptedAt);
  t.diagnostic(`last work ${ms} ms after the accepted configuration`);
  for (const code of codes) assert.ok(HARMLESS.has(code), code);
  const rows = fleet.primary().db.log;
  for (const key of written) assert.equal(rows.rows('entries', key).length, 1);
  assert.equal(rows.rows('entries', 'inside').length, 0);
  for (const daemon of fleet.daemons) {
    await until(() => daemon.busy('entries') === 0);
  }
  assert.equal(old!.server.running, 0);
});
