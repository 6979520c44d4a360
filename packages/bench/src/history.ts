/** What callers saw, and the checker that looks for broken promises. */

/** A write as its caller saw it end. */
export interface WriteRecord {
  /** Unique to the write. */
  readonly key: string;
  /** The caller's own clock, milliseconds. */
  readonly startedAt: number;
  readonly endedAt: number;
  readonly outcome: 'acked' | 'notRun' | 'unknown' | 'failed';
  readonly code?: string;
}

/** A read by a caller of something that it had written before. */
export interface ReadRecord {
  readonly key: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Rows that the caller saw for the key. */
  readonly rows: number;
  readonly outcome: 'done' | 'notRun' | 'failed';
}

/** What callers saw. */
export interface History {
  readonly writes: readonly WriteRecord[];
  readonly reads: readonly ReadRecord[];
}

/** The checker's verdict. */
export interface Verdict {
  readonly acked: number;
  /** Acknowledged writes that are not there at the end. */
  readonly lost: number;
  /** Writes that are there more than once. */
  readonly doubled: number;
  /** Reads that missed the caller's own acknowledged write. */
  readonly staleReads: number;
  readonly notRun: number;
  /** Writes that were said not to have run and are there. */
  readonly notRunButThere: number;
  readonly unknown: number;
  readonly failed: number;
  /** Longest time between two acknowledgements, milliseconds. */
  readonly failoverGapMs: number;
}

/** Compares a history with the rows that are there at the end. */
export function checkHistory(
  history: History,
  finalRows: ReadonlyMap<string, number>,
): Verdict {
  const {writes, reads} = history;
  const acked = writes.filter(write => write.outcome === 'acked');
  const there = (key: string) => finalRows.get(key) ?? 0;
  const notRun = writes.filter(write => write.outcome === 'notRun');
  const count = (outcome: WriteRecord['outcome']) =>
    writes.filter(write => write.outcome === outcome).length;
  return {
    acked: acked.length,
    lost: acked.filter(write => there(write.key) === 0).length,
    doubled: writes.filter(write => there(write.key) > 1).length,
    staleReads: reads.filter(isStale).length,
    notRun: notRun.length,
    notRunButThere: notRun.filter(write => there(write.key) > 0).length,
    unknown: count('unknown'),
    failed: count('failed'),
    failoverGapMs: longestGap(acked),
  };
}

function isStale(read: ReadRecord): boolean {
  return read.outcome === 'done' && read.rows === 0;
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

/** Whether a verdict breaks no promise. */
export function isClean(verdict: Verdict): boolean {
  const {lost, doubled, staleReads, notRunButThere} = verdict;
  return lost + doubled + staleReads + notRunButThere === 0;
}
