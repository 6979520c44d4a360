import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  PeerFrameError,
  encodeCompressedFrame,
  encodeFrame,
  frameDecoder,
} from '../src/index.js';

const LIMIT_BYTES = 1 << 20;

/** A configuration as large as those of the platform. */
function configurationOf(routes: number): unknown {
  const list = [];
  for (let i = 0; i < routes; i++) {
    // Different for each route, as random names are.
    const name = ((i + 1) * 7_777_777).toString(36);
    list.push({
      name: `r-${name}`,
      database: `db${name}`,
      rule: i % 2 ? 'primary' : 'bounded',
      statementTimeoutMs: 800 + i,
      objectiveMs: 250,
      priority: i % 3,
      group: `s${i % 6}`,
      stalenessLimitMs: 1500,
    });
  }
  return {generation: 7, routes: list};
}

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

test('a configuration of hundreds of routes takes a small part of a slow link', () => {
  // The slowest links have 7 Mbit/s; an instance passes a change on over four,
  // three times a second while changes come in quick succession.
  const BYTES_PER_SECOND = 7_000_000 / 8;
  const SENT_PER_SECOND = 4 * 3;
  const LARGEST_PART = 0.2;
  const {length} = encodeCompressedFrame(configurationOf(460));
  const part = (length * SENT_PER_SECOND) / BYTES_PER_SECOND;
  assert.ok(part <= LARGEST_PART, `${length} bytes take ${part} of it`);
});

test('a compressed value is decoded wherever its frame is split', () => {
  const value = configurationOf(40);
  const frame = encodeCompressedFrame(value);
  assert.ok(frame.length < encodeFrame(value).length);
  for (let cut = 0; cut <= frame.length; cut += 7) {
    const decoder = frameDecoder(LIMIT_BYTES);
    const seen = [
      ...decoder.push(frame.subarray(0, cut)),
      ...decoder.push(frame.subarray(cut)),
    ];
    assert.deepEqual(seen, [value]);
  }
});

test('a value that would exceed the limit once decompressed is refused', () => {
  const frame = encodeCompressedFrame('x'.repeat(LIMIT_BYTES));
  assert.ok(frame.length < LIMIT_BYTES);
  assert.throws(
    () => frameDecoder(LIMIT_BYTES / 2).push(frame),
    PeerFrameError,
  );
});

for (const [what, item, isRefused] of [
  ['maps, refused', {}, true],
  ['arrays, refused', [], true],
  ['numbers, decoded', 1, false],
] as const) {
  test(`a short frame that stands for very many ${what}`, () => {
    const items = Array.from({length: 200_000}, () => item);
    const frame = encodeCompressedFrame(items);
    assert.ok(frame.length < 4096, `${frame.length} bytes`);
    const decode = () => frameDecoder(LIMIT_BYTES).push(frame);
    if (isRefused) assert.throws(decode, PeerFrameError);
    else assert.equal((decode()[0] as unknown[]).length, items.length);
  });
}

test('a copy of the entries that fill a frame is decoded', () => {
  const entry = {
    group: 'pension-ledger-1',
    address: '10.1.2.3:5432',
    dataCentre: 'ege-a',
    slots: 3,
    state: 'ready',
    role: 'replica',
    sequence: 1_000_000,
    coldMs: 0,
    startedAt: 1_700_000_000_000,
  };
  const events = Array.from({length: 9000}, (_, i) => ({
    object: {name: `i-${i}`, revision: 1_000_000 + i, value: entry},
    deleted: false,
  }));
  const frame = encodeCompressedFrame({type: 'kindDelta', delta: {events}});
  assert.equal(frameDecoder(2 * LIMIT_BYTES).push(frame).length, 1);
});
