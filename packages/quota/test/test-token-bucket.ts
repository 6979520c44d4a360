/** Grants of a token bucket, whatever is asked, held and settled. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {tokenBucket} from '../src/index.js';
import {heldTokens} from '../src/held-tokens.js';
import {ANSWER_MS, TOKEN_MS} from '../src/limits.js';

const WINDOW_MS = 5000;
const MS_PER_SECOND = 1000;

const limit = fc.record({
  ratePerSecond: fc.constantFrom(0, 0.5, 20, 300),
  burst: fc.constantFrom(0, 1, 7.3, 100),
});
const step = fc.record({
  pauseMs: fc.integer({min: 0, max: 900}),
  wanted: fc.nat(60),
  holdMs: fc.constantFrom(0, 80, 800),
  /** When its tokens are spent, as a share of the time for which they are held. */
  spentAt: fc.double({min: 0, max: 1, noNaN: true}),
  settles: fc.boolean(),
});

describe('a token bucket', () => {
  it('lets no window have more than its refill and one burst', () => {
    const steps = fc.array(step, {maxLength: 60});
    const property = fc.property(limit, steps, (granted, list) => {
      const bucket = tokenBucket(granted, 0);
      const spent: number[] = [];
      let now = 0;
      for (const [
        i,
        {pauseMs, wanted, holdMs, spentAt, settles},
      ] of list.entries()) {
        now += pauseMs;
        const count = bucket.take(wanted, now);
        bucket.hold(`${i}`, count, holdMs, now);
        // A settled grant was spent before; its report arrives now.
        if (settles) bucket.settle(`${i}`, 0, now);
        const at = settles ? now : now + holdMs * spentAt;
        for (let n = 0; n < count; n++) spent.push(at);
        const total = bucket.level(now) + bucket.outstanding(now);
        assert.ok(total <= granted.burst + 1e-6);
      }
      spent.sort((a, b) => a - b);
      const most =
        (granted.ratePerSecond * WINDOW_MS) / MS_PER_SECOND + granted.burst;
      for (const [i, from] of spent.entries()) {
        const until = spent.findIndex(at => at > from + WINDOW_MS);
        const end = until < 0 ? spent.length : until;
        assert.ok(end - i <= most + 1e-6, `${end - i} above ${most}`);
      }
    });
    fc.assert(property, {seed: 11, numRuns: 500});
  });

  it('takes unused tokens back while they are outstanding, and not later', () => {
    const bucket = tokenBucket({ratePerSecond: 0.001, burst: 10}, -1e9);
    assert.equal(bucket.take(10, 0), 10);
    bucket.hold('in time', 6, 800, 0);
    bucket.hold('late', 4, 800, 0);
    bucket.settle('in time', 5, 700);
    assert.equal(Math.floor(bucket.level(700)), 5);
    bucket.settle('late', 4, 801);
    assert.equal(Math.floor(bucket.level(801)), 5);
  });
});

describe('tokens', () => {
  const request = {lender: 'l', seq: 1, count: 5, ahead: 3, sentAt: 0};

  it('end by the time at which they were asked for, not when they arrive', () => {
    const held = heldTokens();
    held.noteSent({...request, suspensions: 0});
    held.noteGranted(1, 5, {now: ANSWER_MS - 1, suspensions: 0});
    assert.equal(held.count({now: ANSWER_MS - 1, suspensions: 0}), 5);
    assert.equal(held.count({now: ANSWER_MS, suspensions: 0}), 3);
    assert.equal(held.count({now: TOKEN_MS, suspensions: 0}), 0);
    const settled = held.takeSettled('l', {now: TOKEN_MS, suspensions: 0});
    assert.deepEqual(settled, [{seq: 1, unused: 3}]);
  });

  it('are void after a suspension, though the clock stood still', () => {
    const held = heldTokens();
    held.noteSent({...request, suspensions: 0});
    held.noteGranted(1, 5, {now: 1, suspensions: 0});
    assert.equal(held.spend({now: 2, suspensions: 1}), false);
  });

  it('of an answer to a request before a suspension are void', () => {
    const held = heldTokens();
    held.noteSent({...request, suspensions: 0});
    held.noteGranted(1, 5, {now: 1, suspensions: 1});
    assert.equal(held.count({now: 1, suspensions: 1}), 0);
  });
});
