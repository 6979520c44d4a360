/** Abstract classes for caller connections; each protocol implements them. */
import type {Disposable} from '@quetzalreel/common';
import type {Answer} from './answer.js';
import type {KeptKind} from './caller-memory.js';
import type {CallerRequest, SessionStart} from './request.js';

/** One caller's connection. */
export abstract class CallerConnection {
  /**
   * Sends the answer to the oldest request without one. For a long answer it
   * returns a promise that resolves once the caller has received nearly all of it
   * or has disconnected; no other answer may be sent before.
   */
  abstract answer(answer: Answer): Promise<void> | undefined;
  /** Closes the connection once everything written has been sent. */
  abstract end(): void;
  /** Counts what the session keeps of one kind; may close the connection. */
  abstract keep(kind: KeptKind, bytes: number): void;
}

/**
 * Receives the events of one caller connection, in the order sent by the
 * caller.
 */
export interface CallerHandler {
  request(req: CallerRequest): void;
  /** The caller has disconnected; no more answers can be sent. */
  disconnected(): void;
}

/**
 * Accepts a caller and returns its handler, or rejects it with an error answer.
 */
export type AcceptCaller = (
  start: SessionStart,
  connection: CallerConnection,
) => CallerHandler | Answer;

/** Listens for callers that use one protocol. */
export abstract class CallerListener implements Disposable {
  abstract readonly port: number;
  /** Connections that are open. */
  abstract readonly connections: number;
  /**
   * Accepts no more callers. Resolves when the network has taken all that was
   * written to them, or after `atMostMs`.
   */
  abstract close(atMostMs: number): Promise<void>;
  /** Ends all connections, with what is still to be sent on them. */
  abstract dispose(): void;
}
