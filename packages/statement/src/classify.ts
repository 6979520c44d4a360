/**
 * Classifies SQL statements by their text. A statement that is not certain to
 * be a read counts as a write.
 */
import {readTags} from './comment.js';
import {isPure, isStateful, isWriting} from './functions.js';
import {
  type ScannedStatement,
  type Token,
  TokenType,
  scan,
} from './tokenizer.js';

/** Class of a statement; it decides how the statement is routed. */
export const StatementClass = {
  /** May run on a replica. */
  Read: 'read',
  /** Runs on the primary. */
  Write: 'write',
  /** Opens a transaction. */
  Begin: 'begin',
  /** Commits a transaction. */
  Commit: 'commit',
  /** Rolls a transaction back. */
  Rollback: 'rollback',
  /** Reads or changes a setting of the proxy; sent to no endpoint. */
  Session: 'session',
  /** Changes a setting of the database session. */
  Setting: 'setting',
  /** Not supported by the proxy, such as COPY and LISTEN. */
  Unsupported: 'unsupported',
} as const;

/** One of the values of `StatementClass`. */
export type StatementClass =
  (typeof StatementClass)[keyof typeof StatementClass];

/** A command that shows, sets or resets a session setting of the proxy. */
export interface SessionCommand {
  readonly verb: 'set' | 'show' | 'reset';
  /** Name of the setting without its prefix `quetzalreel.`, in lower case. */
  readonly name: string;
  /** New value, for `set`. */
  readonly value?: string;
}

/** Result of classifying a statement by its text. */
export interface Statement {
  readonly class: StatementClass;
  /** Request kind from the statement's comment. */
  readonly kind?: string | undefined;
  /** Request key from the statement's comment. */
  readonly key?: string | undefined;
  /** Shard name from the statement's comment. */
  readonly shard?: string | undefined;
  /** First keyword, for logs; never contains data of the statement. */
  readonly verb: string;
  /**
   * For a read, whether it calls a function that is not known to be read-only;
   * true for most other classes.
   */
  readonly mayWrite: boolean;
  /**
   * Whether it leaves state in the database session, such as a setting, a
   * temporary table or a lock, so the connection must be reset before reuse.
   */
  readonly leavesState: boolean;
  /** The parsed command, for the class `session`. */
  readonly command?: SessionCommand | undefined;
}

interface Classification {
  readonly class: StatementClass;
  readonly mayWrite: boolean;
  readonly leavesState: boolean;
  readonly command?: SessionCommand;
}

const CLASS_OF_VERB: ReadonlyMap<string, StatementClass> = new Map([
  ['SELECT', StatementClass.Read],
  ['VALUES', StatementClass.Read],
  ['TABLE', StatementClass.Read],
  ['WITH', StatementClass.Read],
  ['EXPLAIN', StatementClass.Read],
  ['SHOW', StatementClass.Read],
  ['BEGIN', StatementClass.Begin],
  ['START', StatementClass.Begin],
  ['COMMIT', StatementClass.Commit],
  ['END', StatementClass.Commit],
  ['ROLLBACK', StatementClass.Rollback],
  ['ABORT', StatementClass.Rollback],
  ['SET', StatementClass.Setting],
  ['RESET', StatementClass.Setting],
  ['DISCARD', StatementClass.Setting],
  ['COPY', StatementClass.Unsupported],
  ['LISTEN', StatementClass.Unsupported],
  ['UNLISTEN', StatementClass.Unsupported],
  ['PREPARE', StatementClass.Unsupported],
  ['EXECUTE', StatementClass.Unsupported],
  ['DEALLOCATE', StatementClass.Unsupported],
  ['DECLARE', StatementClass.Unsupported],
]);

/** Keywords whose presence makes a statement with a reading verb a write. */
const WRITING_WORDS: ReadonlySet<string> = new Set([
  'INSERT',
  'UPDATE',
  'DELETE',
  'MERGE',
  'INTO',
  'CREATE',
  'EXECUTE',
  'REFRESH',
  'DECLARE',
]);

