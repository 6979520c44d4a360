/** State of a stand-in database: its role, the promised term and its log. */
import type {Attempt, EndpointStatus, Role} from '@quetzalreel/endpoint';
import {type Position, comparePositions} from '@quetzalreel/position';
import {SqlState} from '@quetzalreel/wire';
import {
  type Change,
  type LogRecord,
  type ReplicatedLog,
  hasUniqueKeys,
  replicatedLog,
  sharedLength,
  type TermRun,
} from './log.js';

/** Error of a statement, with its SQLSTATE code. */
export class SqlError extends Error {
  constructor(
    readonly code: string,
    message: string,
  ) {
    super(message);
  }
}

/** Address of the primary that a replica follows. */
export interface Upstream {
  readonly term: number;
  readonly host: string;
  readonly port: number;
}

/** A stand-in database. Times are in milliseconds. */
export interface Database {
  readonly log: ReplicatedLog;
  readonly role: Role;
  readonly term: number;
  readonly upstream: Upstream | undefined;
  status(): EndpointStatus;
  fence(attempt: Attempt): EndpointStatus;
  promote(attempt: Attempt): EndpointStatus;
  follow(attempt: Attempt, host: string, port: number): EndpointStatus;
  /**
   * Commits changes as primary. Throws SqlError if the database is a replica
   * or fenced by a later term, or if a unique key is violated.
   */
  commit(changes: readonly Change[]): Position;
  /** Whether this is the primary of `term`, whose log replicas may read. */
  isPrimaryOf(term: number): boolean;
  /**
   * Truncates the log to the prefix shared with the primary of `term`.
   * Returns its length, or -1 if the database doesn't follow that term.
   */
  truncateToSharedPrefix(
    term: number,
    upstreamRuns: readonly TermRun[],
  ): number;
  /**
   * Appends a record from the primary of `term`; false if the database
   * doesn't follow that term.
   */
  receive(term: number, record: LogRecord): boolean;
  /** Records that a message from the primary arrived. */
  markUpstreamAlive(): void;
  /** Records that a connection to the primary was refused. */
  markUpstreamRefused(): void;
  /**
   * Calls `listener` after each change of the log, the role or the promised
   * term. Returns a function that removes the listener.
   */
  onChange(listener: () => void): () => void;
}

/** Settings of a stand-in database. */
export interface DatabaseOptions {
  readonly name: string;
  /** Primary that a replica follows; undefined for the primary of term 1. */
  readonly upstream: Upstream | undefined;
  readonly now: () => number;
}

/**
 * Creates a database in term 1. A replica's log is empty; a primary's holds the
 * record that starts the term.
 */
export function database(options: DatabaseOptions): Database {
  const log = replicatedLog();
  const listeners = new Set<() => void>();
  let upstream = options.upstream;
  let role: Role = upstream ? 'replica' : 'primary';
  let term = 1;
  let promised: Attempt = {term: 1, holder: ''};
  let upstreamSeenAt = options.now();
  let refusedByUpstream = false;
  if (role === 'primary') log.append({term, changes: []});

  const notifyListeners = () => {
    for (const listener of [...listeners]) listener();
  };
  const status = (): EndpointStatus => ({
    role,
    term,
    promisedTerm: promised.term,
    promisedTo: promised.holder,
    last: log.last,
    upstreamSilenceMs:
      role === 'primary' ? null : Math.round(options.now() - upstreamSeenAt),
    upstreamRefused: role === 'replica' && refusedByUpstream,
  });
  const fencedError = () =>
    new SqlError(
      SqlState.Fenced,
      `term ${promised.term} is promised to ${promised.holder || 'its primary'}`,
    );
  const isPromisedTo = (attempt: Attempt) =>
    promised.term === attempt.term && promised.holder === attempt.holder;
  const isFollowing = (requestedTerm: number, host: string, port: number) =>
    upstream?.term === requestedTerm &&
    upstream.host === host &&
    upstream.port === port;

  return {
    log,
    get role() {
      return role;
    },
    get term() {
      return term;
    },
    get upstream() {
      return upstream;
    },
    status,
    fence(attempt) {
      if (attempt.term < promised.term) throw fencedError();
      if (attempt.term === promised.term && !isPromisedTo(attempt))
        throw fencedError();
      promised = attempt;
      notifyListeners();
      return status();
    },
    promote(attempt) {
      if (!isPromisedTo(attempt)) throw fencedError();
      if (role === 'primary' && term === attempt.term) return status();
      role = 'primary';
      term = attempt.term;
      upstream = undefined;
      log.append({term, changes: []});
      notifyListeners();
      return status();
    },
    follow(attempt, host, port) {
      if (attempt.term < promised.term) throw fencedError();
      if (attempt.term === promised.term && !isPromisedTo(attempt))
        throw fencedError();
      if (role === 'replica' && isFollowing(attempt.term, host, port)) {
        return status();
      }
      promised = attempt;
      role = 'replica';
      term = attempt.term;
      upstream = {term, host, port};
      upstreamSeenAt = options.now();
      refusedByUpstream = false;
      notifyListeners();
      return status();
    },
    commit(changes) {
      if (role !== 'primary' || promised.term > term) {
        throw new SqlError(SqlState.ReadOnly, 'this database is read-only');
      }
      checkUnique(log, changes);
      log.append({term, changes});
      notifyListeners();
      return log.last;
    },
    isPrimaryOf: requestedTerm => role === 'primary' && term === requestedTerm,
    truncateToSharedPrefix(requestedTerm, upstreamRuns) {
      if (requestedTerm !== term || promised.term > requestedTerm) return -1;
      const shared = sharedLength(log.runs(), upstreamRuns);
      if (shared < log.length) log.truncate(shared);
      notifyListeners();
      return shared;
    },
    receive(requestedTerm, record) {
      if (
        role !== 'replica' ||
        requestedTerm !== term ||
        promised.term > requestedTerm
      ) {
        return false;
      }
      log.append(record);
      notifyListeners();
      return true;
    },
    markUpstreamAlive() {
      upstreamSeenAt = options.now();
      refusedByUpstream = false;
    },
    markUpstreamRefused() {
      refusedByUpstream = true;
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

function checkUnique(log: ReplicatedLog, changes: readonly Change[]): void {
  for (const {op, table, key} of changes) {
    if (op !== 'insert' || !hasUniqueKeys(table)) continue;
    if (log.rows(table, key).length > 0) {
      throw new SqlError(SqlState.UniqueViolation, `${table} has key ${key}`);
    }
  }
}

/** Resolves when the log is past `position`, or after `timeoutMs`. */
export function waitPast(
  db: Database,
  position: Position,
  timeoutMs: number,
): Promise<void> {
  if (comparePositions(db.log.last, position) > 0) return Promise.resolve();
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      stop();
      resolve();
    };
    const timer = setTimeout(done, timeoutMs);
    const stop = db.onChange(() => {
      if (comparePositions(db.log.last, position) > 0) done();
    });
  });
}
