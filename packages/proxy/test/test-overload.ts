/**
 * Simulates, without a network, a group in which only the primary can serve
 * reads, under twice the load that it can run, with four instances holding its
 * connections. Guards against holders that queue so many reads that nearly all
 * are answered too late: counts the reads answered in time.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {initialLimit, maxInFlightPerHolder} from '../src/concurrency.js';
import {TIMES} from '../src/defaults.js';
import {type QueuedRequest, waitQueue} from '../src/wait-queue.js';

const SLOTS = 3;
const HOLDERS = 4;
/** Time of one statement on a slot, in milliseconds. */
const WORK_MS = 20;
/** Reads that arrive per second: twice what three slots can run. */
const PER_SECOND = 300;
const LENGTH_MS = 20_000;
/** Objective for a caller's first attempt, in milliseconds. */
const OBJECTIVE_MS = 400;
const STATEMENT_MS = 800;

interface Read extends QueuedRequest {
  readonly arrivedAt: number;
  /** When its requester gives up this attempt, in monotonic milliseconds. */
  readonly givesUpAt: number;
}

/** How long a requester waits for one attempt of a read, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = STATEMENT_MS * TIMES.readAttemptFraction;

/**
 * Returns the share of all reads that are answered within the objective, when a
 * holder lets them wait for `waitMs` and has at most `limit` in flight.
 */
function shareInTime(limit: number, waitMs: number): number {
  const queues = Array.from({length: HOLDERS}, () => waitQueue<Read>());
  const inFlight = new Array<number>(HOLDERS).fill(0);
  const queue: Array<{readonly read: Read; readonly holder: number}> = [];
  const slots: Array<{readonly read: Read; holder: number; left: number}> = [];
  let arrived = 0;
  let inTime = 0;
  for (let now = 0; now < LENGTH_MS; now++) {
    while (arrived < (now * PER_SECOND) / 1000) {
      const objectiveAt = now + waitMs;
      const givesUpAt = now + ATTEMPT_TIMEOUT_MS;
      const account = {account: '', accountPriority: 0};
      const rest = {primaryOnly: false, priority: 1, ...account};
      queues[arrived % HOLDERS]!.add({
        ...rest,
        arrivedAt: now,
        objectiveAt,
        givesUpAt,
      });
      arrived++;
    }
    for (const [holder, waiting] of queues.entries()) {
      const start = (read: Read) => {
        // The requester got the error that no connection is free.
        if (now - read.arrivedAt > waitMs) return true;
        if (inFlight[holder]! >= limit) return false;
        inFlight[holder]!++;
        queue.push({read, holder});
        return true;
      };
      waiting.dispatch(start, waiting.size + 1, now);
    }
    while (slots.length < SLOTS && queue.length > 0) {
      slots.push({...queue.shift()!, left: WORK_MS});
    }
    for (const running of [...slots]) {
      running.left--;
      if (running.left > 0) continue;
      slots.splice(slots.indexOf(running), 1);
      inFlight[running.holder]!--;
      const {arrivedAt, givesUpAt} = running.read;
      const isInTime = now <= givesUpAt && now - arrivedAt <= OBJECTIVE_MS;
      if (isInTime) inTime++;
    }
  }
  return inTime / arrived;
}

/**
 * Time that a requester may wait at the holder, not counting the time in the
 * endpoint's queue, in milliseconds.
 */
const LONG_WAIT_MS = 200;

describe('an overloaded primary behind holders', () => {
  it('serves nearly as many reads in time as it can run', () => {
    const limit = maxInFlightPerHolder(SLOTS, HOLDERS);
    const share = shareInTime(limit, TIMES.relayedAcquireMs);
    assert.ok(share > 0.48, `${share} of the reads`);
  });

  it('would serve almost no read in time without a limit', () => {
    const {limit} = initialLimit(SLOTS);
    const share = shareInTime(limit, LONG_WAIT_MS);
    assert.ok(share < 0.1, `${share} of the reads`);
  });
});

describe('the in-flight limit of one holder', () => {
  it('is its share of the slots, and at least two', () => {
    assert.equal(maxInFlightPerHolder(3, 1), 6);
    assert.equal(maxInFlightPerHolder(3, 2), 3);
    assert.equal(maxInFlightPerHolder(3, 4), 2);
    assert.equal(maxInFlightPerHolder(3, 6), 2);
  });
});
