/**
 * A message in many small chunks must not take time that grows with the square of
 * its length: 4 MiB in chunks of 256 bytes kept a process busy for 3.5 s.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {chunkBuffer} from '../src/index.js';

const SEED = 57;

describe('a buffer of chunks', () => {
  it('returns all bytes in their order once there are enough', () => {
    const chunk = fc.uint8Array({maxLength: 20}).map(item => Buffer.from(item));
    const property = fc.property(
      fc.array(chunk, {maxLength: 20}),
      fc.nat(30),
      fc.nat(60),
      (chunks, first, next) => {
        const buffer = chunkBuffer(first);
        let needed = first;
        let waiting = Buffer.alloc(0);
        for (const item of chunks) {
          const before = Buffer.from(item);
          const found = buffer.push(item);
          waiting = Buffer.concat([waiting, before]);
          assert.deepEqual(item, before);
          assert.equal(found !== undefined, waiting.length >= needed);
          if (!found) continue;
          assert.deepEqual(found, waiting);
          // One byte is read, and the rest is kept.
          waiting = waiting.subarray(1);
          needed = next;
          buffer.keep(found.subarray(1), needed);
        }
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 2000});
  });

  it('copies a byte a few times at most, however small the chunks are', t => {
    const length = 100_000;
    const buffer = chunkBuffer(length);
    const copy = t.mock.method(Buffer.prototype, 'copy');
    for (let i = 0; i < length - 1; i++) buffer.push(Buffer.from([i & 0xff]));
    let copied = 0;
    for (const {result} of copy.mock.calls) copied += result as number;
    assert.ok(copied <= 4 * length, `${copied} bytes`);
  });
});
