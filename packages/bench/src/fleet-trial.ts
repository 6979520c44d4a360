/**
 * Measurements on a fleet of separate processes: how long an accepted
 * configuration takes to be in force on all daemons under each platform fault,
 * and what control traffic costs an instance as the fleet grows.
 */
import {type Disposable, systemClock} from '@quetzalreel/common';
import {type FleetHandle, createLog, joinFleet} from '@quetzalreel/daemon';
import {
  type ListedInstance,
  PlatformClient,
  type StoredObject,
} from '@quetzalreel/object-store';
import {
  type PlatformFaults,
  type PlatformServer,
  platformServer,
} from '@quetzalreel/standin';
import {command, number, option, run} from 'cmd-ts';
import {type ActorSystemRef, start, stop} from 'nact';
import {
  type DaemonProcess,
  type DaemonState,
  metricsOf,
  startDaemon,
  stateOf,
} from './fleet-daemon.js';
import {type ForwarderMode, startForwarder} from './forwarder.js';

const HOST = '127.0.0.1';
const print = (line: unknown) =>
  process.stdout.write(`${JSON.stringify(line)}\n`);
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function listedInstances(addresses: readonly string[]): ListedInstance[] {
  return addresses.map((address, i) => ({
    id: `listed-${i}`,
    address,
    dataCentre: 'recife',
    leaving: false,
  }));
}

