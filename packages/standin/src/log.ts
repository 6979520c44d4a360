/** Replicated log of a stand-in database, and the tables built from it. */
import {EMPTY_LOG_POSITION, type Position} from '@quetzalreel/position';

/** One change to a table. */
export interface Change {
  readonly table: string;
  readonly key: string;
  /** `insert` adds a row; `update` and `delete` apply to all rows of `key`. */
  readonly op: 'insert' | 'update' | 'delete';
  readonly value: string;
}

/** One commit; a record without changes marks the start of a term. */
export interface LogRecord {
  readonly term: number;
  readonly changes: readonly Change[];
}

/** Consecutive records of one term; a list of runs summarizes a log. */
export interface TermRun {
  readonly term: number;
  /** Number of log records up to and including this run. */
  readonly end: number;
}

/** Rows of one key, in the order they were inserted. */
export type Rows = readonly string[];

/** A log and its tables. */
export interface ReplicatedLog {
  readonly last: Position;
  readonly length: number;
  /** The record at `index`, from 0. */
  at(index: number): LogRecord | undefined;
  append(record: LogRecord): void;
  /** Drops all records from `length` on and rebuilds the tables. */
  truncate(length: number): void;
  /** The log's terms in order, and the position at which each ends. */
  runs(): TermRun[];
  /** Rows under a key, or of the whole table when `key` is undefined. */
  rows(table: string, key?: string): Rows;
  /** The key of each row of a table. */
  keys(table: string): readonly string[];
}

/** Tables with at most one row per key. */
const UNIQUE_TABLES: readonly string[] = ['quetzalreel_request'];

/** Whether a table holds at most one row per key. */
export function hasUniqueKeys(table: string): boolean {
  return UNIQUE_TABLES.includes(table);
}

/** An empty log. */
export function replicatedLog(): ReplicatedLog {
  const records: LogRecord[] = [];
  let tables = new Map<string, Map<string, string[]>>();
  let termRuns: TermRun[] = [];

  function extendTermRun(term: number): void {
    const last = termRuns.at(-1);
    if (last?.term === term) termRuns.pop();
    termRuns.push({term, end: records.length});
  }

  return {
    get last() {
      const last = records.at(-1);
      return last
        ? {term: last.term, offset: records.length}
        : EMPTY_LOG_POSITION;
    },
    get length() {
      return records.length;
    },
    at: index => records[index],
    append(record) {
      records.push(record);
      extendTermRun(record.term);
      for (const change of record.changes) applyChange(tables, change);
    },
    truncate(length) {
      const kept = records.slice(0, length);
      records.length = 0;
      tables = new Map();
      termRuns = [];
      for (const record of kept) this.append(record);
    },
    runs: () => [...termRuns],
    keys(table) {
      const keys: string[] = [];
      for (const [key, rows] of tables.get(table) ?? []) {
        for (let i = 0; i < rows.length; i++) keys.push(key);
      }
      return keys;
    },
    rows(table, key) {
      const found = tables.get(table);
      if (!found) return [];
      if (key !== undefined) return found.get(key) ?? [];
      return [...found.values()].flat();
    },
  };
}

/** Length of the common prefix of two logs, given their runs. */
export function sharedLength(
  a: readonly TermRun[],
  b: readonly TermRun[],
): number {
  let shared = 0;
  for (let i = 0; i < Math.min(a.length, b.length); i++) {
    if (a[i]!.term !== b[i]!.term) break;
    shared = Math.min(a[i]!.end, b[i]!.end);
    if (a[i]!.end !== b[i]!.end) break;
  }
  return shared;
}

function applyChange(
  tables: Map<string, Map<string, string[]>>,
  change: Change,
): void {
  const table = tables.get(change.table) ?? new Map<string, string[]>();
  tables.set(change.table, table);
  const rows = table.get(change.key) ?? [];
  if (change.op === 'insert') table.set(change.key, [...rows, change.value]);
  else if (change.op === 'delete') table.delete(change.key);
  else if (rows.length > 0) {
    table.set(
      change.key,
      rows.map(() => change.value),
    );
  }
}
