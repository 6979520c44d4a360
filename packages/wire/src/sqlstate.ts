/** SQLSTATE codes that the proxy sends or evaluates. */

/**
 * SQLSTATE codes of error responses. Class QR is specific to this project; the
 * other codes are PostgreSQL's.
 */
export const SqlState = {
  /** The request was not executed; it is safe to retry. */
  NotRun: 'QR001',
  /** The request was sent and its outcome is unknown. Never used for a read. */
  OutcomeUnknown: 'QR002',
  /** The session token is invalid, or its position is ahead of the group's data. */
  BadToken: 'QR003',
  /** The statement can't be routed: no group, or an unknown kind. */
  NotRoutable: 'QR004',
  /** An endpoint rejected a control call because it has promised a higher term. */
  Fenced: 'QR010',
  /** The server is shutting down. */
  AdminShutdown: '57P01',
  /** The database is read-only, so the statement was not executed. */
  ReadOnly: '25006',
  /** The server accepts no more connections. */
  TooManyConnections: '53300',
  /** The feature is not supported. */
  NotSupported: '0A000',
  /** The message violates the protocol. */
  ProtocolViolation: '08P01',
  /** The transaction was rolled back. */
  TransactionRollback: '40000',
  /** The transaction was ended because its session was idle for too long. */
  IdleTransaction: '25P03',
  /** The transaction has failed; only statements that end it are accepted. */
  FailedTransaction: '25P02',
  /** The password or the user name is wrong. */
  InvalidPassword: '28P01',
  /** The value of a setting is invalid. */
  InvalidParameter: '22023',
  /** Syntax error. */
  SyntaxError: '42601',
  /** A unique key already exists. */
  UniqueViolation: '23505',
} as const;

/** One of the codes of `SqlState`. */
export type SqlState = (typeof SqlState)[keyof typeof SqlState];