/** Stores a configuration; returns its version and the time of acceptance. */
async function storeConfiguration(
  server: PlatformServer,
  generation: number,
  version: number | undefined,
): Promise<{version: number; at: number}> {
  const condition: Record<string, string> =
    version === undefined
      ? {'If-None-Match': '*'}
      : {'If-Match': `"${version}"`};
  const url = `http://${HOST}:${server.port}/objects/configuration`;
  const changeId = `change-${generation}`;
  const body = JSON.stringify({generation, changeId, groups: []});
  const res = await fetch(url, {method: 'PUT', headers: condition, body});
  if (!res.ok) throw new Error(`configuration refused: ${res.status}`);
  const tag = Number(res.headers.get('etag')?.replace(/"/g, ''));
  return {version: tag, at: performance.now()};
}

interface FaultCase {
  readonly name: string;
  readonly faults: Partial<PlatformFaults>;
  /** Mode of the forwarder, through which half of the daemons connect. */
  readonly forwarderMode: ForwarderMode;
}

const NO_FAULT = {slowMs: 0, silentWatches: false, staleReads: 0} as const;

const FAULTS: readonly FaultCase[] = [
  {name: 'none', faults: {}, forwarderMode: 'pass'},
  {name: 'down for half', faults: {}, forwarderMode: 'refuse'},
  {name: 'frozen for half', faults: {}, forwarderMode: 'freeze'},
  {name: 'slow, 500 ms', faults: {slowMs: 500}, forwarderMode: 'pass'},
  {name: 'slow, 1500 ms', faults: {slowMs: 1500}, forwarderMode: 'pass'},
  {
    name: 'watches silent',
    faults: {silentWatches: true},
    forwarderMode: 'pass',
  },
  {name: 'reads stale', faults: {staleReads: 1}, forwarderMode: 'pass'},
  {
    name: 'watches silent, frozen for half',
    faults: {silentWatches: true},
    forwarderMode: 'freeze',
  },
  {
    name: 'watches silent, reads 500 ms',
    faults: {silentWatches: true, slowMs: 500},
    forwarderMode: 'pass',
  },
];

const DAEMONS = 8;
const PROPAGATION_LIMIT_MS = 20_000;
/** Wait for membership updates to spread before costs are measured. */
const SETTLE_MS = 25_000;

/**
 * Measures the time from the acceptance of a configuration until it is in force
 * on all daemons, for each fault.
 */
async function measurePropagation(rounds: number): Promise<void> {
  const server = await platformServer(0);
  const forwarder = await startForwarder(server.port);
  let generation = 1;
  let {version} = await storeConfiguration(server, generation, undefined);
  const daemons = await Promise.all(
    Array.from({length: DAEMONS}, (_, i) =>
      startDaemon(i, i % 2 === 0 ? server.port : forwarder.port),
    ),
  );
  server.instances = listedInstances(daemons.map(daemon => daemon.peer));
  try {
    await waitForMembers(daemons, DAEMONS);
    for (const {name, faults, forwarderMode} of FAULTS) {
      const times: number[] = [];
      for (let round = 0; round < rounds; round++) {
        Object.assign(server.faults, NO_FAULT, faults);
        forwarder.mode = forwarderMode;
        await sleep(700);
        const accepted = await storeConfiguration(
          server,
          ++generation,
          version,
        );
        version = accepted.version;
        times.push(await waitForGeneration(daemons, generation, accepted.at));
      }
      times.sort((a, b) => a - b);
      const median = times[Math.floor(times.length / 2)];
      print({fault: name, rounds, medianMs: median, maxMs: times.at(-1)});
    }
  } finally {
    for (const {child} of daemons) child.kill('SIGKILL');
    forwarder.dispose();
    server.close();
  }
}

/**
 * Waits until every daemon has `generation`. Returns the milliseconds since
 * `from`, or Infinity at the time limit.
 */
async function waitForGeneration(
  daemons: readonly DaemonProcess[],
  generation: number,
  from: number,
): Promise<number> {
  while (performance.now() - from < PROPAGATION_LIMIT_MS) {
    const states = await Promise.all(daemons.map(stateOf));
    const outdated = states.filter(state => state.generation < generation);
    if (outdated.length === 0) return Math.round(performance.now() - from);
    await sleep(5);
  }
  return Infinity;
}

/** Waits until every daemon sees `count` members as alive. */
async function waitForMembers(
  daemons: readonly DaemonProcess[],
  count: number,
): Promise<void> {
  for (;;) {
    const states = await Promise.all(daemons.map(stateOf));
    const seesAllMembers = (state: DaemonState) =>
      state.members.filter(({status}) => status === 'alive').length === count;
    if (states.every(seesAllMembers)) return;
    await sleep(100);
  }
}

/** Platform client for in-process members: lists instances, has no objects. */
class InstanceListClient extends PlatformClient {
  constructor(private readonly server: PlatformServer) {
    super();
  }

  async get(): Promise<StoredObject | undefined> {
    return undefined;
  }

  async put(): Promise<number> {
    throw new Error('writes are not supported');
  }

  async watch(): Promise<StoredObject | undefined> {
    return undefined;
  }

  async instances(): Promise<readonly ListedInstance[]> {
    return this.server.instances as ListedInstance[];
  }
}

/** Starts members in this process, in addition to the daemons. */
async function startMembers(
  server: PlatformServer,
  count: number,
): Promise<Disposable & {readonly addresses: readonly string[]}> {
  const members: FleetHandle[] = [];
  const systems: ActorSystemRef[] = [];
  for (let i = 0; i < count; i++) {
    // Each member needs its own actor system: actors have fixed names.
    const system = start();
    systems.push(system);
    members.push(
      await joinFleet({
        system,
        platform: new InstanceListClient(server),
        clock: systemClock(),
        log: createLog('member', 'fatal'),
        instance: `member-${i}`,
        dataCentre: 'natal',
        host: HOST,
        port: 0,
        admin: `${HOST}:1`,
        peers: [],
        seed: i + 1,
        incarnation: 1,
        inForce: () => undefined,
        onConfig: () => {},
        onMembers: () => {},
        onReports: () => {},
        onLoan: () => {},
      }),
    );
  }
  return {
    addresses: members.map(member => member.address),
    dispose() {
      for (const member of members) member.dispose();
      for (const system of systems) stop(system);
    },
  };
}

interface Cost {
  readonly bytesPerS: number;
  readonly cpuPercent: number;
  readonly memoryMb: number;
  readonly links: number;
}

/** Measures the control traffic and resources of one daemon over `forMs`. */
async function costOf(daemon: DaemonProcess, forMs: number): Promise<Cost> {
  const sample = async () => {
    const {control} = await stateOf(daemon);
    const metrics = await metricsOf(daemon);
    const bytes = control.sentBytes + control.receivedBytes;
    const cpuS = metrics.get('process_cpu_seconds_total')!;
    const memory = metrics.get('process_resident_memory_bytes')!;
    return {at: performance.now(), bytes, cpuS, memory, links: control.links};
  };
  const before = await sample();
  await sleep(forMs);
  const after = await sample();
  const elapsedS = (after.at - before.at) / 1000;
  return {
    bytesPerS: (after.bytes - before.bytes) / elapsedS,
    cpuPercent: (100 * (after.cpuS - before.cpuS)) / elapsedS,
    memoryMb: after.memory / 1024 / 1024,
    links: after.links,
  };
}

/** Measures the control cost per instance for each size of the fleet. */
async function measureCost(sizes: readonly number[], forMs: number) {
  for (const size of sizes) {
    const server = await platformServer(0);
    await storeConfiguration(server, 1, undefined);
    const daemons = await Promise.all(
      Array.from({length: DAEMONS}, (_, i) => startDaemon(i, server.port)),
    );
    const members = await startMembers(server, size - DAEMONS);
    const peers = daemons.map(daemon => daemon.peer);
    server.instances = listedInstances([...peers, ...members.addresses]);
    try {
      const startedAt = performance.now();
      await waitForMembers(daemons, size);
      const joinedMs = Math.round(performance.now() - startedAt);
      await sleep(SETTLE_MS);
      const callsBefore = server.calls;
      const costs = await Promise.all(
        daemons.map(daemon => costOf(daemon, forMs)),
      );
      const platformCallsPerS = (server.calls - callsBefore) / (forMs / 1000);
      const mean = (read: (cost: Cost) => number) =>
        costs.reduce((sum, cost) => sum + read(cost), 0) / costs.length;
      print({
        size,
        joinedMs,
        bytesPerS: Math.round(mean(cost => cost.bytesPerS)),
        cpuPercent: Number(mean(cost => cost.cpuPercent).toFixed(2)),
        memoryMb: Math.round(mean(cost => cost.memoryMb)),
        links: Number(mean(cost => cost.links).toFixed(1)),
        platformCallsPerS: Number(platformCallsPerS.toFixed(1)),
      });
    } finally {
      for (const {child} of daemons) child.kill('SIGKILL');
      members.dispose();
      server.close();
    }
  }
}

const app = command({
  name: 'fleet-trial',
  args: {
    rounds: option({type: number, long: 'rounds', defaultValue: () => 0}),
    costMs: option({type: number, long: 'cost-ms', defaultValue: () => 0}),
  },
  handler: async ({rounds, costMs}) => {
    if (rounds > 0) await measurePropagation(rounds);
    if (costMs > 0) await measureCost([8, 16, 32, 64], costMs);
    // In-process members go on polling and would keep the process alive.
    process.exit(0);
  },
});

await run(app, process.argv.slice(2));
