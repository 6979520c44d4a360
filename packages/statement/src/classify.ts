/**
 * Tells from a statement's text what it asks for. Only the first word and the
 * comment that names a kind are read; what can't be told apart safely counts
 * as a non-idempotent write.
 */

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

/** What is known of a statement from its text. */
export interface Statement {
  readonly class: StatementClass;
  /** Kind named in the comment. */
  readonly kind?: string;
  /** Request key named in the comment. */
  readonly key?: string;
  /** The first words, for logs: never a value. */
  readonly verb: string;
}

const CLASS_OF_VERB: Readonly<Record<string, StatementClass>> = {
  SELECT: StatementClass.Read,
  VALUES: StatementClass.Read,
  TABLE: StatementClass.Read,
  EXPLAIN: StatementClass.Read,
  SHOW: StatementClass.Read,
  BEGIN: StatementClass.Begin,
  START: StatementClass.Begin,
  COMMIT: StatementClass.Commit,
  END: StatementClass.Commit,
  ROLLBACK: StatementClass.Rollback,
  ABORT: StatementClass.Rollback,
  SET: StatementClass.Setting,
  RESET: StatementClass.Setting,
  DISCARD: StatementClass.Setting,
  COPY: StatementClass.Unsupported,
  LISTEN: StatementClass.Unsupported,
  UNLISTEN: StatementClass.Unsupported,
  PREPARE: StatementClass.Unsupported,
  DECLARE: StatementClass.Unsupported,
};

const COMMENT = /\/\*([^]*?)\*\//g;
const LINE_COMMENT = /--[^\n]*/g;
const PAIR = /([A-Za-z_]+)='((?:[^'\\]|\\.)*)'/g;
const SESSION_SETTING = /^(SET|SHOW)\s+quetzalreel\./i;
// A SELECT that locks rows, writes into a table or calls a function that may
// write is no read.
const WRITING_SELECT =
  /\bFOR\s+(UPDATE|NO\s+KEY\s+UPDATE|SHARE|KEY\s+SHARE)\b|\bINTO\b|\b(nextval|setval|pg_advisory\w*|pg_notify|lo_\w+)\s*\(/i;
const WRITING_VERB = /\b(INSERT|UPDATE|DELETE|MERGE)\b/i;

/** Classifies the text of one message, which may hold several statements. */
export function classify(sql: string): Statement {
  const named = readComment(sql);
  const parts = splitStatements(stripComments(sql));
  const first = parts[0] ?? '';
  const verb = verbOf(first);
  let result: StatementClass = classOf(first);
  for (const part of parts.slice(1)) result = join(result, classOf(part));
  return {class: result, verb, ...named};
}

/** Reads the kind and the key from the statement's comments. */
export function readComment(sql: string): {kind?: string; key?: string} {
  const found: {kind?: string; key?: string} = {};
  for (const [, body] of sql.matchAll(COMMENT)) {
    for (const [, name, value] of body!.matchAll(PAIR)) {
      if (name === 'kind') found.kind = decode(value!);
      if (name === 'key') found.key = decode(value!);
    }
  }
  return found;
}

function decode(value: string): string {
  try {
    return decodeURIComponent(value.replace(/\\(.)/g, '$1'));
  } catch {
    return value;
  }
}

function stripComments(sql: string): string {
  return sql.replace(COMMENT, ' ').replace(LINE_COMMENT, ' ').trim();
}

/** Splits at semicolons outside quotes, and drops empty parts. */
export function splitStatements(sql: string): string[] {
  if (!sql.includes(';')) return sql.trim() ? [sql.trim()] : [];
  const parts: string[] = [];
  let quote = '';
  let start = 0;
  for (let i = 0; i < sql.length; i++) {
    const letter = sql[i]!;
    if (quote) {
      if (letter === quote) quote = '';
    } else if (letter === "'" || letter === '"') {
      quote = letter;
    } else if (letter === ';') {
      parts.push(sql.slice(start, i).trim());
      start = i + 1;
    }
  }
  parts.push(sql.slice(start).trim());
  return parts.filter(part => part !== '');
}

function verbOf(sql: string): string {
  return (/^[A-Za-z]+/.exec(sql)?.[0] ?? '').toUpperCase();
}

function classOf(sql: string): StatementClass {
  if (sql === '') return StatementClass.Read;
  if (SESSION_SETTING.test(sql)) return StatementClass.Session;
  const verb = verbOf(sql);
  if (verb === 'WITH') {
    return WRITING_VERB.test(sql) || WRITING_SELECT.test(sql)
      ? StatementClass.Write
      : StatementClass.Read;
  }
  const known = CLASS_OF_VERB[verb] ?? StatementClass.Write;
  if (known === StatementClass.Read && WRITING_SELECT.test(sql)) {
    return StatementClass.Write;
  }
  if (verb === 'EXPLAIN' && WRITING_VERB.test(sql)) return StatementClass.Write;
  return known;
}

/** Several statements in one message: the strictest need decides. */
function join(a: StatementClass, b: StatementClass): StatementClass {
  if (a === b) return a;
  if (a === StatementClass.Unsupported || b === StatementClass.Unsupported) {
    return StatementClass.Unsupported;
  }
  if (a === StatementClass.Session || b === StatementClass.Session) {
    return StatementClass.Unsupported;
  }
  if (a === StatementClass.Begin) return StatementClass.Begin;
  return StatementClass.Write;
}
