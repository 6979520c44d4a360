/** One client's session on a stand-in database. */
import {COMMIT_POSITION_PARAMETER} from '@quetzalreel/endpoint';
import {type Position, formatPosition} from '@quetzalreel/position';
import {splitStatements} from '@quetzalreel/statement';
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  EMPTY_QUERY,
  type Frame,
  NO_DATA,
  PARSE_COMPLETE,
  SqlState,
  TransactionStatus,
  commandComplete,
  dataRow,
  errorResponse,
  parameterDescription,
  parameterStatus,
  readBind,
  readParse,
  readQuery,
  readTarget,
  readyForQuery,
  rowDescription,
} from '@quetzalreel/wire';
import {type Database, SqlError, waitPast} from './database.js';
import type {DatabaseFaults} from './faults.js';
import type {Change} from './log.js';
import type {Slots} from './slots.js';
import {type Command, readCommand} from './sql.js';

/** What a session needs from its server. */
export interface SessionContext {
  readonly db: Database;
  readonly faults: DatabaseFaults;
  readonly slots: Slots;
  /** Sends bytes to the client. */
  readonly send: (bytes: Buffer) => void;
  /** Starts streaming the log to a replica, in place of serving requests. */
  readonly replicate: (term: number, runs: string) => void;
  /** Closes the connection without a response. */
  readonly drop: () => void;
}

/** A protocol session. Its frames must be passed one at a time, in order. */
export interface Session {
  handle(frame: Frame): Promise<void>;
}

interface BoundStatement {
  readonly sql: string;
  readonly values: ReadonlyArray<string | null>;
}

