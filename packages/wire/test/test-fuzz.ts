import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type Frame,
  FrameError,
  frameSplitter,
  readBind,
  readError,
  readParameter,
  readParse,
  readQuery,
  readTarget,
} from '../src/index.js';

const SEED = 7;
const RUNS = 3000;
const MAX_BYTES = 256;

const READERS: Readonly<Record<string, (frame: Frame) => unknown>> = {
  Q: readQuery,
  P: readParse,
  B: readBind,
  D: readTarget,
  C: readTarget,
  E: readError,
  S: readParameter,
};

/** Returns the result, or undefined after a FrameError; any other error fails. */
function orFrameError<Value>(read: () => Value): Value | undefined {
  try {
    return read();
  } catch (err) {
    assert.ok(err instanceof FrameError, String(err));
    return undefined;
  }
}

test('any bytes in any chunks result in frames or a FrameError', () => {
  const chunks = fc.array(fc.uint8Array({maxLength: 40}), {maxLength: 8});
  const property = fc.property(chunks, list => {
    const splitter = frameSplitter(MAX_BYTES);
    for (const chunk of list) {
      const frames = orFrameError(() => splitter.push(Buffer.from(chunk)));
      if (!frames) return;
      for (const frame of frames) assert.ok(frame.bytes.length <= MAX_BYTES);
    }
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

for (const [type, read] of Object.entries(READERS)) {
  test(`any body of a message of type ${type} is parsed or results in a FrameError`, () => {
    const property = fc.property(fc.uint8Array({maxLength: 60}), body => {
      const bytes = Buffer.alloc(body.length + 5);
      bytes.write(type, 0, 'latin1');
      bytes.writeUInt32BE(body.length + 4, 1);
      bytes.set(body, 5);
      orFrameError(() => read({type, bytes}));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
}
