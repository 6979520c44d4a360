/**
 * Tells from a statement's text what it asks for. What can't be told apart
 * safely counts as a write.
 */
import {readTags} from './comment.js';
import {isPure, isStateful, isWriting} from './functions.js';
import {
  type ScannedStatement,
  type Token,
  TokenType,
  scan,
} from './tokenizer.js';

/** What a statement asks of the group. */
export const StatementClass = {
  /** May run on a replica. */
  Read: 'read',
  /** Runs on the primary. */
  Write: 'write',
  /** Opens a transaction. */
  Begin: 'begin',
  /** Ends a transaction and keeps its work. */
  Commit: 'commit',
  /** Ends a transaction and drops its work. */
  Rollback: 'rollback',
  /** Concerns the proxy's own session, and reaches no endpoint. */
  Session: 'session',
  /** Changes a setting of the endpoint's session. */
  Setting: 'setting',
  /** Not offered: COPY, LISTEN and the like. */
  Unsupported: 'unsupported',
} as const;

/** One of the values of `StatementClass`. */
export type StatementClass =
  (typeof StatementClass)[keyof typeof StatementClass];

/** A setting of the proxy's own session that is asked for or changed. */
export interface SessionCommand {
  readonly verb: 'set' | 'show' | 'reset';
  /** Name after `quetzalreel.`, in lower case. */
  readonly name: string;
  /** New value of `set`. */
  readonly value?: string;
}

/** What is known of a statement from its text. */
export interface Statement {
  readonly class: StatementClass;
  /** Kind named in the comment. */
  readonly kind?: string | undefined;
  /** Request key named in the comment. */
  readonly key?: string | undefined;
  /** Shard named in the comment. */
  readonly shard?: string | undefined;
  /** The first word, for logs: never a value. */
  readonly verb: string;
  /** A read that calls functions which may write, for all that is known. */
  readonly mayWrite: boolean;
  /** Leaves something behind in the endpoint's session. */
  readonly leavesState: boolean;
  /** The command, in the class `session`. */
  readonly command?: SessionCommand | undefined;
}

