/** Accepts callers, logs them in, and feeds their requests to a session. */
import net from 'node:net';
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import type {Configuration} from '@quetzalreel/config';
import {type LoggedInClient, login} from '@quetzalreel/login';
import type {TokenCodec} from '@quetzalreel/position';
import {
  type Frame,
  SqlState,
  errorResponse,
  frameSplitter,
} from '@quetzalreel/wire';
import {type ActorSystemRef, dispatch, spawn, stop} from 'nact';
import {
  type DrainReport,
  type DrainTimes,
  type DrainableCaller,
  drainCallers,
} from './drain.js';
import type {GroupHandle} from './group-actor.js';
import type {Log} from './log.js';
import {type CallerRequest, requestReader} from './request-reader.js';
import {callerSession} from './session.js';

/** What the listener works with. */
export interface ListenerContext {
  readonly system: ActorSystemRef;
  readonly clock: Clock;
  readonly log: Log;
  readonly host: string;
  readonly port: number;
  readonly maxMessageBytes: number;
  readonly loginTimeoutMs: number;
  /** Undefined when there is no key for session tokens. */
  readonly tokens: TokenCodec | undefined;
  readonly configuration: () => Configuration;
  /** Checks a caller's password. */
  readonly verify: (user: string, password: string) => Promise<boolean>;
  /** Certificate and key; undefined means no TLS. */
  readonly tls?: () => {readonly cert: Buffer; readonly key: Buffer};
  readonly groupOf: (database: string) => GroupHandle | undefined;
}

/** A running listener. */
export interface CallerListener extends Disposable {
  readonly port: number;
  /** Callers that are connected now. */
  readonly callers: number;
  /** Accepts no more and dismisses the callers; resolves when they are gone. */
  drain(times: DrainTimes): Promise<DrainReport>;
}

/** Starts listening. */
export async function startListener(
  context: ListenerContext,
): Promise<CallerListener> {
  const open = new Set<net.Socket>();
  const callers = new Set<DrainableCaller>();
  let sessions = 0;
  let draining = false;

  async function accept(socket: net.Socket): Promise<void> {
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    socket.setNoDelay(true);
    const client = await login(socket, {
      timeoutMs: context.loginTimeoutMs,
      // A configuration without callers lets everyone in.
      ...(context.configuration().callers.length > 0
        ? {verify: context.verify}
        : {}),
      ...(context.tls ? {tls: context.tls} : {}),
      parameters: {
        client_encoding: 'UTF8',
        standard_conforming_strings: 'on',
        integer_datetimes: 'on',
      },
      onStartup: async parameters => {
        const database = parameters['database'] ?? parameters['user'] ?? '';
        if (context.groupOf(database)) return undefined;
        const message = `no group ${database} is configured; name one as the database`;
        return {code: SqlState.NotRoutable, message};
      },
    });
    if (client) serve(client);
  }

  function serve(client: LoggedInClient): void {
    const group = context.groupOf(client.database);
    if (!group) {
      client.socket.destroy();
      return;
    }
    const {socket} = client;
    const session = callerSession({...context, socket, group});
    let pending = 0;
    let dismissed = false;
    const actor = spawn(
      context.system,
      async (_: undefined, request: CallerRequest) => {
        await session.serve(request);
        pending--;
        if (draining && pending === 0 && !session.inTransaction) {
          caller.dismiss();
        }
        return undefined;
      },
      `caller-${++sessions}`,
    );
    const caller: DrainableCaller = {
      get pending() {
        return pending;
      },
      get inTransaction() {
        return session.inTransaction;
      },
      dismiss() {
        if (dismissed) return;
        dismissed = true;
        socket.end(stoppingMessage());
      },
    };
    callers.add(caller);
    socket.on('close', () => {
      callers.delete(caller);
      session.close();
      stop(actor);
    });
    readRequests(client, context.maxMessageBytes, request => {
      // What comes after the dismissal was not run, as it says.
      if (dismissed) return;
      pending++;
      dispatch(actor, request);
    });
  }

  const server = net.createServer(socket => {
    accept(socket).catch(err => {
      context.log.warn({why: messageOf(err)}, 'caller lost');
      socket.destroy();
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(context.port, context.host, () => resolve());
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    get callers() {
      return open.size;
    },
    drain(times) {
      draining = true;
      server.close();
      return drainCallers(callers, context.clock, times);
    },
    dispose() {
      server.close();
      for (const socket of open) socket.destroy();
    },
  };
}

function stoppingMessage(): Buffer {
  const code = SqlState.AdminShutdown;
  const message =
    'this instance stops; nothing more was run. Connect again to reach another.';
  return errorResponse({severity: 'FATAL', code, message});
}

/** Reads a caller's requests until it leaves or sends what can't be read. */
function readRequests(
  client: LoggedInClient,
  maxBytes: number,
  onRequest: (request: CallerRequest) => void,
): void {
  const {socket} = client;
  const splitter = frameSplitter(maxBytes);
  const reader = requestReader(maxBytes);
  const handle = (frame: Frame) => {
    if (frame.type === 'X') {
      socket.end();
      return;
    }
    const request = reader.push(frame);
    if (request) onRequest(request);
  };
  const take = (chunk: Buffer) => {
    try {
      for (const frame of splitter.push(chunk)) handle(frame);
    } catch (err) {
      const code = SqlState.ProtocolViolation;
      const message = messageOf(err);
      socket.end(errorResponse({severity: 'FATAL', code, message}));
    }
  };
  for (const chunk of client.early) take(chunk);
  socket.on('data', take);
  socket.resume();
}
