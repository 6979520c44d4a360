/** History of the callers' requests, and its check for violated guarantees. */

/** A write and its outcome, as its caller saw it. */
export interface WriteRecord {
  /** Key of the row, which only the caller that inserted it changes. */
  readonly key: string;
  /** 1 for the row's insertion, one higher for each later change. */
  readonly version: number;
  readonly caller: string;
  /** Group that the write was sent to. */
  readonly group: string;
  /** Proxy that the caller was connected to. */
  readonly proxy: string;
  /** Identifier of the write's transaction, if it was part of one. */
  readonly transaction?: string;
  /** Milliseconds, by the caller's clock. */
  readonly startedAt: number;
  readonly endedAt: number;
  readonly outcome: 'acked' | 'notRun' | 'unknown' | 'failed';
  readonly code?: string;
}

/** A read of one row by its key. */
export interface ReadRecord {
  readonly key: string;
  readonly caller: string;
  readonly proxy: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Values that the read returned. */
  readonly values: readonly string[];
  /** Maximum staleness that the read's kind accepts, milliseconds. */
  readonly maxAgeMs: number;
  readonly outcome: 'done' | 'notRun' | 'failed';
}

/** Requests of all callers. */
export interface History {
  readonly writes: readonly WriteRecord[];
  readonly reads: readonly ReadRecord[];
}

/** Result of the check. All counts in `VIOLATION_COUNTS` should be zero. */
export interface Verdict {
  readonly acked: number;
  /** Acknowledged writes that are missing at the end. */
  readonly lost: number;
  /** Keys that are stored more than once: a write was applied twice. */
  readonly doubled: number;
  /** Reads that missed an acknowledged write of the same caller. */
  readonly staleReads: number;
  /** Reads in `staleReads` whose write went through another proxy. */
  readonly staleAfterRoaming: number;
  /** Reads of other callers' rows, staler than their kind accepts. */
  readonly tooOldReads: number;
  /** Transactions of which only a part is stored. */
  readonly mixedTransactions: number;
  /** Reads that returned a row with another key than requested. */
  readonly foreignAnswers: number;
  readonly notRun: number;
  /** Writes that were reported as not committed, but are stored. */
  readonly notRunButThere: number;
  readonly unknown: number;
  readonly failed: number;
  /** Longest time between two acknowledgements of a group, milliseconds. */
  readonly failoverGapMs: number;
}

/** The value that a write stores: its key and version. */
export function valueOf(key: string, version: number): string {
  return `${key}:${version}`;
}

interface StoredRow {
  readonly key: string;
  readonly version: number;
}

function parseValue(value: string): StoredRow {
  const separator = value.lastIndexOf(':');
  return {
    key: value.slice(0, separator),
    version: Number(value.slice(separator + 1)),
  };
}

/** Checks a history against the values of all rows at the end. */
export function checkHistory(
  history: History,
  finalValues: readonly string[],
): Verdict {
  const {writes, reads} = history;
  const rows = rowsByKey(finalValues);
  const acked = writes.filter(write => write.outcome === 'acked');
  const newest = (key: string) => Math.max(0, ...(rows.get(key) ?? []));
  const count = (outcome: WriteRecord['outcome']) =>
    writes.filter(write => write.outcome === outcome).length;
  const refused = writes.filter(write => isReportedUncommitted(write));
  const ackedByKey = groupBy(acked, write => write.key);
  const byGroup = groupBy(acked, write => write.group);
  const ackedWritesOf = (key: string) => ackedByKey.get(key) ?? [];
  const stale = reads.flatMap(read =>
    missedOwnWrite(read, ackedWritesOf(read.key)),
  );
  return {
    acked: acked.length,
    lost: acked.filter(write => newest(write.key) < write.version).length,
    doubled: [...rows.values()].filter(found => found.length > 1).length,
    staleReads: stale.length,
    staleAfterRoaming: stale.filter(({read, write}) => {
      return read.proxy !== write.proxy;
    }).length,
    tooOldReads: reads.filter(read => isTooOld(read, ackedWritesOf(read.key)))
      .length,
    mixedTransactions: mixedTransactions(writes, newest),
    foreignAnswers: reads.filter(hasForeignRow).length,
    notRun: count('notRun'),
    notRunButThere: refused.filter(write => isStored(write, rows)).length,
    unknown: count('unknown'),
    failed: count('failed'),
    failoverGapMs: Math.max(0, ...[...byGroup.values()].map(longestGap)),
  };
}

