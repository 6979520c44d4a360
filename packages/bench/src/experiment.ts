/**
 * One run of a workload on a fleet: applies the load, optionally kills a
 * primary halfway, checks the recorded history and computes the figures.
 */
import {build} from 'hdr-histogram-js';
import pg from 'pg';
import {
  type SharedGroupLoad,
  type CallerRecords,
  ENTRY_TABLE,
  type ReadPolicy,
  runCaller,
} from './caller.js';
import type {Fleet} from './fleet.js';
import {type Verdict, checkHistory} from './history.js';
import type {Workload} from './workloads.js';

/** Settings of a run. */
export interface RunOptions {
  readonly workload: Workload;
  readonly policy: ReadPolicy;
  readonly seed: number;
  /** Duration of the load, milliseconds. */
  readonly loadMs: number;
  /** Whether the first group's primary is killed halfway. */
  readonly killsPrimary: boolean;
}

/** Figures of a run. Latencies are in milliseconds, by the callers' clocks. */
export interface RunFigures extends Verdict {
  /** Share of the reads that replicas served, 0 to 1. */
  readonly replicaShare: number;
  readonly statementsPerSecond: number;
  readonly readP50Ms: number;
  readonly readP99Ms: number;
  readonly writeP50Ms: number;
  readonly writeP99Ms: number;
  /** Median time until a wave's insertions were done; 0 without waves. */
  readonly waveFillMs: number;
  readonly reads: number;
}

const CALLER_TIMEOUT_MS = 12_000;
const REQUESTS_PER_PROXY = 10;

/** Runs a workload against a fleet. */
export async function runExperiment(
  fleet: Fleet,
  options: RunOptions,
): Promise<RunFigures> {
  const {workload, loadMs} = options;
  let stopped = false;
  const waveFillTimesMs: number[] = [];
  const loads = workload.sizes.groups.map(() => sharedLoad(waveFillTimesMs));
  const callers = workload.sizes.groups.flatMap((group, index) =>
    groupCallers(fleet, options, group, loads[index]!, () => stopped),
  );
  const waves = workload.waves;
  const timer = waves
    ? setInterval(() => {
        for (const groupLoad of loads) groupLoad.openWave(waves.places);
      }, waves.everyMs)
    : undefined;
  await sleep(loadMs / 2);
  if (options.killsPrimary) fleet.signal(fleet.endpoints[0]!.pid, 'SIGKILL');
  await sleep(loadMs / 2);
  stopped = true;
  clearInterval(timer);
  const records = await Promise.all(callers);
  const rows: string[] = [];
  for (const group of workload.sizes.groups) {
    rows.push(...(await finalValues(fleet, group)));
  }
  return figuresOf(
    records,
    rows,
    waveFillTimesMs,
    loadMs,
    await replicaReads(fleet),
  );
}

interface WaveLoad extends SharedGroupLoad {
  openWave(places: number): void;
}

function sharedLoad(waveFillTimesMs: number[]): WaveLoad {
  let openedAt = 0;
  return {
    keys: [],
    places: 0,
    openWave(places) {
      this.places = places;
      openedAt = performance.now();
    },
    onFilled() {
      waveFillTimesMs.push(performance.now() - openedAt);
    },
  };
}

function groupCallers(
  fleet: Fleet,
  options: RunOptions,
  group: string,
  groupLoad: SharedGroupLoad,
  stopped: () => boolean,
): Array<Promise<CallerRecords>> {
  const {workload} = options;
  const kinds = workload.sizes.kinds as ReadonlyArray<{
    name: string;
    maxAgeMs?: number;
  }>;
  const maxAgeMs = Object.fromEntries(
    kinds.map(kind => [kind.name, kind.maxAgeMs ?? 0]),
  );
  return Array.from({length: workload.callersPerGroup}, (_, i) =>
    runCaller(
      {
        name: `${group}-caller-${i + 1}`,
        group,
        proxies: fleet.proxies,
        seed: options.seed * SEED_STEP + i,
        mix: workload.mix,
        maxAgeMs,
        policy: options.policy,
        requestsPerProxy: REQUESTS_PER_PROXY,
        timeoutMs: CALLER_TIMEOUT_MS,
        thinkMs: workload.thinkMs,
        groupLoad,
      },
      stopped,
    ),
  );
}

/** Distance of the callers' seeds of two runs, so that they don't overlap. */
const SEED_STEP = 1000;

function figuresOf(
  records: readonly CallerRecords[],
  rows: readonly string[],
  waveFillTimesMs: readonly number[],
  loadMs: number,
  replicaReadCount: number,
): RunFigures {
  const writes = records.flatMap(item => item.writes);
  const reads = records.flatMap(item => item.reads);
  const completedReads = reads.filter(read => read.outcome === 'done');
  const acked = writes.filter(write => write.outcome === 'acked');
  const readLatency = quantiles(completedReads);
  const writeLatency = quantiles(acked);
  const statements = completedReads.length + acked.length;
  return {
    ...checkHistory({writes, reads}, rows),
    replicaShare: Number(
      (replicaReadCount / Math.max(1, completedReads.length)).toFixed(3),
    ),
    statementsPerSecond: Math.round((statements * 1000) / loadMs),
    readP50Ms: readLatency.p50,
    readP99Ms: readLatency.p99,
    writeP50Ms: writeLatency.p50,
    writeP99Ms: writeLatency.p99,
    waveFillMs: Math.round(medianOf(waveFillTimesMs)),
    reads: completedReads.length,
  };
}

interface Timed {
  readonly startedAt: number;
  readonly endedAt: number;
}

const MICROSECONDS_PER_MS = 1000;

function quantiles(items: readonly Timed[]): {p50: number; p99: number} {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const {startedAt, endedAt} of items) {
    const spent = (endedAt - startedAt) * MICROSECONDS_PER_MS;
    histogram.recordValue(Math.round(spent));
  }
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {p50: percentileMs(50), p99: percentileMs(99)};
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Reads the values of all rows of a group from its primary. */
export async function finalValues(
  fleet: Fleet,
  group: string,
): Promise<string[]> {
  const {host, port} = fleet.proxies[0]!;
  const client = new pg.Client({host, port, user: 'checker', database: group});
  await client.connect();
  // No comment in the SQL can select the primary, but a transaction does.
  await client.query('BEGIN');
  const res = await client.query(`SELECT value FROM ${ENTRY_TABLE}`);
  await client.query('COMMIT');
  await client.end();
  return (res.rows as Array<{value: string}>).map(row => row.value);
}

/** Number of reads that replicas served, over all proxies. */
async function replicaReads(fleet: Fleet): Promise<number> {
  let replica = 0;
  for (const proxy of fleet.proxies) {
    const res = await fetch(`http://${proxy.host}:${proxy.admin}/state`);
    const state = (await res.json()) as {reads: {replica: number}};
    replica += state.reads.replica;
  }
  return replica;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