interface Part {
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

/** Words that a statement which only reads does not have. */
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

const LOCK_STRENGTHS: ReadonlySet<string> = new Set([
  'UPDATE',
  'NO',
  'SHARE',
  'KEY',
]);

const SESSION_PREFIX = 'QUETZALREEL';
const COMMIT_FIELD_WORDS: ReadonlySet<string> = new Set([
  'LOCAL',
  'TRANSACTION',
]);

const EMPTY: Part = {
  class: StatementClass.Read,
  mayWrite: false,
  leavesState: false,
};

/** Classifies the text of one message, which may hold several statements. */
export function classify(sql: string): Statement {
  const {statements, comments, certain} = scan(sql);
  let whole = statements[0] ? partOf(statements[0]) : EMPTY;
  for (let i = 1; i < statements.length; i++) {
    whole = join(whole, partOf(statements[i]!));
  }
  if (!certain) whole = uncertain(whole);
  const verb = statements[0] ? verbOf(statements[0].tokens) : '';
  // Spelt out because this runs for each statement, and a spread is slow.
  const {mayWrite, leavesState, command} = whole;
  const {kind, key, shard} = readTags(comments);
  return {
    class: whole.class,
    verb,
    mayWrite,
    leavesState,
    kind,
    key,
    shard,
    command,
  };
}

/** Splits at the semicolons between statements, and drops empty parts. */
export function splitStatements(sql: string): string[] {
  return scan(sql).statements.map(statement => statement.sql);
}

/** A text that may be split in another way may do anything but be a read. */
function uncertain(part: Part): Part {
  const isSafe =
    part.class === StatementClass.Unsupported ||
    part.class === StatementClass.Commit;
  const result = isSafe ? part.class : StatementClass.Write;
  return {class: result, mayWrite: true, leavesState: true};
}

function verbOf(tokens: readonly Token[]): string {
  for (const {type, text} of tokens) {
    if (type === TokenType.Symbol && text === '(') continue;
    return type === TokenType.Word ? text : '';
  }
  return '';
}

function partOf({tokens}: ScannedStatement): Part {
  const command = sessionCommand(tokens);
  if (command) return {...EMPTY, class: StatementClass.Session, command};
  const verb = verbOf(tokens);
  const known = CLASS_OF_VERB.get(verb) ?? StatementClass.Write;
  if (known === StatementClass.Read) return readPart(tokens);
  if (known === StatementClass.Rollback && hasWord(tokens, 'TO')) {
    return {...EMPTY, class: StatementClass.Write};
  }
  if (known === StatementClass.Commit || known === StatementClass.Rollback) {
    // The second half of a transaction that was prepared elsewhere.
    if (hasWord(tokens, 'PREPARED')) {
      return {...EMPTY, class: StatementClass.Unsupported};
    }
  }
  const leavesState =
    known === StatementClass.Setting
      ? !COMMIT_FIELD_WORDS.has(tokens[1]?.text ?? '')
      : known === StatementClass.Write && leavesSomething(tokens);
  return {class: known, mayWrite: true, leavesState};
}

function hasWord(tokens: readonly Token[], word: string): boolean {
  return tokens.some(
    token => token.type === TokenType.Word && token.text === word,
  );
}

/** Temporary objects, settings and locks outlive their transaction. */
function leavesSomething(tokens: readonly Token[]): boolean {
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

/** A statement whose verb reads: it may write in spite of that. */
function readPart(tokens: readonly Token[]): Part {
  let mayWrite = false;
  for (let i = 0; i < tokens.length; i++) {
    const {type, text} = tokens[i]!;
    const next = tokens[i + 1];
    if (type === TokenType.Word) {
      const locks = text === 'FOR' && next && LOCK_STRENGTHS.has(next.text);
      if (locks || WRITING_WORDS.has(text)) return writePart(tokens);
    }
    const calls =
      next?.text === '(' &&
      next.type === TokenType.Symbol &&
      (type === TokenType.Word || type === TokenType.Quoted);
    if (!calls) continue;
    if (isWriting(text.toUpperCase())) return writePart(tokens);
    if (type === TokenType.Quoted || !isKnownPure(tokens, i)) mayWrite = true;
  }
  return {class: StatementClass.Read, mayWrite, leavesState: false};
}

function isKnownPure(tokens: readonly Token[], at: number): boolean {
  if (!isPure(tokens[at]!.text)) return false;
  const isQualified = tokens[at - 1]?.text === '.';
  return !isQualified || tokens[at - 2]?.text === 'PG_CATALOG';
}

function writePart(tokens: readonly Token[]): Part {
  const leavesState = leavesSomething(tokens);
  return {class: StatementClass.Write, mayWrite: true, leavesState};
}

/** SET, SHOW or RESET of a setting of the proxy's own. */
function sessionCommand(tokens: readonly Token[]): SessionCommand | undefined {
  const verb = tokens[0]!.text;
  if (verb !== 'SET' && verb !== 'SHOW' && verb !== 'RESET') return undefined;
  const scoped = tokens[1]?.text === 'SESSION' || tokens[1]?.text === 'LOCAL';
  const at = verb === 'SET' && scoped ? 2 : 1;
  if (tokens[at]?.text !== SESSION_PREFIX || tokens[at + 1]?.text !== '.') {
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

/** Several statements in one message: the strictest need decides. */
function join(a: Part, b: Part): Part {
  return {
    class: joinClass(a.class, b.class),
    mayWrite: a.mayWrite || b.mayWrite,
    leavesState: a.leavesState || b.leavesState,
  };
}

function joinClass(a: StatementClass, b: StatementClass): StatementClass {
  const has = (wanted: StatementClass) => a === wanted || b === wanted;
  if (has(StatementClass.Unsupported)) return StatementClass.Unsupported;
  if (has(StatementClass.Session)) return StatementClass.Unsupported;
  if (has(StatementClass.Commit)) return StatementClass.Commit;
  if (a === StatementClass.Begin) return StatementClass.Begin;
  if (has(StatementClass.Setting)) return StatementClass.Setting;
  return a === b ? a : StatementClass.Write;
}
