/** The replicated log of a stand-in database, and the tables it builds. */
import {EMPTY_LOG_POSITION, type Position} from '@quetzalreel/position';

/** One change of a table. */
export interface Change {
  readonly table: string;
  readonly key: string;
  /** `insert` adds a row, `update` changes rows, `delete` removes them. */
  readonly op: 'insert' | 'update' | 'delete';
  readonly value: string;
}

/** One commit, or the start of a term when it has no changes. */
export interface LogRecord {
  readonly term: number;
  readonly changes: readonly Change[];
}

/** A stretch of records of one term, as a summary of a log. */
export interface TermRun {
  readonly term: number;
  /** Number of records up to the end of this stretch. */
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
  /** The log's terms and where each ends. */
  runs(): TermRun[];
  /** Rows under a key, or of the whole table when `key` is undefined. */
  rows(table: string, key?: string): Rows;
  /** The key of each row of a table. */
  keys(table: string): readonly string[];
}

/** Tables in which a key stands at most once. */
const UNIQUE_TABLES: readonly string[] = ['quetzalreel_request'];

/** Whether a table takes a key at most once. */
export function isUniqueTable(table: string): boolean {
  return UNIQUE_TABLES.includes(table);
}

/** An empty log. */
export function replicatedLog(): ReplicatedLog {
  const records: LogRecord[] = [];
  let tables = new Map<string, Map<string, string[]>>();
  let ends: TermRun[] = [];

  function note(term: number): void {
    const last = ends.at(-1);
    if (last?.term === term) ends.pop();
    ends.push({term, end: records.length});
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
      note(record.term);
      for (const change of record.changes) applyChange(tables, change);
    },
    truncate(length) {
      const kept = records.slice(0, length);
      records.length = 0;
      tables = new Map();
      ends = [];
      for (const record of kept) this.append(record);
    },
    runs: () => [...ends],
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

/** Number of records that two logs have in common. */
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
