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

/** Sizes of a stand-in database. */
export interface DatabaseSizes {
  /** Statements at a time. */
  readonly slots: number;
  /** Connections at a time, without those of replicas. */
  readonly connections: number;
  /** Milliseconds that a new connection takes. */
  readonly connectMs: number;
}

/** A running server. */
export interface DatabaseServer {
  readonly port: number;
  /** Connections open now, without those of replicas. */
  readonly connections: number;
  /** Most connections that were open at a time. */
  readonly mostConnections: number;
  readonly running: number;
  readonly waiting: number;
  /** Closes all connections and refuses new ones, keeping the data. */
  fail(): Promise<void>;
  /** Listens again on the same port. */
  recover(): Promise<void>;
}

const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const LOGIN_TIMEOUT_MS = 10_000;

/** Starts a server on `port`, or on a free one when that is 0. */
export async function databaseServer(
  db: Database,
  faults: DatabaseFaults,
  sizes: DatabaseSizes,
  port: number,
): Promise<DatabaseServer> {
  const open = new Set<net.Socket>();
  const pool = slots(sizes.slots);
  let connections = 0;
  let mostConnections = 0;
  let server = await listen(port);
  const chosen = (server.address() as net.AddressInfo).port;

  function listen(on: number): Promise<net.Server> {
    const created = net.createServer(socket => void accept(socket));
    return new Promise((resolve, reject) => {
      created.once('error', reject);
      created.listen(on, '127.0.0.1', () => resolve(created));
    });
  }

  async function admit(
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
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    socket.on('error', () => {});
    socket.setNoDelay(true);
    let counted = false;
    socket.on('close', () => {
      if (counted) connections--;
    });
    if (isCut(faults.cut, '*')) return;
    const client = await login(socket, {
      timeoutMs: LOGIN_TIMEOUT_MS,
      parameters: {},
      onStartup: async parameters => {
        const refusal = await admit(parameters);
        if (refusal) return refusal;
        if (parameters['user'] !== REPLICATION_NAME) {
          counted = true;
          connections++;
          mostConnections = Math.max(mostConnections, connections);
        }
        if (isCut(faults.cut, nameOf(parameters))) await new Promise(() => {});
        await new Promise(resolve => setTimeout(resolve, sizes.connectMs));
        return undefined;
      },
    });
    if (!client) return;
    serve(client.socket, nameOf(client.parameters), acceptedAt, client.early);
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
      const known = JSON.parse(runs) as TermRun[];
      socket.on('close', serveReplica(db, term, known, send, drop));
    };
    const context = {db, faults, slots: pool, send, replicate, drop};
    readFrames(socket, session(context), silent, early);
  }

  return {
    port: chosen,
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
      for (const socket of open) socket.destroy();
    },
    async recover() {
      server = await listen(chosen);
    },
  };
}

function nameOf(parameters: Readonly<Record<string, string>>): string {
  return parameters['application_name'] ?? parameters['user'] ?? '';
}

/** Gives a session its frames one after the other. */
function readFrames(
  socket: net.Socket,
  target: Session,
  silent: () => boolean,
  early: readonly Buffer[],
): void {
  const splitter = frameSplitter(MAX_FRAME_BYTES);
  let last = Promise.resolve();
  const take = (chunk: Buffer) => {
    if (silent()) return;
    for (const frame of splitter.push(chunk)) {
      last = last.then(() => target.handle(frame));
    }
  };
  for (const chunk of early) take(chunk);
  socket.on('data', take);
  socket.resume();
}
