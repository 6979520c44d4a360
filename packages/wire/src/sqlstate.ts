/** The codes that callers can act on, as SQLSTATE values. */

/**
 * Codes of answers. Class QR is this project's own; the rest are
 * PostgreSQL's.
 */
export const SqlState = {
  /** The request did not run; sending it again is safe. */
  NotRun: 'QR001',
  /** The request was sent and its outcome is unknown. Never said of a read. */
  OutcomeUnknown: 'QR002',
  /** A session token is forged, or ahead of what the group holds. */
  BadToken: 'QR003',
  /** The statement can't be routed: no group, or an unknown kind. */
  NotRoutable: 'QR004',
  /** An endpoint refused a control call because it promised a higher term. */
  Fenced: 'QR010',
  /** The server is stopping. */
  AdminShutdown: '57P01',
  /** The database is read-only, so the statement did not run. */
  ReadOnly: '25006',
  /** No connection is left. */
  TooManyConnections: '53300',
  /** The feature is not offered. */
  NotSupported: '0A000',
  /** The message can't be understood. */
  ProtocolViolation: '08P01',
  /** The transaction was ended. */
  TransactionRollback: '40000',
  /** An idle transaction was ended. */
  IdleTransaction: '25P03',
  /** A transaction that failed accepts only its end. */
  FailedTransaction: '25P02',
  /** Login refused. */
  InvalidPassword: '28P01',
  /** A setting has an impossible value. */
  InvalidParameter: '22023',
  /** Syntax error. */
  SyntaxError: '42601',
  /** A unique key exists already. */
  UniqueViolation: '23505',
} as const;

/** One of the codes of `SqlState`. */
export type SqlState = (typeof SqlState)[keyof typeof SqlState];
