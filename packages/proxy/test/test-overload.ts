/**
 * A group of which only the primary can serve reads, at twice what it can run,
 * by a fleet in which four instances hold its connections. Plays the load on
 * the decisions, without a network, and counts what callers get in time.
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
/** Reads that come each second: twice what three slots run. */
const PER_SECOND = 300;
const LENGTH_MS = 20_000;
/** What a caller's first try may take, in milliseconds. */
const OBJECTIVE_MS = 400;
const STATEMENT_MS = 800;

interface Read extends QueuedRequest {
  readonly cameAt: number;
  /** When its asker gives this try up, monotonic milliseconds. */
  readonly patientUntil: number;
}

/** How long an asker waits for one try of a read, in milliseconds. */
const PATIENCE_MS = STATEMENT_MS * TIMES.readTryShare;

/** Reads answered within the objective, of all that came, when a holder lets
 * them wait for `waitMs` and has no more than `limit` under way. */
function shareInTime(limit: number, waitMs: number): number {
  const lines = Array.from({length: HOLDERS}, () => waitQueue<Read>());
  const underWay = new Array<number>(HOLDERS).fill(0);
  const queue: Array<{readonly read: Read; readonly holder: number}> = [];
  const slots: Array<{readonly read: Read; holder: number; left: number}> = [];
  let came = 0;
  let inTime = 0;
  for (let now = 0; now < LENGTH_MS; now++) {
    while (came < (now * PER_SECOND) / 1000) {
      const lateAt = now + waitMs;
      const patientUntil = now + PATIENCE_MS;
      const rest = {primaryOnly: false, priority: 1};
      lines[came % HOLDERS]!.add({
        ...rest,
        cameAt: now,
        objectiveAt: lateAt,
        patientUntil,
      });
      came++;
    }
    for (const [holder, line] of lines.entries()) {
      const take = (read: Read) => {
        // It was told that no connection is free.
        if (now - read.cameAt > waitMs) return true;
        if (underWay[holder]! >= limit) return false;
        underWay[holder]!++;
        queue.push({read, holder});
        return true;
      };
      line.offer(take, line.size + 1, now);
    }
    while (slots.length < SLOTS && queue.length > 0) {
      slots.push({...queue.shift()!, left: WORK_MS});
    }
    for (const running of [...slots]) {
      running.left--;
      if (running.left > 0) continue;
      slots.splice(slots.indexOf(running), 1);
      underWay[running.holder]!--;
      const {cameAt, patientUntil} = running.read;
      const isInTime = now <= patientUntil && now - cameAt <= OBJECTIVE_MS;
      if (isInTime) inTime++;
    }
  }
  return inTime / came;
}

/** As long as one asker waits but for the queue of the endpoint. */
const LONG_WAIT_MS = 200;

describe('an overfull primary behind holders', () => {
  it('serves in time nearly all that it can run', () => {
    const limit = maxInFlightPerHolder(SLOTS, HOLDERS);
    const share = shareInTime(limit, TIMES.relayedAcquireMs);
    assert.ok(share > 0.48, `${share} of the reads`);
  });

  it('would serve next to nothing in time without a limit', () => {
    const {limit} = initialLimit(SLOTS);
    const share = shareInTime(limit, LONG_WAIT_MS);
    assert.ok(share < 0.1, `${share} of the reads`);
  });
});

describe('what one holder may have under way', () => {
  it('is its part of what the slots take, and no less than two', () => {
    assert.equal(maxInFlightPerHolder(3, 1), 6);
    assert.equal(maxInFlightPerHolder(3, 2), 3);
    assert.equal(maxInFlightPerHolder(3, 4), 2);
    assert.equal(maxInFlightPerHolder(3, 6), 2);
  });
});
