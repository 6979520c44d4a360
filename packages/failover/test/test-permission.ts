/** When an announced change of primary may be ordered, and which records of
 * changes an instance keeps. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  type ChangeRecord,
  type Confirmations,
  NO_CHANGES,
  NO_PERMISSION,
  digestOf,
  orderTime,
  permittedUntil,
  withChanges,
} from '../src/index.js';

const LIMITS = {witnessMs: 1000, storeMs: 600};
const FLEET = ['a', 'b', 'c', 'd', 'e'] as const;

/** Confirmations of a change that `a` announced at 0 and all others got. */
function confirmations(change: Partial<Confirmations> = {}): Confirmations {
  return {
    confirmedBy: 350,
    told: FLEET.slice(1),
    confirmed: new Set(FLEET.slice(1)),
    isOutdated: false,
    witnesses: FLEET,
    renewed: new Set(),
    ...change,
  };
}

interface Case {
  readonly what: string;
  readonly answers: Partial<Confirmations>;
  readonly writtenAt: number | undefined;
  /** When the order may be sent; undefined for never. */
  readonly at: number | undefined;
}

const CASES: readonly Case[] = [
  {
    what: 'at once when every instance has confirmed',
    answers: {},
    writtenAt: 0,
    at: 350,
  },
  {
    what: 'at once without the store when every instance has confirmed',
    answers: {},
    writtenAt: undefined,
    at: 350,
  },
  {
    what: 'never without the store when an instance is cut off or frozen',
    answers: {confirmed: new Set(['b', 'c', 'd'])},
    writtenAt: undefined,
    at: undefined,
  },
  {
    what: 'once an instance that reads the lease itself must know of it',
    answers: {confirmed: new Set(['b', 'c', 'd'])},
    writtenAt: 10,
    at: 610,
  },
  {
    what: 'once a permission that a witness renewed must have lapsed',
    answers: {
      confirmed: new Set(['b', 'c', 'd']),
      renewed: new Set(['b', 'e']),
    },
    writtenAt: 10,
    at: 1350,
  },
  {
    what: 'never while a majority of the witnesses may renew permissions',
    answers: {confirmed: new Set(['b'])},
    writtenAt: 10,
    at: undefined,
  },
  {
    what: 'never when a newer change is known',
    answers: {isOutdated: true},
    writtenAt: 10,
    at: undefined,
  },
  {
    what: 'at once by an instance that is alone',
    answers: {told: [], confirmed: new Set(), witnesses: ['a']},
    writtenAt: undefined,
    at: 350,
  },
];

describe('an announced change may be ordered', () => {
  for (const {what, answers, writtenAt, at} of CASES) {
    it(what, () => {
      const order = orderTime('a', confirmations(answers), writtenAt, LIMITS);
      assert.equal(order.type === 'at' ? order.at : undefined, at);
    });
  }
});

describe('permission', () => {
  it('is not held before it was renewed, nor after a suspension', () => {
    assert.equal(permittedUntil(NO_PERMISSION, LIMITS), -Infinity);
  });

  it('lasts as long as the longer of its two sources', () => {
    const both = {byWitnessesAt: 100, byStoreAt: 400};
    assert.equal(permittedUntil(both, LIMITS), 1100);
    const store = {...NO_PERMISSION, byStoreAt: 400};
    assert.equal(permittedUntil(store, LIMITS), 1000);
  });
});

const change: fc.Arbitrary<ChangeRecord> = fc.record(
  {
    group: fc.constantFrom('g', 'h'),
    from: fc.constant('e-1'),
    to: fc.constant('e-2'),
    fence: fc.integer({min: 1, max: 5}),
    isPlanned: fc.boolean(),
  },
  {noNullPrototype: true},
);

describe('change records', () => {
  it('are the same in whichever order and however often changes arrive', () => {
    fc.assert(
      fc.property(fc.array(change), fc.array(change), (some, more) => {
        const one = withChanges(withChanges(NO_CHANGES, some), more);
        const other = withChanges(NO_CHANGES, [...more, ...some, ...more]);
        assert.equal(digestOf(one), digestOf(other));
        assert.deepEqual(new Map(one), new Map(other));
      }),
      {seed: 17},
    );
  });

  it('never go back to a lower fence', () => {
    fc.assert(
      fc.property(fc.array(change), change, (some, added) => {
        const before = withChanges(NO_CHANGES, some);
        const after = withChanges(before, [added]);
        for (const [group, {fence}] of before) {
          assert.ok(after.get(group)!.fence >= fence);
        }
      }),
      {seed: 18},
    );
  });
});
