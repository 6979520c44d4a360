/**
 * Caller requests, decoded once by the protocol in use. Sessions, transactions,
 * routing and retries work on these values and never on the bytes of one
 * protocol.
 */

/** Whether a prepared statement reads or writes. */
export const Access = {
  Read: 'read',
  Write: 'write',
} as const;

/** One of the values of `Access`. */
export type Access = (typeof Access)[keyof typeof Access];

/** The parsed statement of a request. */
export type Statement =
  | {readonly type: 'begin'; readonly readOnly: boolean}
  | {readonly type: 'commit'}
  | {readonly type: 'rollback'}
  | {readonly type: 'read'}
  | {readonly type: 'write'}
  /** Sets a session variable. */
  | {readonly type: 'set'; readonly name: string; readonly value: string}
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      /** The statement to prepare, in the syntax of the protocol. */
      readonly shape: string;
    }
  /** Runs a prepared statement; `args` is the text after its name. */
  | {readonly type: 'execute'; readonly name: string; readonly args: string}
  /** Closes a prepared statement. */
  | {readonly type: 'close'; readonly name: string}
  /** Not a valid statement of this protocol; `why` is the reason. */
  | {readonly type: 'invalid'; readonly why: string};

/** One request of a caller. */
export interface CallerRequest {
  /** Request id chosen by the caller, unique for each attempt. */
  readonly id: string;
  /** The caller's statement, forwarded to the endpoint unchanged. */
  readonly text: string;
  readonly statement: Statement;
}

/** The parameters with which a caller opens a session. */
export interface SessionStart {
  /** The database that the caller requests. */
  readonly database: string;
  /**
   * Digest of the key that the caller sent, '' without one. The key itself stays
   * in the protocol's package, so that it can't reach a log or an endpoint.
   */
  readonly keyDigest: string;
}
