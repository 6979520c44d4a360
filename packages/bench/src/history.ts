/** What callers saw, and the checker that looks for broken promises. */

/** A write as its caller saw it end. */
export interface WriteRecord {
  /** Names the row; unique to its owner, who alone changes it. */
  readonly key: string;
  /** 1 for the row's insertion, then one more with each change of it. */
  readonly version: number;
  readonly caller: string;
  /** Group that it went to. */
  readonly group: string;
  /** Proxy that the caller was connected to. */
  readonly proxy: string;
  /** Identity of the transaction that it was part of, if it was in one. */
  readonly transaction?: string;
  /** The caller's own clock, milliseconds. */
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
  /** Values that the caller saw for the key. */
  readonly values: readonly string[];
  /** Largest age that the read's kind accepts, milliseconds. */
  readonly maxAgeMs: number;
  readonly outcome: 'done' | 'notRun' | 'failed';
}

/** What callers saw. */
export interface History {
  readonly writes: readonly WriteRecord[];
  readonly reads: readonly ReadRecord[];
}

/** The checker's verdict. Every count below `acked` should be zero. */
export interface Verdict {
  readonly acked: number;
  /** Acknowledged writes that are not there at the end. */
  readonly lost: number;
  /** Writes that are there more than once. */
  readonly doubled: number;
  /** Reads that missed a write that the same caller had acknowledged. */
  readonly staleReads: number;
  /** Those of them whose write went through another proxy. */
  readonly staleAfterRoaming: number;
  /** Reads of others' rows that were older than their kind accepts. */
  readonly tooOldReads: number;
  /** Transactions of which a part is there, or whose end was not kept. */
  readonly mixedTransactions: number;
  /** Reads whose answer holds a row that was not asked for. */
  readonly foreignAnswers: number;
  readonly notRun: number;
  /** Writes that were said not to have run and are there. */
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
  const at = value.lastIndexOf(':');
  return {key: value.slice(0, at), version: Number(value.slice(at + 1))};
}

/** Compares a history with the values of all rows at the end. */
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
  const refused = writes.filter(write => isRefused(write));
  const ownAcks = groupBy(acked, write => write.key);
  const byGroup = groupBy(acked, write => write.group);
  const acksOf = (key: string) => ownAcks.get(key) ?? [];
  const stale = reads.flatMap(read => missedOwn(read, acksOf(read.key)));
  return {
    acked: acked.length,
    lost: acked.filter(write => newest(write.key) < write.version).length,
    doubled: [...rows.values()].filter(found => found.length > 1).length,
    staleReads: stale.length,
    staleAfterRoaming: stale.filter(({read, write}) => {
      return read.proxy !== write.proxy;
    }).length,
    tooOldReads: reads.filter(read => isTooOld(read, acksOf(read.key))).length,
    mixedTransactions: mixedTransactions(writes, newest),
    foreignAnswers: reads.filter(isForeign).length,
    notRun: count('notRun'),
    notRunButThere: refused.filter(write => isThere(write, rows)).length,
    unknown: count('unknown'),
    failed: count('failed'),
    failoverGapMs: Math.max(0, ...[...byGroup.values()].map(longestGap)),
  };
}

/** Versions found under each key. */
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

/** An error answer says that nothing was committed, as "not run" does. */
function isRefused({outcome}: WriteRecord): boolean {
  return outcome === 'notRun' || outcome === 'failed';
}

function isThere(
  write: WriteRecord,
  rows: ReadonlyMap<string, number[]>,
): boolean {
  return (rows.get(write.key) ?? []).includes(write.version);
}

/** The newest write that a read must show and doesn't; at most one. */
function missedOwn(read: ReadRecord, acked: readonly WriteRecord[]) {
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

/** Whether a read missed a write that is older than its kind accepts. */
function isTooOld(read: ReadRecord, acked: readonly WriteRecord[]): boolean {
  if (read.outcome !== 'done') return false;
  for (const write of acked) {
    if (write.caller === read.caller) continue;
    const isDue = write.endedAt <= read.startedAt - read.maxAgeMs;
    if (isDue && seenVersion(read) < write.version) return true;
  }
  return false;
}

function seenVersion(read: ReadRecord): number {
  const own = read.values.map(parseValue).filter(row => row.key === read.key);
  return Math.max(0, ...own.map(row => row.version));
}

function isForeign(read: ReadRecord): boolean {
  return read.values.some(value => parseValue(value).key !== read.key);
}

/** Transactions of which only a part is there. */
function mixedTransactions(
  writes: readonly WriteRecord[],
  newest: (key: string) => number,
): number {
  let mixed = 0;
  for (const parts of groupBy(writes, write => write.transaction).values()) {
    // A later version hides whether an earlier one was there.
    const told = parts.filter(part => newest(part.key) <= part.version);
    const there = told.filter(part => newest(part.key) === part.version);
    if (there.length > 0 && there.length < told.length) mixed++;
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

/** Counts of a verdict that break a promise when they are not zero. */
export const PROMISE_COUNTS = [
  'lost',
  'doubled',
  'staleReads',
  'tooOldReads',
  'mixedTransactions',
  'foreignAnswers',
  'notRunButThere',
] as const;

/** Whether a verdict breaks no promise. */
export function isClean(verdict: Verdict): boolean {
  return PROMISE_COUNTS.every(name => verdict[name] === 0);
}
