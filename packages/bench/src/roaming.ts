/**
 * A client that keeps a connection to each proxy open and switches between
 * them. It carries the session token, if it got one, to the next proxy.
 */
import {SqlState} from '@quetzalreel/wire';
import pg from 'pg';
import type {ReadRecord, WriteRecord} from './history.js';

/** Address at which a proxy accepts callers. */
export interface ProxyAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a client. */
export interface RoamingOptions {
  readonly name: string;
  readonly group: string;
  readonly proxies: readonly ProxyAddress[];
  readonly requestsPerProxy: number;
  readonly timeoutMs: number;
}

/** Outcome of a write. */
export type WriteResult = Pick<WriteRecord, 'outcome' | 'code'>;

/** A client that switches between proxies. */
export interface RoamingClient {
  /** Proxy of the last request. */
  readonly proxy: string;
  /** Opens a connection or switches the proxy if due; false if that fails. */
  connect(): Promise<boolean>;
  write(sql: string): Promise<WriteResult>;
  transaction(statements: readonly string[]): Promise<WriteResult>;
  read(sql: string): Promise<Pick<ReadRecord, 'values' | 'outcome'>>;
  end(): Promise<void>;
}

const OUTCOME_BY_CODE: Readonly<Record<string, WriteRecord['outcome']>> = {
  [SqlState.NotRun]: 'notRun',
  [SqlState.OutcomeUnknown]: 'unknown',
  [SqlState.AdminShutdown]: 'unknown',
};
/** Error codes of an endpoint, which mean that nothing was committed. */
const SQL_ERROR = /^(2|3|4|QR)[0-9A-Z]+$/;

/**
 * Creates a client without connections. `randomBelow` returns a random integer
 * from 0 to its argument minus 1.
 */
export function roamingClient(
  options: RoamingOptions,
  randomBelow: (size: number) => number,
): RoamingClient {
  const clients = new Map<string, pg.Client>();
  let proxy = '';
  let requestsLeft = 0;
  let token: string | undefined;

  async function connectionTo(address: ProxyAddress): Promise<pg.Client> {
    const openClient = clients.get(nameOf(address));
    if (openClient) return openClient;
    const client = new pg.Client({
      host: address.host,
      port: address.port,
      user: options.name,
      database: options.group,
      connectionTimeoutMillis: options.timeoutMs,
      query_timeout: options.timeoutMs,
    });
    client.on('error', () => clients.delete(nameOf(address)));
    await client.connect();
    clients.set(nameOf(address), client);
    return client;
  }

  async function readToken(): Promise<string | undefined> {
    const res = await clients.get(proxy)?.query('SHOW quetzalreel.session');
    const row = res?.rows[0] as Record<string, string> | undefined;
    return row && Object.values(row)[0];
  }

  async function switchProxy(): Promise<void> {
    token = (await readToken().catch(() => undefined)) ?? token;
    const address = options.proxies[randomBelow(options.proxies.length)]!;
    const client = await connectionTo(address);
    proxy = nameOf(address);
    requestsLeft = options.requestsPerProxy;
    if (token) await client.query(`SET quetzalreel.session = '${token}'`);
  }

  async function closeConnection(): Promise<void> {
    const client = clients.get(proxy);
    clients.delete(proxy);
    requestsLeft = 0;
    void client?.end().catch(() => {});
  }

  async function resultOfError(err: unknown): Promise<WriteResult> {
    const code = (err as {code?: string}).code ?? '';
    const knownOutcome = OUTCOME_BY_CODE[code];
    const outcome =
      knownOutcome ?? (SQL_ERROR.test(code) ? 'failed' : 'unknown');
    if (!knownOutcome || code === SqlState.AdminShutdown)
      await closeConnection();
    return {outcome, code};
  }

  const query = (sql: string) => clients.get(proxy)!.query(sql);

  return {
    get proxy() {
      return proxy;
    },
    async connect() {
      try {
        if (requestsLeft-- <= 0 || !clients.has(proxy)) await switchProxy();
        return true;
      } catch {
        await closeConnection();
        return false;
      }
    },
    async write(sql) {
      try {
        await query(sql);
        return {outcome: 'acked'};
      } catch (err) {
        return resultOfError(err);
      }
    },
    async transaction(statements) {
      try {
        await query('BEGIN');
        for (const sql of statements) await query(sql);
      } catch (err) {
        // No COMMIT was sent, so no part of the transaction may be stored.
        await closeConnection();
        return {outcome: 'failed', code: (err as {code?: string}).code ?? ''};
      }
      try {
        const res = await query('COMMIT');
        const isCommitted = res.command === 'COMMIT';
        return {outcome: isCommitted ? 'acked' : 'failed'};
      } catch (err) {
        return resultOfError(err);
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
        await closeConnection();
        return {values: [], outcome: 'failed'};
      }
    },
    async end() {
      for (const client of clients.values()) await client.end().catch(() => {});
      clients.clear();
    },
  };
}

function nameOf(address: ProxyAddress): string {
  return `${address.host}:${address.port}`;
}
