/**
 * Checks a run by what callers and endpoints saw: the history by the checker
 * that the experiments use, and the statements by where they ran.
 */
import {
  type History,
  type Verdict,
  checkHistory,
  valueOf,
} from '@quetzalreel/bench';
import type {
  GroupModel,
  ExecutedStatement,
} from '@quetzalreel/platform-adapter/standin';
import type {Records, SentStatement} from './records.js';

/** Broken promises of one run; all zero for a clean one. */
export interface Counts {
  readonly lost: number;
  readonly doubled: number;
  readonly stale: number;
  /** Parts of transactions, foreign rows, statements that nobody sent. */
  readonly mixed: number;
  readonly falseNotRun: number;
  /** Statements on a connection, or with values or a shape, not their own. */
  readonly pinned: number;
  readonly regressed: number;
}

/** No promise was broken. */
export const NO_COUNTS: Counts = {
  lost: 0,
  doubled: 0,
  stale: 0,
  mixed: 0,
  falseNotRun: 0,
  pinned: 0,
  regressed: 0,
};

/** A checked run. */
export interface RunVerdict {
  readonly counts: Counts;
  readonly verdict: Verdict;
  /** One line for each statement that ran where it must not. */
  readonly findings: readonly string[];
}

/** Checks a run that has ended. */
export function checkRun(
  groups: Iterable<GroupModel>,
  records: Records,
  regressed: number,
): RunVerdict {
  const findings: string[] = [];
  const values: string[] = [];
  const takenBack = new Set<string>();
  let pinned = 0;
  let foreign = 0;
  for (const group of groups) {
    values.push(...finalValues(group));
    for (const {data} of group.rolledBack) takenBack.add(data);
    const ran = checkExecutions(group.runs, records.statements);
    pinned += ran.pinned.length;
    foreign += ran.foreign.length;
    findings.push(...ran.pinned, ...ran.foreign);
  }
  const verdict = checkHistory(historyOf(records, takenBack), values);
  return {
    verdict,
    findings,
    counts: {
      lost: verdict.lost,
      doubled: verdict.doubled,
      stale: verdict.staleReads + verdict.tooOldReads,
      mixed: verdict.mixedTransactions + verdict.foreignAnswers + foreign,
      falseNotRun: verdict.notRunButThere,
      pinned,
      regressed,
    },
  };
}

/** Commits that a change of primary took back don't count. */
function historyOf(records: Records, takenBack: ReadonlySet<string>): History {
  const {reads} = records;
  const writes = records.writes.map(write => {
    const isTakenBack = takenBack.has(valueOf(write.key, write.version));
    return isTakenBack ? {...write, outcome: 'unknown' as const} : write;
  });
  return {writes, reads};
}

/** The newest version of each row, and once more each that stands twice. */
function finalValues(group: GroupModel): string[] {
  const newest = new Map<string, string>();
  const seen = new Set<string>();
  const twice: string[] = [];
  for (const {item, data} of leaderOf(group).log) {
    if (seen.has(data)) twice.push(data);
    seen.add(data);
    newest.set(item, data);
  }
  return [...newest.values(), ...twice];
}

/** The primary of the highest term; replaced ones may still claim the role. */
function leaderOf(group: GroupModel) {
  const primaries = [...group.members.values()].filter(
    ({isPrimary}) => isPrimary,
  );
  primaries.sort((a, b) => b.term - a.term);
  const [leader] = primaries;
  if (!leader) throw new Error(`${group.name} has no primary`);
  return leader;
}

/** Statements of this instance's own have this id. */
const OWN_ID = '-';

/** Checks where statements ran. */
export function checkExecutions(
  runs: readonly ExecutedStatement[],
  statements: ReadonlyMap<string, SentStatement>,
): {readonly pinned: readonly string[]; readonly foreign: readonly string[]} {
  const pinned: string[] = [];
  const foreign: string[] = [];
  const places = noPlaces();
  for (const run of runs) {
    if (run.id === OWN_ID) continue;
    const sent = statements.get(run.id);
    if (!sent || !isSameText(run, sent)) {
      foreign.push(`${run.id}: ${run.text} was not sent by a caller`);
      continue;
    }
    const why = placeFault(run, sent, places) ?? stateFault(run, sent);
    if (why) pinned.push(`${run.id} at ${run.endpoint}: ${why}`);
  }
  return {pinned, foreign};
}

/** Prepared names may be changed on the way. */
function isSameText(run: ExecutedStatement, sent: SentStatement): boolean {
  const {text} = run;
  if (!sent.text.startsWith('EXECUTE ')) return text === sent.text;
  const withoutName = (of: string) => of.replace(/^EXECUTE \S+ /, 'EXECUTE ');
  return withoutName(text) === withoutName(sent.text);
}

/** Which transactions of endpoints and of callers go together. */
interface Places {
  /** The caller's transaction, or the lone statement, of each transaction that
   * an endpoint had open. */
  readonly owners: Map<number, string>;
  /** The endpoint's transaction of each caller's. */
  readonly opened: Map<string, number | undefined>;
}

function noPlaces(): Places {
  return {owners: new Map(), opened: new Map()};
}

/** Whether it ran in its own transaction and in no other one. */
function placeFault(
  {transaction: open}: ExecutedStatement,
  {transaction, id}: SentStatement,
  {owners, opened}: Places,
): string | undefined {
  const owner = transaction ?? id;
  if (open !== undefined) {
    const other = owners.get(open) ?? owner;
    owners.set(open, other);
    if (other !== owner) return `inside the transaction of ${other}`;
  }
  if (transaction === undefined) return undefined;
  const isFirst = !opened.has(transaction);
  if (isFirst) opened.set(transaction, open);
  if (open === undefined) return 'outside its transaction';
  if (opened.get(transaction) === open) return undefined;
  return 'in another transaction than it began in';
}

/** Whether it ran with its session's values and its own shape. */
function stateFault(
  run: ExecutedStatement,
  sent: SentStatement,
): string | undefined {
  const values = JSON.stringify(run.values);
  if (values !== JSON.stringify(sent.values)) {
    return `with ${values} in place of ${JSON.stringify(sent.values)}`;
  }
  if (run.shape === sent.shape) return undefined;
  return `as ${run.shape} in place of ${sent.shape}`;
}
