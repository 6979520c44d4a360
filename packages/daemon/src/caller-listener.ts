/** Accepts callers, logs them in, and passes their requests to a session. */
import net from 'node:net';
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import type {Configuration} from '@quetzalreel/config';
import {type LoggedInClient, login} from '@quetzalreel/login';
import type {TokenCodec} from '@quetzalreel/position';
import {
  type Frame,
  FrameError,
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
import type {GroupHandle} from './group-handle.js';
import type {Log} from './log.js';
import {requestFlow} from './request-flow.js';
import {type CallerRequest, requestReader} from './request-reader.js';
import {callerSession} from './session.js';

/** Dependencies and settings of the listener. */
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
  /** Number of connected callers. */
  readonly callers: number;
  /** Stops accepting callers and shuts their connections down gracefully. */
  drain(times: DrainTimes): Promise<DrainReport>;
}

/** Maximum number of unfinished logins; beyond it the oldest is closed. */
export const MAX_CONCURRENT_LOGINS = 500;

/** Message to a session's actor: a request, or the end of the session. */
type SessionMessage = CallerRequest | SessionEnd;

interface SessionEnd {
  /** Bytes to send before the connection is closed. */
  readonly finalBytes: Buffer | undefined;
}

/** Starts listening for callers. */
export async function startListener(
  context: ListenerContext,
): Promise<CallerListener> {
  const sockets = new Set<net.Socket>();
  const loggingIn = new Set<net.Socket>();
  const callers = new Set<DrainableCaller>();
  let sessions = 0;
  let draining = false;

  /**
   * Closes the oldest unfinished logins, so that idle ones can't block new
   * callers.
   */
  function limitLogins(socket: net.Socket): void {
    for (const oldest of loggingIn) {
      if (loggingIn.size < MAX_CONCURRENT_LOGINS) break;
      loggingIn.delete(oldest);
      sockets.delete(oldest);
      oldest.destroy();
    }
    loggingIn.add(socket);
  }

  async function accept(socket: net.Socket): Promise<void> {
    sockets.add(socket);
    limitLogins(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      loggingIn.delete(socket);
    });
    socket.setNoDelay(true);
    const client = await login(socket, {
      timeoutMs: context.loginTimeoutMs,
      // A configuration without callers requires no password.
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
    loggingIn.delete(socket);
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
    const flow = requestFlow(socket);
    let pending = 0;
    let dismissed = false;
    const handleMessage = async (message: SessionMessage) => {
      if ('finalBytes' in message) {
        if (message.finalBytes) socket.write(message.finalBytes);
        socket.end();
        return;
      }
      try {
        await session.serve(message);
        await flow.requestAnswered();
      } catch (err) {
        context.log.error({why: messageOf(err)}, 'session failed');
        socket.destroy();
      }
      pending--;
      if (draining && pending === 0 && !session.inTransaction) {
        caller.sendShutdown();
      }
    };
    const actor = spawn(
      context.system,
      async (_: undefined, message: SessionMessage) => {
        await handleMessage(message);
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
      sendShutdown() {
        if (dismissed) return;
        dismissed = true;
        socket.end(shutdownMessage());
      },
    };
    callers.add(caller);
    socket.on('close', () => {
      callers.delete(caller);
      session.close();
      stop(actor);
    });
    readRequests(client, context.maxMessageBytes, message => {
      // The shutdown error says that later requests are not run.
      if (dismissed) return;
      if (!('finalBytes' in message)) {
        pending++;
        flow.requestReceived();
      }
      dispatch(actor, message);
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
      return sockets.size;
    },
    drain(times) {
      draining = true;
      server.close();
      return drainCallers(callers, context.clock, times);
    },
    dispose() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

function shutdownMessage(): Buffer {
  const code = SqlState.AdminShutdown;
  const message =
    'this instance stops; nothing more was run. Connect again to reach another.';
  return errorResponse({severity: 'FATAL', code, message});
}

/**
 * Reads a caller's requests until it disconnects or sends an invalid message.
 * The end is reported after the requests before it, so that each is answered.
 */
function readRequests(
  client: LoggedInClient,
  maxBytes: number,
  onMessage: (message: SessionMessage) => void,
): void {
  const {socket} = client;
  const splitter = frameSplitter(maxBytes);
  const reader = requestReader(maxBytes);
  let ended = false;
  const end = (last: Buffer | undefined) => {
    ended = true;
    onMessage({finalBytes: last});
  };
  const handle = (frame: Frame) => {
    if (frame.type === 'X') {
      end(undefined);
      return;
    }
    const request = reader.push(frame);
    if (request) onMessage(request);
  };
  const handleAll = (frames: readonly Frame[]) => {
    for (const frame of frames) {
      if (ended) return;
      handle(frame);
    }
  };
  const refuse = (err: unknown) => {
    const code = SqlState.ProtocolViolation;
    const message = messageOf(err);
    end(errorResponse({severity: 'FATAL', code, message}));
  };
  const handleChunk = (chunk: Buffer) => {
    if (ended) return;
    try {
      handleAll(splitter.push(chunk));
    } catch (err) {
      try {
        if (err instanceof FrameError) handleAll(err.precedingFrames);
        if (!ended) refuse(err);
      } catch (earlier) {
        refuse(earlier);
      }
    }
  };
  for (const chunk of client.earlyData) handleChunk(chunk);
  socket.on('data', handleChunk);
  socket.resume();
}
