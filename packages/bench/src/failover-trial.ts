/**
 * Measures the failover gap for each fault: the longest time without an
 * acknowledged write, by the callers' clock. Prints one JSON object per run.
 */
import {command, number, option, run, string} from 'cmd-ts';
import {SqlState} from '@quetzalreel/wire';
import pg from 'pg';
import {ENTRY_TABLE} from './caller.js';
import {DEMO} from './demo.js';
import {type Fleet, startFleet} from './fleet.js';

const CALLERS = 12;
const BEFORE_MS = 1200;
const AFTER_MS = 2500;
const PAUSE_MS = 5;
const {sizes} = DEMO;
const GROUP = sizes.groups[0]!;

/** Outcome of a write, as its caller saw it. */
interface TimedWrite {
  /** Milliseconds, by the caller's clock. */
  readonly endedAt: number;
  readonly outcome: 'acked' | 'notRun' | 'unknown';
}

/** Injects a fault into the primary of a fleet. */
type Fault = (fleet: Fleet) => Promise<unknown>;

const primaryOf = (fleet: Fleet) => fleet.endpoints[0]!;
const instancesOf = (fleet: Fleet) =>
  fleet.proxies.map((_, i) => `proxy-${i + 1}`);

async function kill(fleet: Fleet) {
  fleet.signal(primaryOf(fleet).pid, 'SIGKILL');
}

async function freeze(fleet: Fleet) {
  fleet.signal(primaryOf(fleet).pid, 'SIGSTOP');
}

function cutFromEveryone(fleet: Fleet) {
  const cut = ['*', 'replication'];
  return fleet.fault(primaryOf(fleet).name, {cut});
}

function cutFromInstances(fleet: Fleet) {
  return fleet.fault(primaryOf(fleet).name, {cut: instancesOf(fleet)});
}

async function planned(fleet: Fleet) {
  const {host, admin} = fleet.proxies[0]!;
  const target = fleet.endpoints[1]!.name;
  const url = `http://${host}:${admin}/promote/${GROUP}/${target}`;
  const res = await fetch(url, {method: 'POST'});
  if (!res.ok) throw new Error(`promotion request refused: ${res.status}`);
}

const FAULTS: Readonly<Record<string, Fault>> = {
  kill,
  freeze,
  cutFromEveryone,
  cutFromInstances,
  planned,
};

/** Writes through one instance until `stopped`; returns the outcomes. */
async function writeUntilStopped(
  fleet: Fleet,
  name: string,
  proxy: number,
  stopped: () => boolean,
): Promise<TimedWrite[]> {
  const {host, port} = fleet.proxies[proxy % fleet.proxies.length]!;
  const client = new pg.Client({host, port, user: name, database: GROUP});
  client.on('error', () => {});
  await client.connect();
  const writes: TimedWrite[] = [];
  for (let i = 0; !stopped(); i++) {
    const sql = `INSERT INTO ${ENTRY_TABLE} (key, value) VALUES ($1, 'v')`;
    let outcome: TimedWrite['outcome'] = 'acked';
    try {
      await client.query(sql, [`${name}-${i}`]);
    } catch (err) {
      const {code} = err as {code?: string};
      outcome = code === SqlState.NotRun ? 'notRun' : 'unknown';
    }
    writes.push({endedAt: performance.now(), outcome});
    await sleep(PAUSE_MS);
  }
  await client.end();
  return writes;
}

/** Runs callers, injects the fault and returns the gaps that they saw. */
async function runTrial(name: string, fault: Fault, seed: number) {
  const fleet = await startFleet({...sizes, logLevel: 'fatal'});
  try {
    let stopped = false;
    const callers = Array.from({length: CALLERS}, (_, i) =>
      writeUntilStopped(fleet, `rider-${seed}-${i}`, i, () => stopped),
    );
    // Each run injects the fault at another phase of the status polling.
    await sleep(BEFORE_MS + seed * 7);
    const faultAt = performance.now();
    await fault(fleet);
    await sleep(AFTER_MS);
    stopped = true;
    const writes = (await Promise.all(callers)).flat();
    return {fault: name, seed, ...gapsOf(writes, faultAt)};
  } finally {
    await fleet.stop();
  }
}

/** Longest times without an acknowledgement, before and after the fault. */
function gapsOf(writes: readonly TimedWrite[], faultAt: number) {
  const acked = writes.filter(write => write.outcome === 'acked');
  const times = acked.map(write => write.endedAt).sort((a, b) => a - b);
  let usualMs = 0;
  let gapMs = 0;
  for (let i = 1; i < times.length; i++) {
    const gap = times[i]! - times[i - 1]!;
    if (times[i]! < faultAt) usualMs = Math.max(usualMs, gap);
    else gapMs = Math.max(gapMs, gap);
  }
  const count = (outcome: TimedWrite['outcome']) =>
    writes.filter(write => write.outcome === outcome).length;
  return {
    gapMs: Math.round(gapMs),
    usualMs: Math.round(usualMs),
    acked: acked.length,
    notRun: count('notRun'),
    unknown: count('unknown'),
  };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

const app = command({
  name: 'failover-trial',
  description: 'Measures the failover gap for each fault.',
  args: {
    fault: option({type: string, long: 'fault', defaultValue: () => 'all'}),
    runs: option({type: number, long: 'runs', defaultValue: () => 5}),
  },
  handler: async ({fault, runs}) => {
    for (const [name, injectFault] of Object.entries(FAULTS)) {
      if (fault !== 'all' && fault !== name) continue;
      for (let seed = 1; seed <= runs; seed++) {
        const result = await runTrial(name, injectFault, seed);
        process.stdout.write(`${JSON.stringify(result)}\n`);
      }
    }
  },
});

await run(app, process.argv.slice(2));
