/**
 * Guards against statements that exceed the limit of an endpoint together
 * because they are served at the same moment: an endpoint's own queue then holds
 * those that should wait by priority here.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  DISTURBED,
  PRIMARY,
  disturbedLoad,
  mostInFlight,
} from './fault-loads.js';
import {playLoad} from './simulated-load.js';

const ONE_INSTANCE = 1;
const SEEDS = [1, 2] as const;
const PER_SLOT = 2;
/** Transactions send their next statement whatever is in flight. */
const IN_TRANSACTIONS = 4;
const END_MS = 8000;

describe('the statements in flight from one instance', () => {
  for (const seed of SEEDS) {
    it(`stay within its limit when many are served at once (seed ${seed})`, async () => {
      const load = disturbedLoad('all but one gone', ONE_INSTANCE, seed);
      const result = await playLoad(load);
      const most = mostInFlight(result, 0, END_MS, PRIMARY);
      const allowed = load.endpoints.slots * PER_SLOT + IN_TRANSACTIONS;
      assert.ok(most <= allowed, `${most} at once`);
      assert.ok(mostInFlight(result, 0, END_MS, DISTURBED) <= allowed);
    });
  }
});
