/** What callers of the soak remember, for the checks afterwards. */
import type {ReadRecord, WriteRecord} from '@quetzalreel/bench';

/** A statement as it was sent, and what it must run with. */
export interface SentStatement {
  readonly id: string;
  readonly text: string;
  /** Attempt of a transaction that it belongs to; undefined for none. */
  readonly transaction: string | undefined;
  /** Values that were acknowledged to its session by then. */
  readonly values: Readonly<Record<string, string>>;
  /** Shape of the prepared statement that it executes. */
  readonly shape: string | undefined;
}

/** Everything that callers saw. */
export interface Records {
  readonly writes: WriteRecord[];
  readonly reads: ReadRecord[];
  readonly statements: Map<string, SentStatement>;
  /** Rows that were acknowledged, for others to read: key and group. */
  readonly board: Array<{readonly key: string; readonly group: string}>;
}

/** Nothing was seen yet. */
export function noRecords(): Records {
  return {writes: [], reads: [], statements: new Map(), board: []};
}
