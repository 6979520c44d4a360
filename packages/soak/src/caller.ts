/** A caller: it opens sessions anywhere, writes its own rows and reads. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type WriteRecord, valueOf} from '@quetzalreel/bench';
import {
  BOUNDED_MS,
  GROUPS,
  OWN_MS,
  type SoakFleet,
  databasesOf,
} from './fleet.js';
import type {Records} from './records.js';
import {type Reply, type Session, openSession} from './session.js';

/** Operations of one session, least and most. */
const OPERATIONS = [1, 25] as const;
/** Pause between two operations, and inside transactions, in milliseconds. */
const MAX_PAUSE_MS = 12;
/** Operations of a hundred that write, and that are transactions; the others
 * read. A session on the bounded database only reads. */
const WRITES = 25;
const TRANSACTIONS = 15;
/** Transactions of a hundred that are left open, and that are rolled back. */
const LEFT_OPEN = 10;
const ROLLED_BACK = 10;
/** Pause before another session after one that was not opened. */
const RETRY_MS = 60;

/** The ways to write and read. */
const Kind = {
  Own: 'own',
  Primary: 'primary',
  Bounded: 'bounded',
} as const;
type Kind = (typeof Kind)[keyof typeof Kind];
const KINDS: readonly Kind[] = [Kind.Own, Kind.Own, Kind.Primary, Kind.Bounded];

/** Largest age of what a read may see of others' rows, in milliseconds. */
const MAX_AGE_MS: Readonly<Record<Kind, number>> = {
  own: OWN_MS,
  primary: 0,
  bounded: BOUNDED_MS,
};

/** A row that this session may change: nobody else does. */
interface OwnRow {
  readonly key: string;
  version: number;
}

/** Works until `stopped` says so. */
export async function runCaller(
  name: string,
  seed: number,
  fleet: SoakFleet,
  records: Records,
  stopped: () => boolean,
): Promise<void> {
  const random = xoroshiro128plus(seed);
  const pick = (size: number) => uniformInt(random, 0, size - 1);
  const choose = <Item>(items: readonly Item[]) => items[pick(items.length)]!;
  const pause = (mostMs: number) =>
    new Promise(resolve => setTimeout(resolve, pick(mostMs + 1)));
  let sessions = 0;
  let rowsMade = 0;

  async function work(session: Session, group: string, kind: Kind) {
    const rows: OwnRow[] = [];
    let isPrepared = false;
    if (pick(2) === 0) await session.set('tenant', session.name);
    if (pick(2) === 0) {
      isPrepared = await session.prepare('s1', `READ q-${session.name}`);
    }
    const operations = OPERATIONS[0] + pick(OPERATIONS[1]);
    for (let i = 0; i < operations && session.isOpen && !stopped(); i++) {
      await pause(MAX_PAUSE_MS);
      const dice = kind === Kind.Bounded ? WRITES + TRANSACTIONS : pick(100);
      if (dice < WRITES) {
        await write(session, group, rows);
      } else if (dice < WRITES + TRANSACTIONS) {
        await transact(session, group, rows);
      } else {
        await read(session, group, kind, rows, isPrepared);
      }
    }
  }

  function nextRow(rows: OwnRow[]): OwnRow {
    if (rows.length > 0 && pick(3) > 0) return choose(rows);
    return {key: `${name}.${++rowsMade}`, version: 0};
  }

  /** Notes how a write ended; a row in doubt is left alone from then on. */
  function note(
    session: Session,
    group: string,
    rows: OwnRow[],
    row: OwnRow,
    written: Omit<WriteRecord, 'key' | 'caller' | 'group' | 'proxy'>,
  ): void {
    const {key} = row;
    const proxy = session.instance;
    const caller = session.name;
    records.writes.push({...written, key, caller, group, proxy});
    const at = rows.indexOf(row);
    if (written.outcome === 'acked') {
      row.version = written.version;
      if (at < 0) rows.push(row);
      if (written.version === 1) records.board.push({key, group});
    } else if (at >= 0) {
      rows.splice(at, 1);
    }
  }

  async function write(session: Session, group: string, rows: OwnRow[]) {
    const row = nextRow(rows);
    const version = row.version + 1;
    const startedAt = performance.now();
    const {outcome} = await session.ask(
      `WRITE ${row.key} ${valueOf(row.key, version)}`,
    );
    const endedAt = performance.now();
    note(session, group, rows, row, {version, startedAt, endedAt, outcome});
  }

  /** Two rows at once; some are rolled back, some left open. */
  async function transact(session: Session, group: string, rows: OwnRow[]) {
    const transaction = `${session.name}-t${++rowsMade}`;
    const parts = [nextRow(rows), nextRow([])];
    const startedAt = performance.now();
    const reply = await runParts(session, transaction, parts);
    const endedAt = performance.now();
    const {outcome} = reply;
    for (const row of parts) {
      const version = row.version + 1;
      const times = {startedAt, endedAt};
      const written = {version, transaction, ...times, outcome};
      note(session, group, rows, row, written);
    }
  }

  /** The end of a transaction; one whose COMMIT was not sent did not run. */
  async function runParts(
    session: Session,
    transaction: string,
    parts: readonly OwnRow[],
  ): Promise<Pick<Reply, 'outcome'>> {
    const begun = await session.ask('BEGIN', transaction);
    if (!begun.isDone) return {outcome: 'notRun'};
    for (const {key, version} of parts) {
      const text = `WRITE ${key} ${valueOf(key, version + 1)}`;
      const {isDone} = await session.ask(text, transaction);
      if (!isDone) {
        await session.ask('ROLLBACK');
        return {outcome: 'notRun'};
      }
      await pause(MAX_PAUSE_MS);
    }
    const dice = pick(100);
    if (dice < LEFT_OPEN) {
      session.end();
      return {outcome: 'notRun'};
    }
    if (dice < LEFT_OPEN + ROLLED_BACK) {
      await session.ask('ROLLBACK');
      return {outcome: 'notRun'};
    }
    return session.ask('COMMIT', transaction);
  }

  async function read(
    session: Session,
    group: string,
    kind: Kind,
    rows: readonly OwnRow[],
    isPrepared: boolean,
  ) {
    const others = records.board.filter(row => row.group === group);
    const wantsOwn = kind !== Kind.Bounded && rows.length > 0 && pick(2) === 0;
    const chosen = wantsOwn ? choose(rows) : others[pick(others.length || 1)];
    if (!chosen) return;
    const {key} = chosen;
    const startedAt = performance.now();
    const reply =
      isPrepared && pick(2) === 0
        ? await session.execute('s1', key)
        : await session.ask(`READ ${key}`);
    records.reads.push({
      key,
      caller: session.name,
      proxy: session.instance,
      startedAt,
      endedAt: performance.now(),
      values: reply.rows.filter(row => row !== `${key}-row`),
      maxAgeMs: MAX_AGE_MS[kind],
      outcome: reply.isDone ? 'done' : 'failed',
    });
  }

  while (!stopped()) {
    const group = choose(GROUPS);
    const kind = choose(KINDS);
    const instance = choose(fleet.instances);
    if (!instance.inRotation) {
      await pause(RETRY_MS);
      continue;
    }
    const id = `${name}.s${++sessions}`;
    const database = databasesOf(group)[kind];
    const session = await openSession(id, instance, database, records);
    if (session) await work(session, group, kind);
    else await pause(RETRY_MS);
    session?.end();
  }
}
