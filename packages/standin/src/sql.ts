/**
 * Parser for the SQL subset of a stand-in database: tables with the columns
 * `key` and `value`, and statements on one key or a whole table.
 */
import type {Change} from './log.js';

/** A parsed statement. */
export type Command =
  | {readonly op: 'insert' | 'update' | 'delete'; readonly change: Change}
  | {readonly op: 'select'; readonly table: string; readonly key?: string}
  | {readonly op: 'keys'; readonly table: string}
  | {readonly op: 'count'; readonly table: string; readonly key?: string}
  | {readonly op: 'begin' | 'commit' | 'rollback' | 'set' | 'empty'}
  | {readonly op: 'literal'; readonly value: string}
  | {readonly op: 'sleep'; readonly delayMs: number}
  | {readonly op: 'call'; readonly name: string; readonly args: string[]};

const OPERAND = "('(?:[^']|'')*'|\\$\\d+|-?\\d+(?:\\.\\d+)?)";
const NAME = '([a-z_][a-z0-9_]*)';
const pattern = (source: string) => new RegExp(`^${source}$`, 'i');

const INSERT = pattern(
  `INSERT INTO ${NAME} \\(key, value\\) VALUES \\(${OPERAND}, ${OPERAND}\\)`,
);
const UPDATE = pattern(
  `UPDATE ${NAME} SET value = ${OPERAND} WHERE key = ${OPERAND}`,
);
const DELETE = pattern(`DELETE FROM ${NAME} WHERE key = ${OPERAND}`);
const SELECT = pattern(`SELECT value FROM ${NAME}(?: WHERE key = ${OPERAND})?`);
const KEYS = pattern(`SELECT key FROM ${NAME}`);
const COUNT = pattern(
  `SELECT count\\(\\*\\) FROM ${NAME}(?: WHERE key = ${OPERAND})?`,
);
const SLEEP = pattern(`SELECT pg_sleep\\(${OPERAND}\\)`);
const LITERAL = pattern(`SELECT ${OPERAND}`);
const CALL = /^SELECT (quetzalreel_\w+)\(([^]*)\)$/i;
const VERB = /^(BEGIN|START|COMMIT|END|ROLLBACK|ABORT|SET|DISCARD|RESET)\b/i;

const VERB_OPS: Readonly<
  Record<string, 'begin' | 'commit' | 'rollback' | 'set'>
> = {
  BEGIN: 'begin',
  START: 'begin',
  COMMIT: 'commit',
  END: 'commit',
  ROLLBACK: 'rollback',
  ABORT: 'rollback',
  SET: 'set',
  RESET: 'set',
  DISCARD: 'set',
};

/** Parses one statement; returns undefined if it isn't supported. */
export function readCommand(
  text: string,
  values: ReadonlyArray<string | null>,
): Command | undefined {
  const sql = text
    .replace(/\/\*[^]*?\*\//g, ' ')
    .replace(/\s+/g, ' ')
    .trim();
  if (sql === '') return {op: 'empty'};
  const value = (operand: string) => operandValue(operand, values);
  const verb = VERB.exec(sql)?.[1]?.toUpperCase();
  if (verb) return {op: VERB_OPS[verb]!};
  return readRowCommand(sql, value) ?? readCall(sql, value);
}

function readRowCommand(
  sql: string,
  value: (operand: string) => string,
): Command | undefined {
  const change = (
    op: Change['op'],
    match: RegExpExecArray,
    key: string,
    newValue: string,
  ): Command => ({
    op,
    change: {table: match[1]!, key: value(key), op, value: newValue},
  });
  let match = INSERT.exec(sql);
  if (match) return change('insert', match, match[2]!, value(match[3]!));
  match = UPDATE.exec(sql);
  if (match) return change('update', match, match[3]!, value(match[2]!));
  match = DELETE.exec(sql);
  if (match) return change('delete', match, match[2]!, '');
  match = SELECT.exec(sql);
  if (match) return {op: 'select', ...tableAndKey(match, value)};
  match = KEYS.exec(sql);
  if (match) return {op: 'keys', table: match[1]!};
  match = COUNT.exec(sql);
  return match ? {op: 'count', ...tableAndKey(match, value)} : undefined;
}

function tableAndKey(
  match: RegExpExecArray,
  value: (operand: string) => string,
) {
  const key = match[2];
  return {table: match[1]!, ...(key ? {key: value(key)} : {})};
}

function readCall(
  sql: string,
  value: (operand: string) => string,
): Command | undefined {
  let match = SLEEP.exec(sql);
  if (match) return {op: 'sleep', delayMs: Number(value(match[1]!)) * 1000};
  match = LITERAL.exec(sql);
  if (match) return {op: 'literal', value: value(match[1]!)};
  match = CALL.exec(sql);
  if (!match) return undefined;
  const operands = match[2]!.match(new RegExp(OPERAND, 'g')) ?? [];
  return {op: 'call', name: match[1]!.toLowerCase(), args: operands.map(value)};
}

function operandValue(
  operand: string,
  values: ReadonlyArray<string | null>,
): string {
  if (operand.startsWith('$'))
    return values[Number(operand.slice(1)) - 1] ?? '';
  if (operand.startsWith("'")) return operand.slice(1, -1).replace(/''/g, "'");
  return operand;
}
