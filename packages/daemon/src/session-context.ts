/** What the parts of a caller's session share. */
import type {Socket} from 'node:net';
import type {Clock} from '@quetzalreel/common';
import type {Configuration} from '@quetzalreel/config';
import {type Position, laterOf} from '@quetzalreel/position';
import {
  TransactionStatus,
  errorResponse,
  readyForQuery,
} from '@quetzalreel/wire';
import type {GroupHandle} from './group-actor.js';
import type {Log} from './log.js';

/** What a session works with. */
export interface SessionContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: Socket;
  readonly group: GroupHandle;
  readonly configuration: () => Configuration;
}

/** The position that a caller must see, or a later one. */
export interface FloorKeeper {
  /** Undefined until the caller's first request has found it. */
  readonly current: Position | undefined;
  /** Raises the floor to `position`; it never falls. */
  raise(position: Position): void;
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
}

/** A floor that is not known yet. */
export function floorKeeper(): FloorKeeper {
  let current: Position | undefined;
  return {
    get current() {
      return current;
    },
    raise(position) {
      current = current ? laterOf(current, position) : position;
    },
  };
}

/** Answers on `socket`; `status` tells how the session stands. */
export function replyOn(
  socket: Socket,
  status: () => TransactionStatus,
): Reply {
  return {
    answer: bytes => socket.write(bytes),
    fail(code, message) {
      socket.write(errorResponse({severity: 'ERROR', code, message}));
      socket.write(readyForQuery(status()));
    },
  };
}