/** Words that follow FOR in a row-locking clause. */
const LOCK_STRENGTHS: ReadonlySet<string> = new Set([
  'UPDATE',
  'NO',
  'SHARE',
  'KEY',
]);

const PROXY_SETTING_PREFIX = 'QUETZALREEL';
/** Words after SET that limit the setting to the transaction. */
const TRANSACTION_SCOPES: ReadonlySet<string> = new Set([
  'LOCAL',
  'TRANSACTION',
]);

const EMPTY_STATEMENT: Classification = {
  class: StatementClass.Read,
  mayWrite: false,
  leavesState: false,
};

/**
 * Classifies the SQL of one message. Several statements in one message get one
 * combined class.
 */
export function classify(sql: string): Statement {
  const {statements, comments, isUnambiguous} = scan(sql);
  let combined = statements[0]
    ? classifyStatement(statements[0])
    : EMPTY_STATEMENT;
  for (let i = 1; i < statements.length; i++) {
    combined = combine(combined, classifyStatement(statements[i]!));
  }
  if (!isUnambiguous) combined = classifyAmbiguous(combined);
  const verb = statements[0] ? verbOf(statements[0].tokens) : '';
  // Lists the fields because this runs for every statement and a spread is slow.
  const {mayWrite, leavesState, command} = combined;
  const {kind, key, shard} = readTags(comments);
  return {
    class: combined.class,
    verb,
    mayWrite,
    leavesState,
    kind,
    key,
    shard,
    command,
  };
}

/** Splits SQL into its statements at semicolons; drops empty statements. */
export function splitStatements(sql: string): string[] {
  return scan(sql).statements.map(statement => statement.sql);
}

/**
 * Class of SQL whose token boundaries may differ on the server. It may contain
 * a hidden write, so it never counts as a read.
 */
function classifyAmbiguous(statement: Classification): Classification {
  const keepsClass =
    statement.class === StatementClass.Unsupported ||
    statement.class === StatementClass.Commit;
  const ambiguousClass = keepsClass ? statement.class : StatementClass.Write;
  return {class: ambiguousClass, mayWrite: true, leavesState: true};
}

function verbOf(tokens: readonly Token[]): string {
  for (const {type, text} of tokens) {
    if (type === TokenType.Symbol && text === '(') continue;
    return type === TokenType.Word ? text : '';
  }
  return '';
}

function classifyStatement({tokens}: ScannedStatement): Classification {
  const command = sessionCommand(tokens);
  if (command)
    return {...EMPTY_STATEMENT, class: StatementClass.Session, command};
  const verb = verbOf(tokens);
  const verbClass = CLASS_OF_VERB.get(verb) ?? StatementClass.Write;
  if (verbClass === StatementClass.Read) return classifyReadVerb(tokens);
  if (verbClass === StatementClass.Rollback && hasWord(tokens, 'TO')) {
    return {...EMPTY_STATEMENT, class: StatementClass.Write};
  }
  if (
    verbClass === StatementClass.Commit ||
    verbClass === StatementClass.Rollback
  ) {
    // COMMIT PREPARED and ROLLBACK PREPARED, the second phase of a two-phase
    // commit, may end a transaction that another session prepared.
    if (hasWord(tokens, 'PREPARED')) {
      return {...EMPTY_STATEMENT, class: StatementClass.Unsupported};
    }
  }
  const leavesState =
    verbClass === StatementClass.Setting
      ? !TRANSACTION_SCOPES.has(tokens[1]?.text ?? '')
      : verbClass === StatementClass.Write && changesSession(tokens);
  return {class: verbClass, mayWrite: true, leavesState};
}

function hasWord(tokens: readonly Token[], word: string): boolean {
  return tokens.some(
    token => token.type === TokenType.Word && token.text === word,
  );
}

/**
 * Whether a statement may leave state in the session after its transaction:
 * temporary objects, settings or session locks. DO and LOAD may leave any.
 */
