/**
 * State and dependencies shared by the modules that serve a caller's session.
 */
import type {Socket} from 'node:net';
import type {Clock} from '@quetzalreel/common';
import type {Configuration} from '@quetzalreel/config';
import {
  type SessionFloors,
  type Position,
  type TokenCodec,
  laterOf,
  isAtLeast,
} from '@quetzalreel/position';
import {
  SqlState,
  type TransactionStatus,
  errorResponse,
  frameSplitter,
  readyForQuery,
} from '@quetzalreel/wire';
import type {GroupHandle} from './group-handle.js';
import type {Log} from './log.js';

/** Dependencies of a session. */
export interface SessionContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: Socket;
  readonly group: GroupHandle;
  readonly configuration: () => Configuration;
  /** Undefined when the instance has no key for session tokens. */
  readonly tokens: TokenCodec | undefined;
}

/**
 * The session's floors: for each group the minimum position its reads must see.
 */
export interface SessionFloor {
  /** Floor in the session's own group; undefined before the first placement. */
  readonly current: Position | undefined;
  /**
   * True while the floor comes from a token and no endpoint has confirmed it.
   */
  readonly unproved: boolean;
  /** Floors by group, as written to a token. */
  readonly floorsByGroup: SessionFloors;
  /** Raises the floor to a position that an endpoint reported. */
  raise(position: Position): void;
  /** Raises the floors to at least those of a token. */
  acceptToken(floors: SessionFloors): void;
}

/**
 * Whether the session has changed state of its endpoint connection, such as a
 * setting or a lock, so that it must be reset before another session uses it.
 */
export interface ConnectionReset {
  needed: boolean;
}

/** Sends answers to a caller. */
export interface Reply {
  /** Sends a complete answer. */
  answer(bytes: Buffer): void;
  /** Sends an error and, unless the request ends with Flush, ReadyForQuery. */
  fail(code: string, message: string): void;
}

/** Everything needed to serve one request. */
export interface RequestContext extends SessionContext {
  readonly floor: SessionFloor;
  readonly reply: Reply;
  readonly connectionReset: ConnectionReset;
}

/** Creates the floors of a session of `group`; none is known yet. */
export function sessionFloor(group: string): SessionFloor {
  const all = new Map<string, Position>();
  let unproved = false;
  const raiseFloor = (name: string, position: Position) => {
    const known = all.get(name);
    all.set(name, known ? laterOf(known, position) : position);
  };
  return {
    floorsByGroup: all,
    get current() {
      return all.get(group);
    },
    get unproved() {
      return unproved;
    },
    raise(position) {
      raiseFloor(group, position);
      unproved = false;
    },
    acceptToken(floors) {
      const known = all.get(group);
      const fromToken = floors.get(group);
      if (fromToken && !(known && isAtLeast(known, fromToken))) unproved = true;
      for (const [name, position] of floors) raiseFloor(name, position);
    },
  };
}

/** Session state that determines the form of a reply. */
export interface ReplyContext {
  /** Transaction status of the session. */
  readonly status: () => TransactionStatus;
  /**
   * Whether the request ends with Flush, after which no ReadyForQuery is sent.
   */
  readonly endsWithFlush: () => boolean;
  /** Called when the answer to a request that ends with Flush is an error. */
  readonly onErrorBeforeSync: () => void;
}

/** Creates a reply that writes to `socket`. */
export function socketReply(socket: Socket, state: ReplyContext): Reply {
  return {
    answer(bytes) {
      if (!state.endsWithFlush()) {
        socket.write(bytes);
        return;
      }
      const {visible, failed} = withoutReadyForQuery(bytes);
      socket.write(visible);
      if (failed) state.onErrorBeforeSync();
    },
    fail(code, message) {
      socket.write(errorResponse({severity: 'ERROR', code, message}));
      if (state.endsWithFlush()) state.onErrorBeforeSync();
      else socket.write(readyForQuery(state.status()));
    },
  };
}

/** The answer without its ReadyForQuery, and whether it contains an error. */
function withoutReadyForQuery(bytes: Buffer): {
  visible: Buffer;
  failed: boolean;
} {
  const frames = frameSplitter(bytes.length).push(bytes);
  const failed = frames.some(frame => frame.type === 'E');
  const last = frames.at(-1);
  const end = last?.type === 'Z' ? last.bytes.length : 0;
  return {visible: bytes.subarray(0, bytes.length - end), failed};
}

/**
 * A context for retries of a write that may already have run. An error that
 * would say "not run" is reported as "outcome unknown" instead.
 */
export function withUnknownOutcome(context: RequestContext): RequestContext {
  return {
    ...context,
    reply: {
      ...context.reply,
      fail(code, message) {
        const isNotRun = code === SqlState.NotRun;
        context.reply.fail(
          isNotRun ? SqlState.OutcomeUnknown : code,
          isNotRun ? `outcome unknown, then ${message}` : message,
        );
      },
    },
  };
}
