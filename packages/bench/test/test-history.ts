import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type History,
  type ReadRecord,
  type Verdict,
  type WriteRecord,
  checkHistory,
  isClean,
} from '../src/history.js';

function write(change: Partial<WriteRecord>): WriteRecord {
  const ends = {startedAt: 0, endedAt: 10};
  const who = {caller: 'ana', group: 'g1', proxy: 'p1'};
  return {key: 'k', version: 1, outcome: 'acked', ...who, ...ends, ...change};
}

function read(change: Partial<ReadRecord>): ReadRecord {
  const ends = {startedAt: 20, endedAt: 21, maxAgeMs: 100};
  const who = {caller: 'ana', proxy: 'p1', key: 'k'};
  return {values: ['k:1'], outcome: 'done', ...who, ...ends, ...change};
}

interface Row {
  readonly name: string;
  readonly history: Partial<History>;
  readonly final: readonly string[];
  /** Expected counts above zero; empty if the history is allowed. */
  readonly violations: Partial<Verdict>;
}

const half = [
  write({key: 'a', transaction: 't1'}),
  write({key: 'b', transaction: 't1'}),
];
const unknownHalf = half.map(item => ({...item, outcome: 'unknown' as const}));
const unknown = write({outcome: 'unknown'});
const amended = write({version: 2, startedAt: 11, endedAt: 12});

const VIOLATING: readonly Row[] = [
  {
    name: 'an acknowledged insertion is lost',
    history: {writes: [write({})]},
    final: [],
    violations: {lost: 1},
  },
  {
    name: 'an acknowledged change is lost',
    history: {writes: [write({}), amended]},
    final: ['k:1'],
    violations: {lost: 1},
  },
  {
    name: 'a write is stored twice',
    history: {writes: [write({})]},
    final: ['k:1', 'k:1'],
    violations: {doubled: 1},
  },
  {
    name: 'a write of unknown outcome is stored twice',
    history: {writes: [unknown]},
    final: ['k:1', 'k:1'],
    violations: {doubled: 1},
  },
  {
    name: 'a read misses an acknowledged write',
    history: {writes: [write({})], reads: [read({values: []})]},
    final: ['k:1'],
    violations: {staleReads: 1},
  },
  {
    name: 'a read shows the row before its acknowledged change',
    history: {writes: [write({}), amended], reads: [read({})]},
    final: ['k:2'],
    violations: {staleReads: 1},
  },
  {
    name: 'a read misses a write after the caller changed proxies',
    history: {writes: [write({})], reads: [read({values: [], proxy: 'p2'})]},
    final: ['k:1'],
    violations: {staleReads: 1, staleAfterRoaming: 1},
  },
  {
    name: "a read of another caller's row is staler than its kind accepts",
    history: {
      writes: [write({})],
      reads: [read({caller: 'rui', values: [], startedAt: 111})],
    },
    final: ['k:1'],
    violations: {tooOldReads: 1},
  },
  {
    name: 'a write that was refused as not run is stored',
    history: {writes: [write({outcome: 'notRun'})]},
    final: ['k:1'],
    violations: {notRunButThere: 1},
  },
  {
    name: 'a write that ended in an error is stored',
    history: {writes: [write({outcome: 'failed'})]},
    final: ['k:1'],
    violations: {notRunButThere: 1},
  },
  {
    name: 'half of an acknowledged transaction is stored',
    history: {writes: half},
    final: ['a:1'],
    violations: {lost: 1, mixedTransactions: 1},
  },
  {
    name: 'half of a transaction of unknown outcome is stored',
    history: {writes: unknownHalf},
    final: ['b:1'],
    violations: {mixedTransactions: 1},
  },
  {
    name: "a response holds another request's row",
    history: {reads: [read({values: ['other:1']})]},
    final: ['other:1'],
    violations: {foreignAnswers: 1},
  },
];

const ALLOWED: readonly Row[] = [
  {
    name: 'a write of unknown outcome is stored',
    history: {writes: [unknown], reads: [read({})]},
    final: ['k:1'],
    violations: {},
  },
  {
    name: 'a write of unknown outcome is not stored',
    history: {writes: [unknown], reads: [read({values: []})]},
    final: [],
    violations: {},
  },
  {
    name: 'a read that began before the acknowledgement misses the write',
    history: {writes: [write({})], reads: [read({values: [], startedAt: 9})]},
    final: ['k:1'],
    violations: {},
  },
  {
    name: 'a read shows a change that is not acknowledged yet',
    history: {writes: [write({}), amended], reads: [read({values: ['k:2']})]},
    final: ['k:2'],
    violations: {},
  },
  {
    name: "a read of another caller's row is as stale as its kind accepts",
    history: {
      writes: [write({})],
      reads: [read({caller: 'rui', values: [], startedAt: 109})],
    },
    final: ['k:1'],
    violations: {},
  },
  {
    name: 'a failed read returns nothing',
    history: {
      writes: [write({})],
      reads: [read({values: [], outcome: 'failed'})],
    },
    final: ['k:1'],
    violations: {},
  },
  {
    name: 'a write that was refused as not run is not stored',
    history: {writes: [write({outcome: 'notRun'})]},
    final: [],
    violations: {},
  },
  {
    name: 'a later change hides whether a part of a failed transaction is stored',
    history: {
      writes: [
        write({}),
        write({version: 2, outcome: 'failed', transaction: 't2'}),
        write({key: 'h', outcome: 'failed', transaction: 't2'}),
        write({version: 3}),
      ],
    },
    final: ['k:3'],
    violations: {},
  },
  {
    name: 'a whole transaction of unknown outcome is stored',
    history: {writes: unknownHalf},
    final: ['a:1', 'b:1'],
    violations: {},
  },
];

const CHECKED_COUNTS = [
  'lost',
  'doubled',
  'staleReads',
  'staleAfterRoaming',
  'tooOldReads',
  'mixedTransactions',
  'foreignAnswers',
  'notRunButThere',
] as const;

function violationsIn(row: Row): Partial<Verdict> {
  const {writes = [], reads = []} = row.history;
  const verdict = checkHistory({writes, reads}, row.final);
  const counts = CHECKED_COUNTS.map(name => [name, verdict[name]] as const);
  return Object.fromEntries(counts.filter(([, count]) => count > 0));
}

for (const row of [...VIOLATING, ...ALLOWED]) {
  test(`the checker: ${row.name}`, () => {
    assert.deepEqual(violationsIn(row), row.violations);
    const {writes = [], reads = []} = row.history;
    const verdict = checkHistory({writes, reads}, row.final);
    assert.equal(isClean(verdict), Object.keys(row.violations).length === 0);
  });
}

test('the checker: the failover gap is measured within each group', () => {
  const at = (key: string, group: string, endedAt: number) =>
    write({key, group, endedAt});
  const writes = [at('a', 'g1', 10), at('b', 'g2', 50), at('c', 'g1', 110)];
  const verdict = checkHistory({writes, reads: []}, ['a:1', 'b:1', 'c:1']);
  assert.equal(verdict.failoverGapMs, 100);
});
