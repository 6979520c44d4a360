/**
 * What callers ask for, decoded once by the protocol they speak. Sessions,
 * transactions, routing and retries work on these values and never on the
 * bytes of one protocol.
 */

/** What a prepared statement may do. */
export const Access = {
  Read: 'read',
  Write: 'write',
} as const;

/** One of the values of `Access`. */
export type Access = (typeof Access)[keyof typeof Access];

/** What a request asks for. */
export type Statement =
  | {readonly type: 'begin'; readonly readOnly: boolean}
  | {readonly type: 'commit'}
  | {readonly type: 'rollback'}
  | {readonly type: 'read'}
  | {readonly type: 'write'}
  /** Sets a value of the session. */
  | {readonly type: 'set'; readonly name: string; readonly value: string}
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      /** What the prepared statement does, in the protocol's own spelling. */
      readonly shape: string;
    }
  /** Runs a prepared statement; `args` is its text after the name. */
  | {readonly type: 'execute'; readonly name: string; readonly args: string}
  /** Forgets a prepared statement. */
  | {readonly type: 'close'; readonly name: string}
  /** Not a statement that this protocol knows; `why` says what is wrong. */
  | {readonly type: 'invalid'; readonly why: string};

/** One request of a caller. */
export interface CallerRequest {
  /** The caller's name for this request, unique for each attempt. */
  readonly id: string;
  /** The statement as the caller wrote it; reaches the endpoint unchanged. */
  readonly text: string;
  readonly statement: Statement;
}

/** How a caller opens a session. */
export interface SessionStart {
  /** The database that the caller names. */
  readonly database: string;
  /** Who the caller says it is; for logs only. */
  readonly caller: string;
}
