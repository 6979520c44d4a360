/** A group of stand-in databases, a platform and daemons in this process. */
import {
  type PlatformServer,
  type RunningDatabase,
  platformServer,
  runDatabase,
} from '@quetzalreel/standin';
import pg from 'pg';
import {type Daemon, type Settings, startDaemon} from '../src/index.js';

/** Sizes that tests change. */
export interface SmallFleetSizes {
  readonly daemons: number;
  readonly slots: number;
  readonly connections: number;
  readonly connectMs: number;
  readonly serviceMs: number;
}

/** A running fleet. */
export interface SmallFleet {
  readonly platform: PlatformServer;
  readonly databases: readonly RunningDatabase[];
  readonly daemons: readonly Daemon[];
  /** The database that serves the highest term. */
  primary(): RunningDatabase;
  /** A new caller of a daemon. */
  caller(daemon?: number): Promise<pg.Client>;
  /** Puts a changed list of endpoints in force. */
  leave(endpoints: readonly string[], generation: number): Promise<void>;
  stop(): Promise<void>;
}

const HOST = '127.0.0.1';
const SIZES: SmallFleetSizes = {
  daemons: 1,
  slots: 3,
  connections: 20,
  connectMs: 0,
  serviceMs: 0,
};

/** Starts a fleet with one group, `entries`, of three databases. */
export async function smallFleet(
  change: Partial<SmallFleetSizes> = {},
): Promise<SmallFleet> {
  const sizes = {...SIZES, ...change};
  const platform = await platformServer(0);
  const databases: RunningDatabase[] = [];
  for (let i = 0; i < 3; i++) {
    const port = databases[0]?.server.port;
    const upstream = port ? {term: 1, host: HOST, port} : undefined;
    const delays = {lagMs: 0, distanceMs: 0};
    const options = {...sizes, ...delays, port: 0, name: nameOf(i), upstream};
    databases.push(await runDatabase(options));
  }

  async function publish(
    generation: number,
    leaving: readonly string[],
  ): Promise<void> {
    const endpoints = databases.map(({server}, i) => ({
      name: nameOf(i),
      host: HOST,
      port: server.port,
      dataCentre: 'recife',
      slots: sizes.slots,
      connections: sizes.connections,
      leaving: leaving.includes(nameOf(i)),
    }));
    const groups = [{name: 'entries', endpoints}];
    const kinds = [{name: 'renew', access: 'write', idempotent: true}];
    const body = {generation, groups, kinds};
    const url = `http://${HOST}:${platform.port}/objects/configuration`;
    const known = (await fetch(url)).headers.get('etag');
    const res = await fetch(url, {
      method: 'PUT',
      body: JSON.stringify(body),
      headers: known ? {'If-Match': known} : {},
    });
    if (!res.ok) throw new Error(`not published: ${res.status}`);
  }

  await publish(1, []);
  const daemons: Daemon[] = [];
  for (let i = 0; i < sizes.daemons; i++) {
    daemons.push(await startDaemon(settings(i, sizes.daemons, platform.port)));
  }
  const callers: pg.Client[] = [];
  return {
    platform,
    databases,
    daemons,
    primary() {
      const primaries = databases.filter(({db}) => db.role === 'primary');
      let found = primaries[0]!;
      for (const item of primaries) {
        if (item.db.term > found.db.term) found = item;
      }
      return found;
    },
    async caller(daemon = 0) {
      const {port} = daemons[daemon]!;
      const where = {host: HOST, port, user: 'rider', database: 'entries'};
      const client = new pg.Client(where);
      client.on('error', () => {});
      await client.connect();
      callers.push(client);
      return client;
    },
    leave: (endpoints, generation) => publish(generation, endpoints),
    async stop() {
      for (const caller of callers) await caller.end().catch(() => {});
      for (const daemon of daemons) daemon.dispose();
      for (const item of databases) await item.close();
      platform.close();
    },
  };
}

function nameOf(index: number): string {
  return `entries-${index + 1}`;
}

function settings(index: number, instances: number, port: number): Settings {
  return {
    instance: `proxy-${index + 1}`,
    dataCentre: 'recife',
    host: HOST,
    port: 0,
    adminPort: 0,
    peerPort: 0,
    peers: '',
    sessionKey: '',
    operatorToken: '',
    tlsCert: '',
    tlsKey: '',
    peerTlsCert: '',
    peerTlsKey: '',
    peerTlsCa: '',
    platformUrl: `http://${HOST}:${port}`,
    endpointUser: 'quetzalreel',
    endpointPassword: '',
    instances,
    maxMessageBytes: 4 * 1024 * 1024,
    logLevel: 'fatal',
  };
}

/** SQLSTATE of the error that a statement ends in; undefined without one. */
export async function codeOf(
  caller: pg.Client,
  sql: string,
): Promise<string | undefined> {
  try {
    await caller.query(sql);
    return undefined;
  } catch (err) {
    return (err as {code?: string}).code ?? (err as Error).message;
  }
}

/** Resolves once `isTrue` holds; the runner's own limit ends a long wait. */
export async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(resolve => setTimeout(resolve, 5));
}