/** Creates a session with no transaction and no prepared statements. */
export function session(context: SessionContext): Session {
  const {db, faults} = context;
  const prepared = new Map<string, string>();
  const portals = new Map<string, BoundStatement>();
  let status: TransactionStatus = TransactionStatus.Idle;
  let changes: Change[] = [];
  let isSkipping = false;
  let commitPosition: Position | undefined;

  function sendError(err: unknown): void {
    const code = err instanceof SqlError ? err.code : SqlState.SyntaxError;
    const message = (err as Error).message;
    context.send(errorResponse({severity: 'ERROR', code, message}));
    if (status === TransactionStatus.Open) status = TransactionStatus.Failed;
    else changes = [];
  }

  function commitChanges(): void {
    const pending = changes;
    changes = [];
    if (pending.length > 0) commitPosition = db.commit(pending);
  }

  function sendReady(): void {
    const position = commitPosition;
    commitPosition = undefined;
    if (position && faults.loseAnswers > 0) {
      faults.loseAnswers--;
      context.drop();
      return;
    }
    if (position) {
      const value = formatPosition(position);
      context.send(parameterStatus(COMMIT_POSITION_PARAMETER, value));
    }
    context.send(readyForQuery(status));
  }

  /** Commits a request's changes unless an explicit transaction is open. */
  function finishImplicit(): void {
    if (status !== TransactionStatus.Idle) return;
    commitChanges();
  }

  function runTransactionCommand(
    command: Extract<
      Command,
      {op: 'begin' | 'commit' | 'rollback' | 'set' | 'empty'}
    >,
  ): string {
    switch (command.op) {
      case 'begin':
        status = TransactionStatus.Open;
        return 'BEGIN';
      case 'commit': {
        const failed = status === TransactionStatus.Failed;
        status = TransactionStatus.Idle;
        if (failed) {
          changes = [];
          return 'ROLLBACK';
        }
        commitChanges();
        return 'COMMIT';
      }
      case 'rollback':
        status = TransactionStatus.Idle;
        changes = [];
        return 'ROLLBACK';
      default:
        return 'SET';
    }
  }

  function rowsOf(table: string, key: string | undefined): string[] {
    const rows = [...db.log.rows(table, key)];
    for (const change of changes) {
      if (change.table !== table) continue;
      if (key !== undefined && change.key !== key) continue;
      if (change.op === 'insert') rows.push(change.value);
      else if (change.op === 'delete') rows.length = 0;
      else rows.fill(change.value);
    }
    return rows;
  }

  async function callFunction(name: string, args: string[]): Promise<string> {
    const termAttempt = {term: Number(args[0]), holder: args[1] ?? ''};
    switch (name) {
      case 'quetzalreel_status':
        if (args.length === 3) {
          const awaited = {term: termAttempt.term, offset: Number(args[1])};
          await waitPast(db, awaited, Number(args[2]));
        }
        return JSON.stringify(db.status());
      case 'quetzalreel_fence':
        return JSON.stringify(db.fence(termAttempt));
      case 'quetzalreel_promote':
        return JSON.stringify(db.promote(termAttempt));
      case 'quetzalreel_follow':
        return JSON.stringify(
          db.follow(termAttempt, args[2]!, Number(args[3])),
        );
      default:
        throw new SqlError(SqlState.SyntaxError, `no function ${name}`);
    }
  }

  function write(change: Change): string {
    if (db.role !== 'primary' || db.status().promisedTerm > db.term) {
      throw new SqlError(SqlState.ReadOnly, 'this database is read-only');
    }
    const rows = rowsOf(change.table, change.key).length;
    changes.push(change);
    if (change.op === 'insert') return 'INSERT 0 1';
    return `${change.op.toUpperCase()} ${rows}`;
  }

  /** Runs one statement; `describe` adds a row description to the result. */
  async function run(bound: BoundStatement, describe: boolean): Promise<void> {
    const command = readCommand(bound.sql, bound.values);
    if (!command) {
      const text = bound.sql.slice(0, 80);
      throw new SqlError(
        SqlState.SyntaxError,
        `unsupported statement: ${text}`,
      );
    }
    if (
      status === TransactionStatus.Failed &&
      command.op !== 'commit' &&
      command.op !== 'rollback'
    ) {
      const message = 'the transaction has failed; end it first';
      throw new SqlError(SqlState.FailedTransaction, message);
    }
    const values = await execute(command);
    if (values === undefined) return;
    if (typeof values === 'string') {
      context.send(commandComplete(values));
      return;
    }
    if (describe) context.send(rowDescription(['value']));
    for (const value of values) context.send(dataRow([value]));
    context.send(commandComplete(`SELECT ${values.length}`));
  }

  /**
   * Executes a command. Returns the rows of a query, the tag of any other
   * command, or undefined for an empty statement.
   */
  async function execute(
    command: Command,
  ): Promise<string[] | string | undefined> {
    switch (command.op) {
      case 'empty':
        context.send(EMPTY_QUERY);
        return undefined;
      case 'insert':
      case 'update':
      case 'delete':
        return write(command.change);
      case 'select':
        return rowsOf(command.table, command.key);
      case 'keys':
        return [...db.log.keys(command.table)];
      case 'count':
        return [String(rowsOf(command.table, command.key).length)];
      case 'literal':
        return [command.value];
      case 'sleep':
        await delay(command.delayMs);
        return [''];
      case 'call':
        return [await callFunction(command.name, command.args)];
      default:
        return runTransactionCommand(command);
    }
  }

  async function runInSlot(
    sql: string,
    task: () => Promise<void>,
  ): Promise<void> {
    if (/quetzalreel_(status|fence|promote|follow)\s*\(/.test(sql))
      return task();
    const release = await context.slots.take();
    try {
      if (faults.serviceMs > 0) await delay(faults.serviceMs);
      await task();
    } finally {
      release();
    }
  }

  async function simpleQuery(sql: string): Promise<void> {
    const replication = /^SELECT quetzalreel_replicate\((\d+), '(.*)'\)$/.exec(
      sql,
    );
    if (replication) {
      context.replicate(Number(replication[1]), replication[2]!);
      return;
    }
    const statements = splitStatements(sql);
    await runInSlot(sql, async () => {
      try {
        if (statements.length === 0) context.send(EMPTY_QUERY);
        for (const part of statements) await run({sql: part, values: []}, true);
        finishImplicit();
      } catch (err) {
        sendError(err);
      }
    });
    sendReady();
  }

  async function extended(frame: Frame): Promise<void> {
    switch (frame.type) {
      case 'P': {
        const {name, sql} = readParse(frame);
        prepared.set(name, sql);
        context.send(PARSE_COMPLETE);
        return;
      }
      case 'B': {
        const {portal, statement, values} = readBind(frame);
        const sql = prepared.get(statement);
        if (sql === undefined) {
          throw new SqlError('26000', `no prepared statement ${statement}`);
        }
        portals.set(portal, {sql, values});
        context.send(BIND_COMPLETE);
        return;
      }
      case 'D':
        describe(readTarget(frame));
        return;
      case 'C':
        prepared.delete(readTarget(frame).name);
        context.send(CLOSE_COMPLETE);
        return;
      case 'E': {
        const name = frame.bytes.toString('utf8', 5, frame.bytes.indexOf(0, 5));
        const bound = portals.get(name);
        if (!bound) throw new SqlError('34000', `no portal ${name}`);
        await runInSlot(bound.sql, () => run(bound, false));
        return;
      }
      default:
        throw new SqlError(SqlState.NotSupported, `message ${frame.type}`);
    }
  }

  function describe(requested: {target: 'S' | 'P'; name: string}): void {
    const sql =
      requested.target === 'S'
        ? prepared.get(requested.name)
        : portals.get(requested.name)?.sql;
    if (sql === undefined)
      throw new SqlError('26000', `no statement or portal ${requested.name}`);
    if (requested.target === 'S') {
      const count = new Set(sql.match(/\$\d+/g) ?? []).size;
      context.send(parameterDescription(count));
    }
    const rows = /^\s*(\/\*[^]*?\*\/\s*)*SELECT/i.test(sql);
    context.send(rows ? rowDescription(['value']) : NO_DATA);
  }

  return {
    async handle(frame) {
      if (frame.type === 'X') {
        context.drop();
      } else if (frame.type === 'Q') {
        await simpleQuery(readQuery(frame));
      } else if (frame.type === 'S') {
        if (!isSkipping) {
          try {
            finishImplicit();
          } catch (err) {
            sendError(err);
          }
        }
        isSkipping = false;
        sendReady();
      } else if (frame.type !== 'H' && !isSkipping) {
        try {
          await extended(frame);
        } catch (err) {
          isSkipping = true;
          sendError(err);
        }
      }
    },
  };
}

function delay(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