function changesSession(tokens: readonly Token[]): boolean {
  for (let i = 0; i < tokens.length; i++) {
    const {type, text} = tokens[i]!;
    const isName = type === TokenType.Word || type === TokenType.Quoted;
    if (isName && isStateful(text.toUpperCase())) return true;
    if (type !== TokenType.Word) continue;
    if (text === 'TEMP' || text === 'TEMPORARY') return true;
    if (text === 'DO' || text === 'LOAD') return true;
  }
  return false;
}

/** Classifies a statement whose verb reads; its clauses may still write. */
function classifyReadVerb(tokens: readonly Token[]): Classification {
  let mayWrite = false;
  for (let i = 0; i < tokens.length; i++) {
    const {type, text} = tokens[i]!;
    const next = tokens[i + 1];
    if (type === TokenType.Word) {
      const locksRows = text === 'FOR' && next && LOCK_STRENGTHS.has(next.text);
      if (locksRows || WRITING_WORDS.has(text)) return classifyWrite(tokens);
    }
    const isCall =
      next?.text === '(' &&
      next.type === TokenType.Symbol &&
      (type === TokenType.Word || type === TokenType.Quoted);
    if (!isCall) continue;
    if (isWriting(text.toUpperCase())) return classifyWrite(tokens);
    if (type === TokenType.Quoted || !isKnownPure(tokens, i)) mayWrite = true;
  }
  return {class: StatementClass.Read, mayWrite, leavesState: false};
}

function isKnownPure(tokens: readonly Token[], at: number): boolean {
  if (!isPure(tokens[at]!.text)) return false;
  const isQualified = tokens[at - 1]?.text === '.';
  return !isQualified || tokens[at - 2]?.text === 'PG_CATALOG';
}

function classifyWrite(tokens: readonly Token[]): Classification {
  const leavesState = changesSession(tokens);
  return {class: StatementClass.Write, mayWrite: true, leavesState};
}

/** Parses SET, SHOW or RESET of a setting of the proxy. */
function sessionCommand(tokens: readonly Token[]): SessionCommand | undefined {
  const verb = tokens[0]!.text;
  if (verb !== 'SET' && verb !== 'SHOW' && verb !== 'RESET') return undefined;
  const hasScope = tokens[1]?.text === 'SESSION' || tokens[1]?.text === 'LOCAL';
  const at = verb === 'SET' && hasScope ? 2 : 1;
  if (
    tokens[at]?.text !== PROXY_SETTING_PREFIX ||
    tokens[at + 1]?.text !== '.'
  ) {
    return undefined;
  }
  const name = (tokens[at + 2]?.text ?? '').toLowerCase();
  if (verb !== 'SET') {
    return {verb: verb === 'SHOW' ? 'show' : 'reset', name};
  }
  const value = tokens[at + 4];
  if (!value || value.text === 'DEFAULT') return {verb: 'reset', name};
  const isWord = value.type === TokenType.Word;
  const text = isWord ? value.text.toLowerCase() : value.text;
  return {verb: 'set', name, value: text};
}

/**
 * Combines the classes of two statements of one message. The result has the
 * stricter requirements of both.
 */
function combine(a: Classification, b: Classification): Classification {
  return {
    class: combineClasses(a.class, b.class),
    mayWrite: a.mayWrite || b.mayWrite,
    leavesState: a.leavesState || b.leavesState,
  };
}

function combineClasses(a: StatementClass, b: StatementClass): StatementClass {
  const has = (wanted: StatementClass) => a === wanted || b === wanted;
  if (has(StatementClass.Unsupported)) return StatementClass.Unsupported;
  if (has(StatementClass.Session)) return StatementClass.Unsupported;
  if (has(StatementClass.Commit)) return StatementClass.Commit;
  if (a === StatementClass.Begin) return StatementClass.Begin;
  if (has(StatementClass.Setting)) return StatementClass.Setting;
  return a === b ? a : StatementClass.Write;
}