/** Stored versions of each key. */
function rowsByKey(values: readonly string[]): Map<string, number[]> {
  const rows = new Map<string, number[]>();
  for (const value of values) {
    const {key, version} = parseValue(value);
    rows.set(key, [...(rows.get(key) ?? []), version]);
  }
  return rows;
}

function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string | undefined,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    if (key === undefined) continue;
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

/** An error response means that nothing was committed, like "not run". */
function isReportedUncommitted({outcome}: WriteRecord): boolean {
  return outcome === 'notRun' || outcome === 'failed';
}

function isStored(
  write: WriteRecord,
  rows: ReadonlyMap<string, number[]>,
): boolean {
  return (rows.get(write.key) ?? []).includes(write.version);
}

/**
 * If a read missed acknowledged writes of its own caller, returns the newest of
 * them; otherwise an empty list.
 */
function missedOwnWrite(read: ReadRecord, acked: readonly WriteRecord[]) {
  if (read.outcome !== 'done') return [];
  let newest: WriteRecord | undefined;
  for (const write of acked) {
    if (write.caller !== read.caller) continue;
    if (write.endedAt > read.startedAt) continue;
    if (!newest || write.version > newest.version) newest = write;
  }
  if (!newest || seenVersion(read) >= newest.version) return [];
  return [{read, write: newest}];
}

/**
 * Whether a read missed another caller's write that had been acknowledged
 * `maxAgeMs` or longer before.
 */
function isTooOld(read: ReadRecord, acked: readonly WriteRecord[]): boolean {
  if (read.outcome !== 'done') return false;
  for (const write of acked) {
    if (write.caller === read.caller) continue;
    const mustBeVisible = write.endedAt <= read.startedAt - read.maxAgeMs;
    if (mustBeVisible && seenVersion(read) < write.version) return true;
  }
  return false;
}

function seenVersion(read: ReadRecord): number {
  const rowsOfKey = read.values
    .map(parseValue)
    .filter(row => row.key === read.key);
  return Math.max(0, ...rowsOfKey.map(row => row.version));
}

function hasForeignRow(read: ReadRecord): boolean {
  return read.values.some(value => parseValue(value).key !== read.key);
}

/** Number of transactions of which only a part is stored. */
function mixedTransactions(
  writes: readonly WriteRecord[],
  newest: (key: string) => number,
): number {
  let mixed = 0;
  for (const parts of groupBy(writes, write => write.transaction).values()) {
    // A later version of the row hides whether this one was stored.
    const comparable = parts.filter(part => newest(part.key) <= part.version);
    const stored = comparable.filter(part => newest(part.key) === part.version);
    if (stored.length > 0 && stored.length < comparable.length) mixed++;
  }
  return mixed;
}

/** Longest time from one acknowledgement to the next, in milliseconds. */
function longestGap(acked: readonly WriteRecord[]): number {
  const times = acked.map(write => write.endedAt).sort((a, b) => a - b);
  let longest = 0;
  for (let i = 1; i < times.length; i++) {
    longest = Math.max(longest, times[i]! - times[i - 1]!);
  }
  return Math.round(longest);
}

/** Counts that mean a violated guarantee unless they are zero. */
export const VIOLATION_COUNTS = [
  'lost',
  'doubled',
  'staleReads',
  'tooOldReads',
  'mixedTransactions',
  'foreignAnswers',
  'notRunButThere',
] as const;

/** Whether a verdict shows no violated guarantee. */
export function isClean(verdict: Verdict): boolean {
  return VIOLATION_COUNTS.every(name => verdict[name] === 0);
}
