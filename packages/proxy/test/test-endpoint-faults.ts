/**
 * Plays the usual load while an endpoint is disturbed. Guards against callers
 * who suffer from one endpoint while others could serve them, and against an
 * endpoint that is flooded, or left idle, when it comes back.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  COLD_END_MS,
  DISTURBANCES,
  type DisturbanceName,
  FAULT_END_MS,
  FIRST_MS,
  carriesAfterMs,
  disturbedLoad,
  mostInFlight,
  resultText,
} from './fault-loads.js';
import {type SecondOutcome, playLoad} from './simulated-load.js';

const SEEDS = [1, 2] as const;
/** Fleets of one, and in which instances hold connections of their own, and share them. */
const CASES = [
  {instances: 1, seed: 1},
  {instances: 5, seed: 1},
  {instances: 5, seed: 2},
  {instances: 70, seed: 1},
] as const;
/**
 * Share of each kind of operation that is answered within its objective while
 * the other endpoints can carry the load.
 */
const SERVED_TARGET = 0.97;
/** The same of the highest priority where they can't. */
const PRESSED_TARGET = 0.93;
/**
 * Most statements in flight in the first second after a return: two for a slot,
 * so that one waits for each that runs, and those of open transactions.
 */
const FIRST_IN_FLIGHT = 4 * 2 + 2;
/** Time in which it carries its share again: the cold time, and two seconds. */
const CARRIES_MS = COLD_END_MS - FAULT_END_MS + 2000;

async function play(name: DisturbanceName, instances: number, seed: number) {
  const result = await playLoad(disturbedLoad(name, instances, seed));
  return {result, what: resultText(name, result)};
}

function shareInTime({asked, inTime}: SecondOutcome): number {
  return inTime / asked;
}

for (const {instances, seed} of CASES) {
  const title = `${instances} instances, seed ${seed}`;
  describe(`a disturbed endpoint (${title})`, () => {
    for (const name of ['fails 45%', 'slowed 8 times'] as const) {
      it(`costs callers little: ${name}`, async () => {
        const {result, what} = await play(name, instances, seed);
        for (const outcome of result.byClass.values())
          assert.ok(shareInTime(outcome) >= SERVED_TARGET, what);
      });
    }

    it('is not flooded when it returns cold after a shortage', async () => {
      const name = 'all but one gone';
      const {result, what} = await play(name, instances, seed);
      const {backAtMs} = DISTURBANCES[name];
      const most = mostInFlight(result, backAtMs, backAtMs + FIRST_MS);
      assert.ok(most <= FIRST_IN_FLIGHT, what);
    });

    it('carries its share soon after it returns under high load', async () => {
      const name = 'returns cold, high load';
      const {result, what} = await play(name, instances, seed);
      const tookMs = carriesAfterMs(result, DISTURBANCES[name].backAtMs);
      assert.ok(tookMs <= CARRIES_MS, what);
      for (const outcome of result.byClass.values())
        assert.ok(shareInTime(outcome) >= PRESSED_TARGET, what);
    });
  });
}

describe('the only endpoint left, with more load than it can run', () => {
  for (const seed of SEEDS) {
    it(`serves the highest priority in time (5 instances, seed ${seed})`, async () => {
      const {result, what} = await play('all but one gone', 5, seed);
      const outcome = result.byClass.get('corrections')!;
      assert.ok(shareInTime(outcome) >= PRESSED_TARGET, what);
    });
  }
});
