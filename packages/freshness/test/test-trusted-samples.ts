/** Reliability of sample ages across suspensions, and the position that a read
 * requires. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {trustedSamples, suspensionDetector} from '../src/index.js';

const AT_10 = {term: 1, offset: 10};
const AT_20 = {term: 1, offset: 20};

function setUp() {
  const clock = manualClock();
  let suspendedMs = 0;
  const now = () => clock.now();
  const detector = suspensionDetector(
    now,
    () => 1_000_000 + clock.now() + suspendedMs,
  );
  let discards = 0;
  const samples = trustedSamples(detector, now, () => discards++);
  return {
    clock,
    samples,
    /** Advances only the wall clock, as a suspension does. */
    suspend: (ms: number) => {
      suspendedMs += ms;
    },
    discards: () => discards,
  };
}

describe('the position that a read requires', () => {
  it('is that of the oldest sample within the staleness limit', () => {
    const {clock, samples} = setUp();
    samples.add({sentAt: 0, position: AT_10});
    samples.add({sentAt: 1000, position: AT_20});
    clock.advance(1400);
    assert.deepEqual(samples.requiredPosition(1500, undefined), AT_10);
    clock.advance(200);
    assert.deepEqual(samples.requiredPosition(1500, undefined), AT_20);
    clock.advance(1000);
    assert.equal(samples.requiredPosition(1500, undefined), undefined);
  });

  it('is the floor of the session if that is later', () => {
    const {samples} = setUp();
    samples.add({sentAt: 0, position: AT_10});
    assert.deepEqual(samples.requiredPosition(1500, AT_20), AT_20);
  });

  it('is of the newest term once there is a sample of that term', () => {
    const {clock, samples} = setUp();
    const next = {term: 2, offset: 5};
    samples.add({sentAt: 0, position: AT_20});
    samples.add({sentAt: 100, position: next});
    clock.advance(200);
    assert.deepEqual(samples.requiredPosition(1500, undefined), next);
  });

  it('is that of the sample if the floor is of an earlier term', () => {
    const {samples} = setUp();
    const next = {term: 2, offset: 5};
    samples.add({sentAt: 0, position: next});
    assert.deepEqual(samples.requiredPosition(1500, AT_20), next);
  });
});

describe('a suspension', () => {
  it('discards earlier samples', () => {
    const {samples, suspend, discards} = setUp();
    samples.add({sentAt: 0, position: AT_10});
    suspend(5000);
    assert.equal(samples.requiredPosition(1500, undefined), undefined);
    assert.equal(discards(), 1);
  });

  it('rejects samples of earlier requests, even if a read detects it first', () => {
    const {clock, samples, suspend} = setUp();
    const sentAt = clock.now();
    clock.advance(5);
    suspend(5000);
    // The read detects the suspension before the sample is added.
    assert.equal(samples.requiredPosition(1500, undefined), undefined);
    assert.equal(samples.add({sentAt, position: AT_10}), false);
    assert.equal(samples.requiredPosition(1500, undefined), undefined);
    clock.advance(1);
    assert.equal(samples.add({sentAt: clock.now(), position: AT_10}), true);
  });

  it('is also detected if the wall clock steps back', () => {
    const {samples, suspend} = setUp();
    samples.add({sentAt: 0, position: AT_10});
    suspend(-2000);
    assert.equal(samples.requiredPosition(1500, undefined), undefined);
  });

  it('is not detected in a small clock drift', () => {
    const {samples, suspend} = setUp();
    samples.add({sentAt: 0, position: AT_10});
    suspend(10);
    assert.deepEqual(samples.requiredPosition(1500, undefined), AT_10);
  });
});
