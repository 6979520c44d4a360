import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Clock, manualClock} from '@quetzalreel/common';
import {periodicTick} from '../src/periodic-tick.js';

const EVERY_MS = 50;
const timers = manualClock();

/** A clock that goes on without its timers while the process is held up. */
class HeldUpClock extends Clock {
  heldMs = 0;
  now(): number {
    return timers.now() + this.heldMs;
  }
  after(delayMs: number, callback: () => void) {
    return timers.after(delayMs, callback);
  }
}

test('the periodic work tells by how much it was late, and ends when disposed', () => {
  const clock = new HeldUpClock();
  const delays: number[] = [];
  let runs = 0;
  const ticking = periodicTick({
    clock,
    everyMs: EVERY_MS,
    run: () => runs++,
    onDelay: delayMs => delays.push(delayMs),
  });
  timers.advance(EVERY_MS);
  clock.heldMs = 700;
  timers.advance(EVERY_MS);
  ticking.dispose();
  timers.advance(10 * EVERY_MS);
  assert.deepEqual(delays, [0, 700]);
  assert.equal(runs, 3);
});
