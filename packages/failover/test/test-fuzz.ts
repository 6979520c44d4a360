/**
 * The lease and change records under arbitrary input: what another writer left in
 * the lease must not become a change of primary that nobody ordered.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {mutated, oddValue} from '@quetzalreel/checks';
import {
  type ChangeRecord,
  digestOf,
  highestFence,
  isChangeRecord,
  withChanges,
} from '../src/index.js';
import {parseLease} from '../src/lease.js';

const SEED = 47;
const RUNS = 3000;

const PLANNED = {group: 'g', from: 'e-1', to: 'e-2'};
const TERM = {fence: 7, isPlanned: false};
const CHANGE: ChangeRecord = {...PLANNED, ...TERM};
const LEASE = {
  holder: 'n',
  fence: 8,
  change: {...PLANNED, to: 'e-3'},
  changes: [CHANGE],
  completeIn: 1,
};

function parse(value: unknown) {
  return parseLease({name: 'promotion', revision: 3, era: 1, value});
}

describe('any value', () => {
  it('is a lease whose fields are of their types, or none', () => {
    const lease = fc.oneof(mutated(LEASE), oddValue);
    const property = fc.property(lease, value => {
      const snapshot = parse(value);
      if (!snapshot) return;
      const {holder, fence, change, changes, completeIn} = snapshot.record;
      assert.equal(typeof holder, 'string');
      assert.ok(Number.isSafeInteger(fence));
      assert.ok(changes!.every(isChangeRecord));
      const isKnown =
        change === undefined || isChangeRecord({...change, ...TERM});
      assert.ok(isKnown, String(change));
      assert.ok(completeIn === undefined || Number.isSafeInteger(completeIn));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('is a change record with a fence, or none', () => {
    const property = fc.property(mutated(CHANGE), value => {
      if (!isChangeRecord(value)) return;
      assert.ok(Number.isSafeInteger(value.fence));
      const records = withChanges(new Map([['g', CHANGE]]), [value]);
      assert.ok(records.get('g')!.fence >= CHANGE.fence);
      assert.ok(highestFence(records) >= CHANGE.fence);
      assert.ok(Number.isFinite(digestOf(records)));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
