import assert from 'node:assert/strict';
import {test} from 'node:test';
import {disposableStore, systemClock} from '@quetzalreel/common';
import {digestOf} from '@quetzalreel/config';
import {httpPlatformClient} from '@quetzalreel/object-store';
import {
  type PlatformFaults,
  type PlatformServer,
  platformServer,
} from '@quetzalreel/standin';
import {start, stop} from 'nact';
import {type ConfigFollower, followConfiguration} from '../src/config-actor.js';
import {type FleetHandle, joinFleet} from '../src/fleet-actor.js';
import {createLog} from '../src/log.js';

const document = (generation: number) => ({
  generation,
  changeId: `c${generation}`,
  groups: [],
});

const TIMES = {watchMs: 300, rereadMs: 100, retryMs: 50};

interface Instance {
  readonly follower: ConfigFollower;
  readonly fleet: FleetHandle;
  readonly applied: number[];
  stop(): void;
}

let started = 0;

async function instance(port: number, peers: string[]): Promise<Instance> {
  const system = start();
  const clock = systemClock();
  const log = createLog('test', 'fatal');
  const owned = disposableStore();
  const applied: number[] = [];
  const url = `http://127.0.0.1:${port}`;
  const platform = httpPlatformClient({url, timeoutMs: 400});
  let follower: ConfigFollower | undefined = undefined;
  const fleet: FleetHandle = await joinFleet({
    system,
    platform,
    clock,
    log,
    instance: `i${++started}`,
    dataCentre: 'recife',
    host: '127.0.0.1',
    port: 0,
    admin: '127.0.0.1:1',
    peers,
    seed: started,
    incarnation: 1,
    inForce: () => follower?.inForce,
    onConfig: event => follower?.receive(event),
    onMembers: () => {},
    onReports: () => {},
    onLoan: () => {},
  });
  follower = owned.add(
    followConfiguration({
      system,
      platform,
      clock,
      log,
      times: TIMES,
      peers: fleet.configPeers,
      apply: cfg => applied.push(cfg.generation),
    }),
  );
  return {
    follower,
    fleet,
    applied,
    stop() {
      owned.dispose();
      fleet.dispose();
      stop(system);
    },
  };
}

async function put(server: PlatformServer, generation: number): Promise<void> {
  const url = `http://127.0.0.1:${server.port}/objects/configuration`;
  const version = generation - 1;
  await fetch(url, {
    method: 'PUT',
    body: JSON.stringify(document(generation)),
    headers: version ? {'If-Match': `"${version}"`} : {'If-None-Match': '*'},
  });
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5));
}

/** Two platforms stand for one: the faults are on the second one alone. */
const FAULTS: ReadonlyArray<[string, Partial<PlatformFaults>]> = [
  ['none', {}],
  ['down', {down: true}],
  ['slower than any timeout', {slowMs: 1500}],
  ['slow', {slowMs: 200}],
  ['silent on its watches', {silentWatches: true}],
  ['stale reads', {staleReads: 1}],
  ['stale reads and silent watches', {staleReads: 1, silentWatches: true}],
];

for (const [name, faults] of FAULTS) {
  test(`in force on both with the store of one: ${name}`, async () => {
    const good = await platformServer(0);
    const bad = await platformServer(0);
    await put(good, 1);
    await put(bad, 1);
    const a = await instance(good.port, []);
    const b = await instance(bad.port, [a.fleet.address]);
    await until(() => a.applied.length > 0 && b.applied.length > 0);
    await until(() => a.fleet.members.length === 2);
    Object.assign(bad.faults, faults);
    await put(good, 2);
    await put(bad, 2);
    await until(() => a.applied.includes(2) && b.applied.includes(2));
    assert.deepEqual(a.applied, [1, 2]);
    assert.deepEqual(b.applied, [1, 2]);
    for (const item of [a, b]) item.stop();
    for (const server of [good, bad]) server.close();
  });
}

test('an instance starts from its peers while the store is down', async () => {
  const server = await platformServer(0);
  await put(server, 1);
  const a = await instance(server.port, []);
  await a.follower.firstConfiguration;
  server.faults.down = true;
  const b = await instance(server.port, [a.fleet.address]);
  assert.equal((await b.follower.firstConfiguration).generation, 1);
  assert.equal(b.follower.storeDown, true);
  for (const item of [a, b]) item.stop();
  server.close();
});

test('an instance that restarts from an old read takes the newer one', async () => {
  const server = await platformServer(0);
  await put(server, 1);
  await put(server, 2);
  const a = await instance(server.port, []);
  await until(() => a.applied.includes(2));
  server.faults.staleReads = 1;
  server.faults.silentWatches = true;
  const b = await instance(server.port, [a.fleet.address]);
  await until(() => b.applied.includes(2));
  assert.deepEqual(a.applied, [2]);
  assert.equal(b.follower.inForce?.digest, digestOf(document(2)));
  for (const item of [a, b]) item.stop();
  server.close();
});

test('a store that is emptied and begins anew changes nothing', async () => {
  const server = await platformServer(0);
  await put(server, 1);
  await put(server, 2);
  const a = await instance(server.port, []);
  await until(() => a.applied.includes(2));
  const {port} = server;
  server.close();
  const empty = await platformServer(port);
  // The first calls meet links of the former server.
  while (empty.calls < 2) await put(empty, 1).catch(() => {});
  await put(empty, 1);
  await until(() => empty.calls > 6);
  assert.deepEqual(a.applied, [2]);
  a.stop();
  empty.close();
});

test('leaving reaches the others over their links', async () => {
  const server = await platformServer(0);
  await put(server, 1);
  const a = await instance(server.port, []);
  const b = await instance(server.port, [a.fleet.address]);
  // Who leaves tells those it knows, so both must know each other first.
  await until(
    () => a.fleet.members.length === 2 && b.fleet.members.length === 2,
  );
  b.fleet.leave();
  await until(() => a.fleet.members.length === 1);
  const stands = [...a.fleet.state.members.values()];
  assert.deepEqual(
    stands.map(known => known.record.status),
    ['left'],
  );
  for (const item of [a, b]) item.stop();
  server.close();
});
