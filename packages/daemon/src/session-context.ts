/** What the parts of a caller's session share. */
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

/** What a session works with. */
export interface SessionContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: Socket;
  readonly group: GroupHandle;
  readonly configuration: () => Configuration;
  /** Undefined when the instance has no key for session tokens. */
  readonly tokens: TokenCodec | undefined;
}

/** The position that a caller must see, or a later one. */
export interface FloorKeeper {
  /** Undefined until the caller's first request has found it. */
  readonly current: Position | undefined;
  /** True while nothing but a token vouches for the floor. */
  readonly unproved: boolean;
  /** Floors of all groups, for a token. */
  readonly all: SessionFloors;
  /** Raises the floor to a position that an endpoint reported. */
  raise(position: Position): void;
  /** Raises the floors to those of a token. */
  accept(floors: SessionFloors): void;
}

/** Whether the session left something behind on its endpoint connection. */
export interface Residue {
  left: boolean;
}

/** Answers a caller. */
export interface Reply {
  /** Sends the bytes of a whole answer. */
  answer(bytes: Buffer): void;
  /** Sends an error and the end of the answer. */
  fail(code: string, message: string): void;
}

/** What serving one request needs. */
export interface RequestContext extends SessionContext {
  readonly floor: FloorKeeper;
  readonly reply: Reply;
  readonly residue: Residue;
}

/** A floor that is not known yet. */
export function floorKeeper(group: string): FloorKeeper {
  const all = new Map<string, Position>();
  let unproved = false;
  const lift = (name: string, position: Position) => {
    const known = all.get(name);
    all.set(name, known ? laterOf(known, position) : position);
  };
  return {
    all,
    get current() {
      return all.get(group);
    },
    get unproved() {
      return unproved;
    },
    raise(position) {
      lift(group, position);
      unproved = false;
    },
    accept(floors) {
      const known = all.get(group);
      const told = floors.get(group);
      if (told && !(known && isAtLeast(known, told))) unproved = true;
      for (const [name, position] of floors) lift(name, position);
    },
  };
}

/** How a reply looks to the caller. */
export interface ReplyState {
  /** How the session stands. */
  readonly status: () => TransactionStatus;
  /** Whether the request ends with Flush, so that no ReadyForQuery is due. */
  readonly isPartial: () => boolean;
  /** Called when the answer to a partial request holds an error. */
  readonly onPartialError: () => void;
}

/** Answers on `socket`. */
export function replyOn(socket: Socket, state: ReplyState): Reply {
  return {
    answer(bytes) {
      if (!state.isPartial()) {
        socket.write(bytes);
        return;
      }
      const {shown, failed} = withoutReady(bytes);
      socket.write(shown);
      if (failed) state.onPartialError();
    },
    fail(code, message) {
      socket.write(errorResponse({severity: 'ERROR', code, message}));
      if (state.isPartial()) state.onPartialError();
      else socket.write(readyForQuery(state.status()));
    },
  };
}

/** An answer without its ReadyForQuery, and whether it holds an error. */
function withoutReady(bytes: Buffer): {shown: Buffer; failed: boolean} {
  const frames = frameSplitter(bytes.length).push(bytes);
  const failed = frames.some(frame => frame.type === 'E');
  const last = frames.at(-1);
  const end = last?.type === 'Z' ? last.bytes.length : 0;
  return {shown: bytes.subarray(0, bytes.length - end), failed};
}

/** Once a write may have run, nothing may be called "not run" any more. */
export function inDoubt(context: RequestContext): RequestContext {
  return {
    ...context,
    reply: {
      ...context.reply,
      fail(code, message) {
        const unknown = code === SqlState.NotRun;
        context.reply.fail(
          unknown ? SqlState.OutcomeUnknown : code,
          unknown ? `outcome unknown, then ${message}` : message,
        );
      },
    },
  };
}
