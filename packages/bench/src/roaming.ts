/**
 * A client that keeps a connection to each proxy open and changes between
 * them. A session's token goes with it when the proxy gives one.
 */
import {SqlState} from '@quetzalreel/wire';
import pg from 'pg';
import type {ReadRecord, WriteRecord} from './history.js';

/** Where a proxy takes callers. */
export interface ProxyAddress {
  readonly host: string;
  readonly port: number;
}

/** How a client connects. */
export interface RoamingOptions {
  readonly name: string;
  readonly group: string;
  readonly proxies: readonly ProxyAddress[];
  readonly requestsPerProxy: number;
  readonly timeoutMs: number;
}

/** How a write ended. */
export type WriteEnd = Pick<WriteRecord, 'outcome' | 'code'>;

/** A client that roams. */
export interface RoamingClient {
  /** Proxy of the last request. */
  readonly proxy: string;
  /** Makes a connection ready; false when no proxy took it. */
  connect(): Promise<boolean>;
  write(sql: string): Promise<WriteEnd>;
  transaction(statements: readonly string[]): Promise<WriteEnd>;
  read(sql: string): Promise<Pick<ReadRecord, 'values' | 'outcome'>>;
  end(): Promise<void>;
}

const OUTCOME_OF_CODE: Readonly<Record<string, WriteRecord['outcome']>> = {
  [SqlState.NotRun]: 'notRun',
  [SqlState.OutcomeUnknown]: 'unknown',
  [SqlState.AdminShutdown]: 'unknown',
};
/** An error that an endpoint answered with: nothing was committed. */
const SQL_ERROR = /^(2|3|4|QR)[0-9A-Z]+$/;

/** A client without connections; `pick` draws a number below its argument. */
export function roamingClient(
  options: RoamingOptions,
  pick: (size: number) => number,
): RoamingClient {
  const open = new Map<string, pg.Client>();
  let proxy = '';
  let left = 0;
  let token: string | undefined;

  async function opened(address: ProxyAddress): Promise<pg.Client> {
    const known = open.get(nameOf(address));
    if (known) return known;
    const client = new pg.Client({
      host: address.host,
      port: address.port,
      user: options.name,
      database: options.group,
      connectionTimeoutMillis: options.timeoutMs,
      query_timeout: options.timeoutMs,
    });
    client.on('error', () => open.delete(nameOf(address)));
    await client.connect();
    open.set(nameOf(address), client);
    return client;
  }

  async function readToken(): Promise<string | undefined> {
    const res = await open.get(proxy)?.query('SHOW quetzalreel.session');
    const row = res?.rows[0] as Record<string, string> | undefined;
    return row && Object.values(row)[0];
  }

  async function hop(): Promise<void> {
    token = (await readToken().catch(() => undefined)) ?? token;
    const address = options.proxies[pick(options.proxies.length)]!;
    const client = await opened(address);
    proxy = nameOf(address);
    left = options.requestsPerProxy;
    if (token) await client.query(`SET quetzalreel.session = '${token}'`);
  }

  async function leave(): Promise<void> {
    const client = open.get(proxy);
    open.delete(proxy);
    left = 0;
    void client?.end().catch(() => {});
  }

  async function failed(err: unknown): Promise<WriteEnd> {
    const code = (err as {code?: string}).code ?? '';
    const known = OUTCOME_OF_CODE[code];
    const outcome = known ?? (SQL_ERROR.test(code) ? 'failed' : 'unknown');
    if (!known || code === SqlState.AdminShutdown) await leave();
    return {outcome, code};
  }

  const query = (sql: string) => open.get(proxy)!.query(sql);

  return {
    get proxy() {
      return proxy;
    },
    async connect() {
      try {
        if (left-- <= 0 || !open.has(proxy)) await hop();
        return true;
      } catch {
        await leave();
        return false;
      }
    },
    async write(sql) {
      try {
        await query(sql);
        return {outcome: 'acked'};
      } catch (err) {
        return failed(err);
      }
    },
    async transaction(statements) {
      try {
        await query('BEGIN');
        for (const sql of statements) await query(sql);
      } catch (err) {
        // No COMMIT was sent, so nothing of it may stay.
        await leave();
        return {outcome: 'failed', code: (err as {code?: string}).code ?? ''};
      }
      try {
        const res = await query('COMMIT');
        const isKept = res.command === 'COMMIT';
        return {outcome: isKept ? 'acked' : 'failed'};
      } catch (err) {
        return failed(err);
      }
    },
    async read(sql) {
      try {
        const results: unknown = await query(sql);
        const list = (
          Array.isArray(results) ? results : [results]
        ) as pg.QueryResult[];
        const rows = list.flatMap(res => res.rows as Array<{value: string}>);
        return {values: rows.map(row => row.value), outcome: 'done'};
      } catch (err) {
        const code = (err as {code?: string}).code;
        if (code === SqlState.NotRun) return {values: [], outcome: 'notRun'};
        await leave();
        return {values: [], outcome: 'failed'};
      }
    },
    async end() {
      for (const client of open.values()) await client.end().catch(() => {});
      open.clear();
    },
  };
}

function nameOf(address: ProxyAddress): string {
  return `${address.host}:${address.port}`;
}
