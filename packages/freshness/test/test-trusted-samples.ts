/** Ages of samples across suspensions, and what reads must see. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {trustedSamples, suspensionDetector} from '../src/index.js';

const AT_10 = {term: 1, offset: 10};
const AT_20 = {term: 1, offset: 20};

function bookOnClocks() {
  const clock = manualClock();
  let sleptMs = 0;
  const now = () => clock.now();
  const guard = suspensionDetector(
    now,
    () => 1_000_000 + clock.now() + sleptMs,
  );
  let voids = 0;
  const book = trustedSamples(guard, now, () => voids++);
  return {
    clock,
    book,
    /** Time that only the time of day counts. */
    sleep: (ms: number) => {
      sleptMs += ms;
    },
    voids: () => voids,
  };
}

describe('what a read must see', () => {
  it('is the oldest sample that is young enough', () => {
    const {clock, book} = bookOnClocks();
    book.add({sentAt: 0, position: AT_10});
    book.add({sentAt: 1000, position: AT_20});
    clock.advance(1400);
    assert.deepEqual(book.required(1500, undefined), AT_10);
    clock.advance(200);
    assert.deepEqual(book.required(1500, undefined), AT_20);
    clock.advance(1000);
    assert.equal(book.required(1500, undefined), undefined);
  });

  it('is the floor of the session when that is further', () => {
    const {book} = bookOnClocks();
    book.add({sentAt: 0, position: AT_10});
    assert.deepEqual(book.required(1500, AT_20), AT_20);
  });

  it('is of the newest term once that has a sample', () => {
    const {clock, book} = bookOnClocks();
    const next = {term: 2, offset: 5};
    book.add({sentAt: 0, position: AT_20});
    book.add({sentAt: 100, position: next});
    clock.advance(200);
    assert.deepEqual(book.required(1500, undefined), next);
  });

  it('is the sample when the floor is of a replaced term', () => {
    const {book} = bookOnClocks();
    const next = {term: 2, offset: 5};
    book.add({sentAt: 0, position: next});
    assert.deepEqual(book.required(1500, AT_20), next);
  });
});

describe('a suspension', () => {
  it('makes earlier samples void', () => {
    const {book, sleep, voids} = bookOnClocks();
    book.add({sentAt: 0, position: AT_10});
    sleep(5000);
    assert.equal(book.required(1500, undefined), undefined);
    assert.equal(voids(), 1);
  });

  it('makes answers to earlier questions void, whoever notices it first', () => {
    const {clock, book, sleep} = bookOnClocks();
    const sentAt = clock.now();
    clock.advance(5);
    sleep(5000);
    // A read notices the suspension before the answer is taken.
    assert.equal(book.required(1500, undefined), undefined);
    assert.equal(book.add({sentAt, position: AT_10}), false);
    assert.equal(book.required(1500, undefined), undefined);
    clock.advance(1);
    assert.equal(book.add({sentAt: clock.now(), position: AT_10}), true);
  });

  it('counts when the time of day steps back as well', () => {
    const {book, sleep} = bookOnClocks();
    book.add({sentAt: 0, position: AT_10});
    sleep(-2000);
    assert.equal(book.required(1500, undefined), undefined);
  });

  it('is not seen in a small drift', () => {
    const {book, sleep} = bookOnClocks();
    book.add({sentAt: 0, position: AT_10});
    sleep(10);
    assert.deepEqual(book.required(1500, undefined), AT_10);
  });
});
