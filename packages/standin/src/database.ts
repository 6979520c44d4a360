/** The state of a stand-in database: its role, its promises and its log. */
import type {Attempt, EndpointStatus, Role} from '@quetzalreel/endpoint';
import {type Position, comparePositions} from '@quetzalreel/position';
import {SqlState} from '@quetzalreel/wire';
import {
  type Change,
  type LogRecord,
  type ReplicatedLog,
  isUniqueTable,
  replicatedLog,
  sharedLength,
  type TermRun,
} from './log.js';

/** A statement failed, with the SQLSTATE that says how. */
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
  /** Commits changes as primary; throws SqlError when it may not. */
  commit(changes: readonly Change[]): Position;
  /** Whether it may still send its log to replicas of `term`. */
  serves(term: number): boolean;
  /** Drops what the primary does not have. Returns the records kept. */
  align(term: number, upstreamRuns: readonly TermRun[]): number;
  /** Takes a record from the primary of `term`; false when it is refused. */
  receive(term: number, record: LogRecord): boolean;
  /** Notes that the primary was heard. */
  heard(): void;
  /** Notes that a connection to the primary was refused. */
  refused(): void;
  /** Calls `listener` after each change of the log or the role. */
  onChange(listener: () => void): () => void;
}

/** How a stand-in database starts. */
export interface DatabaseOptions {
  readonly name: string;
  /** Primary of term 1, or a replica that follows one. */
  readonly upstream: Upstream | undefined;
  readonly now: () => number;
}

/** A database with an empty log, in term 1. */
export function database(options: DatabaseOptions): Database {
  const log = replicatedLog();
  const listeners = new Set<() => void>();
  let upstream = options.upstream;
  let role: Role = upstream ? 'replica' : 'primary';
  let term = 1;
  let promised: Attempt = {term: 1, holder: ''};
  let heardAt = options.now();
  let refusedByUpstream = false;
  if (role === 'primary') log.append({term, changes: []});

  const changed = () => {
    for (const listener of [...listeners]) listener();
  };
  const status = (): EndpointStatus => ({
    role,
    term,
    promisedTerm: promised.term,
    promisedTo: promised.holder,
    last: log.last,
    upstreamSilenceMs:
      role === 'primary' ? null : Math.round(options.now() - heardAt),
    upstreamRefused: role === 'replica' && refusedByUpstream,
  });
  const fenced = () =>
    new SqlError(
      SqlState.Fenced,
      `term ${promised.term} is promised to ${promised.holder || 'its primary'}`,
    );
  const holds = (attempt: Attempt) =>
    promised.term === attempt.term && promised.holder === attempt.holder;
  const follows = (asked: number, host: string, port: number) =>
    upstream?.term === asked &&
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
      if (attempt.term < promised.term) throw fenced();
      if (attempt.term === promised.term && !holds(attempt)) throw fenced();
      promised = attempt;
      changed();
      return status();
    },
    promote(attempt) {
      if (!holds(attempt)) throw fenced();
      if (role === 'primary' && term === attempt.term) return status();
      role = 'primary';
      term = attempt.term;
      upstream = undefined;
      log.append({term, changes: []});
      changed();
      return status();
    },
    follow(attempt, host, port) {
      if (attempt.term < promised.term) throw fenced();
      if (attempt.term === promised.term && !holds(attempt)) throw fenced();
      if (role === 'replica' && follows(attempt.term, host, port)) {
        return status();
      }
      promised = attempt;
      role = 'replica';
      term = attempt.term;
      upstream = {term, host, port};
      heardAt = options.now();
      refusedByUpstream = false;
      changed();
      return status();
    },
    commit(changes) {
      if (role !== 'primary' || promised.term > term) {
        throw new SqlError(SqlState.ReadOnly, 'this database is read-only');
      }
      checkUnique(log, changes);
      log.append({term, changes});
      changed();
      return log.last;
    },
    serves: asked => role === 'primary' && term === asked,
    align(asked, upstreamRuns) {
      if (asked !== term || promised.term > asked) return -1;
      const shared = sharedLength(log.runs(), upstreamRuns);
      if (shared < log.length) log.truncate(shared);
      changed();
      return shared;
    },
    receive(asked, record) {
      if (role !== 'replica' || asked !== term || promised.term > asked) {
        return false;
      }
      log.append(record);
      changed();
      return true;
    },
    heard() {
      heardAt = options.now();
      refusedByUpstream = false;
    },
    refused() {
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
    if (op !== 'insert' || !isUniqueTable(table)) continue;
    if (log.rows(table, key).length > 0) {
      throw new SqlError(SqlState.UniqueViolation, `${table} has key ${key}`);
    }
  }
}

/** Resolves when the log is past `position`, or after `waitMs`. */
export function waitPast(
  db: Database,
  position: Position,
  waitMs: number,
): Promise<void> {
  if (comparePositions(db.log.last, position) > 0) return Promise.resolve();
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      stop();
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    const stop = db.onChange(() => {
      if (comparePositions(db.log.last, position) > 0) done();
    });
  });
}
