/**
 * One run: a fleet, its callers, a change of primary halfway, the checker's
 * verdict and the figures.
 */
import {build} from 'hdr-histogram-js';
import pg from 'pg';
import {
  type Board,
  type CallerRecords,
  ENTRY_TABLE,
  type ReadPolicy,
  runCaller,
} from './caller.js';
import type {Fleet} from './fleet.js';
import {type Verdict, checkHistory} from './history.js';
import type {Workload} from './workloads.js';

/** How a run goes. */
export interface RunOptions {
  readonly workload: Workload;
  readonly policy: ReadPolicy;
  readonly seed: number;
  /** Length of the load, milliseconds. */
  readonly loadMs: number;
  /** Whether the first group's primary is killed halfway. */
  readonly killsPrimary: boolean;
}

/** A run's figures. Latencies in milliseconds, by the callers' clocks. */
export interface RunFigures extends Verdict {
  /** Part of the reads that replicas served, 0 to 1. */
  readonly replicaShare: number;
  readonly statementsPerSecond: number;
  readonly readP50Ms: number;
  readonly readP99Ms: number;
  readonly writeP50Ms: number;
  readonly writeP99Ms: number;
  /** Median time in which a wave's places were taken; 0 without waves. */
  readonly waveFillMs: number;
  readonly reads: number;
}

const CALLER_TIMEOUT_MS = 12_000;
const REQUESTS_PER_PROXY = 10;

/** Runs the load against a fleet. */
export async function runExperiment(
  fleet: Fleet,
  options: RunOptions,
): Promise<RunFigures> {
  const {workload, loadMs} = options;
  let stopped = false;
  const fills: number[] = [];
  const boards = workload.sizes.groups.map(() => boardOf(fills));
  const callers = workload.sizes.groups.flatMap((group, index) =>
    groupCallers(fleet, options, group, boards[index]!, () => stopped),
  );
  const waves = workload.waves;
  const timer = waves
    ? setInterval(() => {
        for (const board of boards) board.open(waves.places);
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
  return figuresOf(records, rows, fills, loadMs, await replicaReads(fleet));
}

interface WaveBoard extends Board {
  open(places: number): void;
}

function boardOf(fills: number[]): WaveBoard {
  let openedAt = 0;
  return {
    keys: [],
    places: 0,
    open(places) {
      this.places = places;
      openedAt = performance.now();
    },
    onFilled() {
      fills.push(performance.now() - openedAt);
    },
  };
}

function groupCallers(
  fleet: Fleet,
  options: RunOptions,
  group: string,
  board: Board,
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
        board,
      },
      stopped,
    ),
  );
}

/** Keeps the callers' seeds of two runs apart. */
const SEED_STEP = 1000;

function figuresOf(
  records: readonly CallerRecords[],
  rows: readonly string[],
  fills: readonly number[],
  loadMs: number,
  onReplicas: number,
): RunFigures {
  const writes = records.flatMap(item => item.writes);
  const reads = records.flatMap(item => item.reads);
  const done = reads.filter(read => read.outcome === 'done');
  const acked = writes.filter(write => write.outcome === 'acked');
  const read = quantiles(done);
  const write = quantiles(acked);
  const statements = done.length + acked.length;
  return {
    ...checkHistory({writes, reads}, rows),
    replicaShare: Number((onReplicas / Math.max(1, done.length)).toFixed(3)),
    statementsPerSecond: Math.round((statements * 1000) / loadMs),
    readP50Ms: read.p50,
    readP99Ms: read.p99,
    writeP50Ms: write.p50,
    writeP99Ms: write.p99,
    waveFillMs: Math.round(medianOf(fills)),
    reads: done.length,
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
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {p50: at(50), p99: at(99)};
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Values of all rows of a group, as its primary holds them at the end. */
export async function finalValues(
  fleet: Fleet,
  group: string,
): Promise<string[]> {
  const {host, port} = fleet.proxies[0]!;
  const client = new pg.Client({host, port, user: 'checker', database: group});
  await client.connect();
  // A comment can't force the primary, a transaction does.
  await client.query('BEGIN');
  const res = await client.query(`SELECT value FROM ${ENTRY_TABLE}`);
  await client.query('COMMIT');
  await client.end();
  return (res.rows as Array<{value: string}>).map(row => row.value);
}

/** Reads that went to replicas, over all proxies. */
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
