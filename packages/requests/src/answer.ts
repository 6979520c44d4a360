/** Answers to requests, the same for every protocol. */
import type {Position} from '@quetzalreel/position';

/** How a session stands after an answer. */
export const SessionState = {
  Idle: 'idle',
  /** A transaction is open. */
  Open: 'open',
  /** A transaction is open and has failed; only its end is accepted. */
  Failed: 'failed',
} as const;

/** One of the values of `SessionState`. */
export type SessionState = (typeof SessionState)[keyof typeof SessionState];

/** Why a request failed. */
export const ErrorCode = {
  /** Not run: no room now; nothing is kept. */
  Busy: 'busy',
  /** The transaction was rolled back; nothing is kept. */
  Aborted: 'aborted',
  /** Not run: the log lacks the position that was asked for. */
  Behind: 'behind',
  /** Not run: the endpoint is not the primary. */
  ReadOnly: 'readOnly',
  /** Not run: the endpoint is not the one that was meant. */
  WrongEndpoint: 'wrongEndpoint',
  /** Not run: the endpoint takes no more connections. */
  TooManyConnections: 'tooManyConnections',
  /** It ran and failed. */
  Failed: 'failed',
  /** It ran for longer than it may. */
  Timeout: 'timeout',
  /** Not run: no such prepared statement. */
  NoStatement: 'noStatement',
  /** No such database. */
  NoDatabase: 'noDatabase',
  /** The message is larger than is allowed. */
  TooLarge: 'tooLarge',
  /** The message can't be read, or is not allowed now. */
  Malformed: 'malformed',
  /** Whether it took effect is unknown. */
  Unknown: 'unknown',
} as const;

/** One of the values of `ErrorCode`. */
export type ErrorCode = (typeof ErrorCode)[keyof typeof ErrorCode];

/** An error as callers and endpoints exchange it. */
export interface AnswerError {
  readonly code: ErrorCode;
  readonly text: string;
}

/** A whole answer. Has an error or a signature, never both. */
export interface Answer {
  /** Rows as the endpoint spelled them. */
  readonly rows: readonly string[];
  /** The endpoint's proof that it ran the request; `-` for none. */
  readonly signature: string | undefined;
  readonly error: AnswerError | undefined;
  readonly state: SessionState;
  /** How much the answering log held; undefined when the answer has none. */
  readonly position: Position | undefined;
}

/** Codes of endpoints which say that the statement did not run. */
const NOT_RUN: ReadonlySet<ErrorCode> = new Set([
  ErrorCode.Busy,
  ErrorCode.NoStatement,
  ErrorCode.Behind,
  ErrorCode.ReadOnly,
  ErrorCode.WrongEndpoint,
  ErrorCode.TooManyConnections,
]);

/** Whether an endpoint's error says that the statement did not run. */
export function didNotRun(code: ErrorCode): boolean {
  return NOT_RUN.has(code);
}

/** An answer that this instance gives itself. */
export function localAnswer(state: SessionState): Answer {
  return {
    rows: [],
    signature: '-',
    error: undefined,
    state,
    position: undefined,
  };
}

/** An error that this instance gives itself. */
export function localError(
  code: ErrorCode,
  text: string,
  state: SessionState,
): Answer {
  const error = {code, text};
  return {rows: [], signature: undefined, error, state, position: undefined};
}
