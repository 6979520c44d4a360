/** The side towards callers, behind an abstract class for each protocol. */
import type {Disposable} from '@quetzalreel/common';
import type {Answer} from './answer.js';
import type {CallerRequest, SessionStart} from './request.js';

/** One caller's connection. */
export abstract class CallerConnection {
  /** Sends the answer to the oldest request without one. */
  abstract answer(answer: Answer): void;
  /** Ends the connection after what was written has left. */
  abstract end(): void;
}

/** What a protocol tells of a caller. Calls come in the caller's order. */
export interface CallerHandler {
  request(req: CallerRequest): void;
  /** The caller has left; nothing can be sent any more. */
  disconnected(): void;
}

/** Accepts a caller: returns its handler, or the error that refuses it. */
export type AcceptCaller = (
  start: SessionStart,
  connection: CallerConnection,
) => CallerHandler | Answer;

/** Listens for callers of one protocol. */
export abstract class CallerListener implements Disposable {
  abstract readonly port: number;
  abstract dispose(): void;
}
