import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  FrameError,
  errorResponse,
  frameSplitter,
  query,
  readError,
  readQuery,
  readyForQuery,
} from '../src/index.js';

test('frames are assembled from chunks that are split at any byte', () => {
  const stream = Buffer.concat([query('SELECT 1'), query('SELECT 2')]);
  for (let cut = 0; cut <= stream.length; cut++) {
    const splitter = frameSplitter(100);
    const frames = [
      ...splitter.push(stream.subarray(0, cut)),
      ...splitter.push(stream.subarray(cut)),
    ];
    assert.deepEqual(frames.map(readQuery), ['SELECT 1', 'SELECT 2']);
  }
});

test('a frame over the size limit is rejected before its body arrives', () => {
  const header = query('x'.repeat(200)).subarray(0, 5);
  assert.throws(() => frameSplitter(100).push(header), FrameError);
});

test('an impossible length is rejected', () => {
  const bad = Buffer.from([0x51, 0, 0, 0, 1]);
  assert.throws(() => frameSplitter(100).push(bad), /impossible length/);
});

test('an ErrorResponse keeps its fields when built and parsed', () => {
  const fields = {
    severity: 'ERROR',
    code: 'QR001',
    message: 'not run',
    hint: 'Send it again.',
  } as const;
  const [frame] = frameSplitter(1000).push(errorResponse(fields));
  assert.deepEqual(readError(frame!), fields);
});

test('a ReadyForQuery has a body of one byte', () => {
  const [frame] = frameSplitter(100).push(readyForQuery('T'));
  assert.equal(frame!.bytes.length, 6);
});
