/** Serves a stand-in database over the PostgreSQL protocol. */
import net from 'node:net';
import {login} from '@quetzalreel/login';
import {SqlState, frameSplitter} from '@quetzalreel/wire';
import type {Database} from './database.js';
import {type DatabaseFaults, REPLICATION_NAME, isCut} from './faults.js';
import type {TermRun} from './log.js';
import {serveReplica} from './replication.js';
import {type Session, session} from './session.js';
import {slots} from './slots.js';

/** Capacity of a stand-in database. */
export interface DatabaseSizes {
  /** Maximum number of statements that run at the same time. */
  readonly slots: number;
  /** Maximum number of open connections, without those of replicas. */
  readonly connections: number;
  /** Milliseconds by which each login is delayed. */
  readonly connectMs: number;
}

/** A running server. */
export interface DatabaseServer {
  readonly port: number;
  /** Number of open connections, without those of replicas. */
  readonly connections: number;
  /** Highest value of `connections` so far. */
  readonly mostConnections: number;
  /** Number of statements that hold a slot. */
  readonly running: number;
  /** Number of statements that wait for a slot. */
  readonly waiting: number;
  /** Closes all connections and refuses new ones; the data is kept. */
  fail(): Promise<void>;
  /** Listens again on the same port. */
  recover(): Promise<void>;
}

const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const LOGIN_TIMEOUT_MS = 10_000;

/** Starts a server on `port`, or on a free port if it is 0. */
export async function databaseServer(
  db: Database,
  faults: DatabaseFaults,
  sizes: DatabaseSizes,
  port: number,
): Promise<DatabaseServer> {
  const openSockets = new Set<net.Socket>();
  const pool = slots(sizes.slots);
  let connections = 0;
  let mostConnections = 0;
  let server = await listen(port);
  const boundPort = (server.address() as net.AddressInfo).port;

  function listen(listenPort: number): Promise<net.Server> {
    const created = net.createServer(socket => void accept(socket));
    return new Promise((resolve, reject) => {
      created.once('error', reject);
      created.listen(listenPort, '127.0.0.1', () => resolve(created));
    });
  }

  async function findRefusal(
    parameters: Readonly<Record<string, string>>,
  ): Promise<{code: string; message: string} | undefined> {
    if (parameters['user'] === REPLICATION_NAME) return undefined;
    if (connections >= sizes.connections) {
      const message = `all ${sizes.connections} connections are taken`;
      return {code: SqlState.TooManyConnections, message};
    }
    return undefined;
  }

  async function accept(socket: net.Socket): Promise<void> {
    const acceptedAt = performance.now();
    openSockets.add(socket);
    socket.on('close', () => openSockets.delete(socket));
    socket.on('error', () => {});
    socket.setNoDelay(true);
    let isCounted = false;
    socket.on('close', () => {
      if (isCounted) connections--;
    });
    if (isCut(faults.cut, '*')) return;
    const client = await login(socket, {
      timeoutMs: LOGIN_TIMEOUT_MS,
      parameters: {},
      onStartup: async parameters => {
        const refusal = await findRefusal(parameters);
        if (refusal) return refusal;
        if (parameters['user'] !== REPLICATION_NAME) {
          isCounted = true;
          connections++;
          mostConnections = Math.max(mostConnections, connections);
        }
        if (isCut(faults.cut, nameOf(parameters))) await new Promise(() => {});
        await new Promise(resolve => setTimeout(resolve, sizes.connectMs));
        return undefined;
      },
    });
    if (!client) return;
    serve(
      client.socket,
      nameOf(client.parameters),
      acceptedAt,
      client.earlyData,
    );
  }

  function serve(
    socket: net.Socket,
    name: string,
    acceptedAt: number,
    early: readonly Buffer[],
  ): void {
    const silent = () =>
      acceptedAt < faults.silencedBefore || isCut(faults.cut, name);
    const send = (bytes: Buffer) => {
      const write = () => {
        if (silent() || isCut(faults.cutAnswers, name)) return;
        if (!socket.destroyed) socket.write(bytes);
      };
      if (faults.distanceMs > 0) setTimeout(write, faults.distanceMs);
      else write();
    };
    const drop = () => socket.destroy();
    const replicate = (term: number, runs: string) => {
      const replicaRuns = JSON.parse(runs) as TermRun[];
      socket.on('close', serveReplica(db, term, replicaRuns, send, drop));
    };
    const context = {db, faults, slots: pool, send, replicate, drop};
    readFrames(socket, session(context), silent, early);
  }

  return {
    port: boundPort,
    get connections() {
      return connections;
    },
    get mostConnections() {
      return mostConnections;
    },
    get running() {
      return pool.running;
    },
    get waiting() {
      return pool.waiting;
    },
    async fail() {
      server.close();
      for (const socket of openSockets) socket.destroy();
    },
    async recover() {
      server = await listen(boundPort);
    },
  };
}

function nameOf(parameters: Readonly<Record<string, string>>): string {
  return parameters['application_name'] ?? parameters['user'] ?? '';
}

/** Passes received frames to a session one at a time, in order. */
function readFrames(
  socket: net.Socket,
  target: Session,
  silent: () => boolean,
  early: readonly Buffer[],
): void {
  const splitter = frameSplitter(MAX_FRAME_BYTES);
  let previous = Promise.resolve();
  const onData = (chunk: Buffer) => {
    if (silent()) return;
    for (const frame of splitter.push(chunk)) {
      previous = previous.then(() => target.handle(frame));
    }
  };
  for (const chunk of early) onData(chunk);
  socket.on('data', onData);
  socket.resume();
}
