import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerFrameError, encodeFrame, frameDecoder} from '../src/index.js';

test('values are decoded wherever the stream is split into chunks', () => {
  const values = [{a: 1}, ['b', null], 'c'];
  const stream = Buffer.concat(values.map(encodeFrame));
  for (let cut = 0; cut <= stream.length; cut++) {
    const decoder = frameDecoder(1000);
    const seen = [
      ...decoder.push(stream.subarray(0, cut)),
      ...decoder.push(stream.subarray(cut)),
    ];
    assert.deepEqual(seen, values);
  }
});

test('a frame over the limit is refused', () => {
  const decoder = frameDecoder(10);
  assert.throws(
    () => decoder.push(encodeFrame('x'.repeat(50))),
    PeerFrameError,
  );
});
