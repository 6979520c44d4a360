/**
 * The demonstration: a fleet of separate processes, callers that roam, one
 * change of primary, and the checker's verdict.
 */
import pg from 'pg';
import {ENTRY_TABLE, runCaller} from './caller.js';
import type {Fleet, FleetSizes} from './fleet.js';
import {type Verdict, checkHistory} from './history.js';

/** Sizes of the demonstration's fleet. */
export const DEMO_SIZES: FleetSizes = {
  proxies: 3,
  groups: ['entries-1'],
  dataCentres: ['recife', 'fortaleza', 'natal'],
  slots: 3,
  connections: 20,
  connectMs: 10,
  lagMs: 5,
  serviceMs: 1,
  distanceMs: 0.5,
  kinds: [{name: 'start-list', access: 'read', maxAgeMs: 5000}],
};

/** How the demonstration runs. */
export interface DemoOptions {
  readonly callers: number;
  readonly seed: number;
  /** Time before the primary is stopped, milliseconds. */
  readonly beforeMs: number;
  /** Time after it, milliseconds. */
  readonly afterMs: number;
}

/** The demonstration's result. */
export interface DemoResult extends Verdict {
  readonly reads: number;
  /** Part of the reads that replicas served, 0 to 1. */
  readonly replicaShare: number;
}

const READ_PERCENT = 70;

/** Runs callers against a fleet and kills the primary halfway. */
export async function runDemo(
  fleet: Fleet,
  options: DemoOptions,
  progress: (line: string) => void,
): Promise<DemoResult> {
  let stopped = false;
  const callers = Array.from({length: options.callers}, (_, i) =>
    runCaller(
      {
        name: `rider-${i + 1}`,
        group: DEMO_SIZES.groups[0]!,
        proxies: fleet.proxies,
        seed: options.seed + i,
        readPercent: READ_PERCENT,
        requestsPerProxy: 10,
        timeoutMs: 12_000,
        thinkMs: 5,
      },
      () => stopped,
    ),
  );
  progress(`${options.callers} callers write and read`);
  await sleep(options.beforeMs);
  const first = fleet.endpoints[0]!;
  progress(`${first.name}, the primary, is killed`);
  fleet.signal(first.pid, 'SIGKILL');
  await sleep(options.afterMs);
  stopped = true;
  const records = await Promise.all(callers);
  progress('callers have stopped; the histories are checked');
  const writes = records.flatMap(item => item.writes);
  const reads = records.flatMap(item => item.reads);
  const rows = await finalRows(fleet);
  const verdict = checkHistory({writes, reads}, rows);
  const shares = await replicaReads(fleet);
  return {...verdict, reads: reads.length, replicaShare: shares};
}

/** Rows of each key as a primary holds them at the end. */
async function finalRows(fleet: Fleet): Promise<Map<string, number>> {
  const proxy = fleet.proxies[0]!;
  const client = new pg.Client({
    host: proxy.host,
    port: proxy.port,
    user: 'checker',
    database: DEMO_SIZES.groups[0]!,
  });
  await client.connect();
  // A comment can't force the primary, a transaction does.
  await client.query('BEGIN');
  const res = await client.query(`SELECT key FROM ${ENTRY_TABLE}`);
  await client.query('COMMIT');
  await client.end();
  const rows = new Map<string, number>();
  for (const {value} of res.rows as Array<{value: string}>) {
    rows.set(value, (rows.get(value) ?? 0) + 1);
  }
  return rows;
}

/** Part of the reads that went to replicas, over all proxies. */
async function replicaReads(fleet: Fleet): Promise<number> {
  let replica = 0;
  let all = 0;
  for (const proxy of fleet.proxies) {
    const res = await fetch(`http://${proxy.host}:${proxy.admin}/state`);
    const state = (await res.json()) as {
      reads: {replica: number; primary: number};
    };
    replica += state.reads.replica;
    all += state.reads.replica + state.reads.primary;
  }
  return all === 0 ? 0 : Number((replica / all).toFixed(3));
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
