import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {PeerFrameError, encodeFrame, frameDecoder} from '../src/index.js';

const SEED = 7;
const RUNS = 3000;
const MAX_BYTES = 256;
const COMPRESSED_BIT = 0x8000_0000;

test('arbitrary bytes decode to values or throw a PeerFrameError', () => {
  const body = fc.uint8Array({maxLength: 60});
  const args = [body, fc.nat(60), fc.boolean()] as const;
  const property = fc.property(...args, (bytes, cut, isCompressed) => {
    const head = Buffer.alloc(4);
    head.writeUInt32BE((isCompressed ? COMPRESSED_BIT : 0) + bytes.length);
    const whole = Buffer.concat([head, bytes]);
    const decoder = frameDecoder(MAX_BYTES);
    try {
      decoder.push(whole.subarray(0, cut));
      decoder.push(whole.subarray(cut));
    } catch (err) {
      assert.ok(err instanceof PeerFrameError, String(err));
    }
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test('an encoded value is decoded wherever its frame is split', () => {
  const json = fc
    .jsonValue()
    .filter(value => !JSON.stringify(value).includes('__proto__'));
  const property = fc.property(json, fc.nat(400), (value, cut) => {
    const frame = encodeFrame(value);
    const decoder = frameDecoder(1 << 20);
    const found = [
      ...decoder.push(frame.subarray(0, cut)),
      ...decoder.push(frame.subarray(cut)),
    ];
    assert.deepEqual(JSON.stringify(found), JSON.stringify([value]));
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test('a __proto__ key does not change a prototype', () => {
  const value = JSON.parse('{"__proto__": {"polluted": true}}') as unknown;
  const [found] = frameDecoder(MAX_BYTES).push(encodeFrame(value));
  assert.equal(Object.getPrototypeOf(found), Object.prototype);
  assert.equal(({} as {polluted?: boolean}).polluted, undefined);
});
