/**
 * Streams of peers under arbitrary input. What a frame decodes to must not be far
 * larger than the frame: a message that is passed on is encoded again, and one
 * that grows then takes the memory of the process.
 */
import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import fc from 'fast-check';
import {anyBytes, inChunks, mutated, mutatedBytes} from '@quetzalreel/checks';
import {systemClock} from '@quetzalreel/common';
import {
  PeerFrameError,
  encodeCompressedFrame,
  encodeFrame,
  frameDecoder,
  tcpTransport,
} from '../src/index.js';

const SEED = 44;
const RUNS = 2000;
const MAX_BYTES = 4096;

const MESSAGE = {type: 'note', from: '10.0.0.1:1', list: [1, 2], more: {n: 1}};
const LONG = {type: 'note', rows: 'r'.repeat(3000)};

const frames = fc
  .array(fc.constantFrom<unknown>(MESSAGE, LONG, 7, null, ''), {maxLength: 4})
  .map(values =>
    Buffer.concat(
      values.flatMap(value => [
        encodeFrame(value),
        encodeCompressedFrame(value),
      ]),
    ),
  );

/** Number of values in `value`, counted up to `most`. */
function sizeOf(value: unknown, most: number): number {
  const left = [value];
  let size = 0;
  for (; left.length > 0 && size < most; size++) {
    const item = left.pop();
    if (typeof item !== 'object' || item === null) continue;
    if (ArrayBuffer.isView(item)) continue;
    for (const inner of Object.values(item)) left.push(inner);
  }
  return size;
}

test('changed frames in any chunks decode to values no larger than the frames, or throw a PeerFrameError', () => {
  const stream = fc.oneof(mutatedBytes(frames), anyBytes(100));
  const property = fc.property(inChunks(stream), chunks => {
    const decoder = frameDecoder(MAX_BYTES);
    for (const chunk of chunks) {
      try {
        for (const value of decoder.push(chunk))
          assert.ok(sizeOf(value, 2 * MAX_BYTES) <= MAX_BYTES);
      } catch (err) {
        assert.ok(err instanceof PeerFrameError, String(err));
        return;
      }
    }
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test('unchanged frames decode to their values wherever the chunks end', () => {
  const property = fc.property(inChunks(frames), chunks => {
    const decoder = frameDecoder(MAX_BYTES);
    const found = chunks.flatMap(chunk => decoder.push(chunk));
    const whole = frameDecoder(MAX_BYTES).push(Buffer.concat(chunks));
    assert.deepEqual(found, whole);
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

/** A frame with this CBOR value. */
function frameWith(body: readonly number[]): Buffer {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, Buffer.from(body)]);
}

/** CBOR: an array of `count` values, fewer than 24. */
const arrayOf = (count: number) => 0x80 + count;
/** CBOR: the value that follows can be referred to. */
const SHAREABLE = [0xd8, 28];
/** CBOR: the shareable value of number `id`, below 24. */
const reference = (id: number) => [0xd8, 29, id];

test('a frame whose values contain each other twice is refused', () => {
  const levels = 20;
  const body = [arrayOf(levels), ...SHAREABLE, arrayOf(1), 1];
  for (let id = 0; id < levels - 1; id++)
    body.push(...SHAREABLE, arrayOf(2), ...reference(id), ...reference(id));
  const decoder = frameDecoder(MAX_BYTES);
  assert.throws(() => decoder.push(frameWith(body)), PeerFrameError);
});

test('a value of any type that messages have is decoded', () => {
  const values = [
    undefined,
    -1.5,
    Infinity,
    Number.MAX_SAFE_INTEGER,
    '\xe9'.repeat(300),
    Buffer.alloc(70_000, 0xc0),
    {a: [null, true, {}], '\u{1f600}': ''},
  ];
  const found = frameDecoder(1 << 20).push(encodeFrame(values));
  assert.deepEqual(found, [values]);
});

test('a frame that inflates above the limit is refused', () => {
  const frame = encodeCompressedFrame('r'.repeat(2 * MAX_BYTES));
  assert.ok(frame.length < MAX_BYTES);
  assert.throws(() => frameDecoder(MAX_BYTES).push(frame), PeerFrameError);
});

const LIMITS = {
  maxFrameBytes: MAX_BYTES,
  maxQueuedBytes: 100_000,
  responseTimeoutMs: 60_000,
  idleMs: 60_000,
  connectMs: 10_000,
};

interface Note {
  readonly type: 'note';
}

const HELLO = {version: 1, address: '127.0.0.1:1', minor: 1};

function isEncodable(value: unknown): boolean {
  try {
    encodeFrame(value);
    return true;
  } catch {
    // The encoder recurses into nested values.
    return false;
  }
}

const hello = fc.oneof(
  fc.constant<unknown>(HELLO),
  mutated(HELLO).filter(isEncodable),
);
const linkStream = fc
  .tuple(hello, frames, fc.constantFrom('ping', 'pong', 7, null))
  .map(([first, rest, control]) =>
    Buffer.concat([encodeFrame(first), rest, encodeFrame({control})]),
  );

test('a link with any bytes ends with a reason, and the other links go on', async t => {
  const notes: Note[] = [];
  const addresses: unknown[] = [];
  const peer = await tcpTransport<Note>({
    host: '127.0.0.1',
    port: 0,
    clock: systemClock(),
    limits: LIMITS,
    check: (value): value is Note =>
      (value as Partial<Note> | null)?.type === 'note',
    onMessage: note => notes.push(note),
    onLinkError: address => addresses.push(address),
  });
  t.after(() => peer.dispose());
  const port = Number(peer.address.split(':')[1]);

  function send(chunks: readonly Buffer[]): Promise<void> {
    return new Promise(resolve => {
      const socket = net.connect({host: '127.0.0.1', port});
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => resolve());
      socket.resume();
      for (const chunk of chunks) socket.write(chunk);
      socket.end();
    });
  }

  const stream = fc.oneof(linkStream, mutatedBytes(linkStream), anyBytes(100));
  const property = fc.asyncProperty(inChunks(stream), async chunks => {
    await send(chunks);
    const before = notes.length;
    await send([encodeFrame(HELLO), encodeFrame({type: 'note'})]);
    assert.equal(notes.length, before + 1);
    for (const address of addresses.splice(0))
      assert.equal(typeof address, 'string');
    // A hello with an odd address must not become an address to send to.
    peer.send('127.0.0.1:1', {type: 'note'});
  });
  await fc.assert(property, {seed: SEED, numRuns: 150});
  assert.ok(peer.traffic.links <= 2, `${peer.traffic.links} links`);
});
