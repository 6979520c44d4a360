/** A caller that writes, reads its own writes and roams between proxies. */
import {SqlState} from '@quetzalreel/wire';
import pg from 'pg';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {ReadRecord, WriteRecord} from './history.js';

/** What a caller does. */
export interface CallerOptions {
  readonly name: string;
  readonly group: string;
  readonly proxies: ReadonlyArray<{
    readonly host: string;
    readonly port: number;
  }>;
  readonly seed: number;
  /** Part of the requests that are reads, in per cent. */
  readonly readPercent: number;
  /** Requests between two changes of proxy. */
  readonly requestsPerProxy: number;
  /** Longest wait for an answer, milliseconds. */
  readonly timeoutMs: number;
  /** Pause between two requests, milliseconds. */
  readonly thinkMs: number;
}

/** What a caller recorded. */
export interface CallerRecords {
  readonly writes: WriteRecord[];
  readonly reads: ReadRecord[];
}

/** Table that callers write to. */
export const ENTRY_TABLE = 'entries';

const OUTCOME_OF_CODE: Readonly<Record<string, WriteRecord['outcome']>> = {
  [SqlState.NotRun]: 'notRun',
  [SqlState.OutcomeUnknown]: 'unknown',
};

/** Works until `stopped` says so; resolves with what was seen. */
export async function runCaller(
  options: CallerOptions,
  stopped: () => boolean,
): Promise<CallerRecords> {
  const records: CallerRecords = {writes: [], reads: []};
  const random = xoroshiro128plus(options.seed);
  const pick = (size: number) => uniformInt(random, 0, size - 1);
  let client: pg.Client | undefined;
  let left = 0;
  let lastKey: string | undefined;
  let count = 0;

  async function connected(): Promise<pg.Client> {
    if (client && left-- > 0) return client;
    await leave();
    const proxy = options.proxies[pick(options.proxies.length)]!;
    const opened = new pg.Client({
      host: proxy.host,
      port: proxy.port,
      user: options.name,
      database: options.group,
      connectionTimeoutMillis: options.timeoutMs,
      query_timeout: options.timeoutMs,
    });
    opened.on('error', () => {});
    await opened.connect();
    client = opened;
    left = options.requestsPerProxy;
    return opened;
  }

  async function leave(): Promise<void> {
    const old = client;
    client = undefined;
    await old?.end().catch(() => {});
  }

  async function write(on: pg.Client): Promise<void> {
    const key = `${options.name}-${++count}`;
    const startedAt = performance.now();
    try {
      const sql = `INSERT INTO ${ENTRY_TABLE} (key, value) VALUES ($1, $2)`;
      await on.query(sql, [key, 'written']);
      const endedAt = performance.now();
      records.writes.push({key, startedAt, endedAt, outcome: 'acked'});
      lastKey = key;
    } catch (err) {
      const code = (err as {code?: string}).code ?? '';
      const outcome = OUTCOME_OF_CODE[code] ?? 'unknown';
      const endedAt = performance.now();
      records.writes.push({key, startedAt, endedAt, outcome, code});
      if (!(code in OUTCOME_OF_CODE)) await leave();
    }
  }

  async function read(on: pg.Client, key: string): Promise<void> {
    const startedAt = performance.now();
    const record = (rows: number, outcome: ReadRecord['outcome']) => {
      const endedAt = performance.now();
      records.reads.push({key, startedAt, endedAt, rows, outcome});
    };
    try {
      const sql = `SELECT value FROM ${ENTRY_TABLE} WHERE key = $1`;
      const res = await on.query(sql, [key]);
      record(res.rows.length, 'done');
    } catch (err) {
      const code = (err as {code?: string}).code ?? '';
      record(0, code === SqlState.NotRun ? 'notRun' : 'failed');
      if (code !== SqlState.NotRun) await leave();
    }
  }

  while (!stopped()) {
    try {
      const on = await connected();
      const reads = lastKey !== undefined && pick(100) < options.readPercent;
      if (reads) await read(on, lastKey!);
      else await write(on);
    } catch {
      await leave();
    }
    await new Promise(resolve => setTimeout(resolve, options.thinkMs));
  }
  await leave();
  return records;
}
