/** Tests the expected time of reads at an endpoint. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {NO_ANSWERS, afterAnswer, expectedMs} from '../src/answer-time.js';
import {TIMES} from '../src/defaults.js';

describe('the expected time of a read', () => {
  it('is assumed before the first answer', () => {
    assert.equal(expectedMs(NO_ANSWERS, 100), TIMES.initialAnswerMs);
  });

  it('approaches the time that reads take', () => {
    let known = NO_ANSWERS;
    for (let now = 0; now < 2000; now += 20)
      known = afterAnswer(known, 80, now);
    assert.ok(expectedMs(known, 2000) > 75);
  });

  it('falls again without answers, so that the endpoint is tried again', () => {
    const slow = afterAnswer({meanMs: 500, at: 0}, 500, 0);
    assert.ok(expectedMs(slow, 500) > 400);
    assert.ok(expectedMs(slow, 20_000) < 2 * TIMES.initialAnswerMs);
  });
});
