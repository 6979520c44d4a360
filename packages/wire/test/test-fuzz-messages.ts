/**
 * Streams of valid messages with a few bytes changed, which get further into the
 * readers than arbitrary bytes do.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {anyBytes, inChunks, mutatedBytes} from '@quetzalreel/checks';
import {
  type Frame,
  FrameError,
  TransactionStatus,
  checkExecute,
  closeStatement,
  commandComplete,
  dataRow,
  errorResponse,
  frameSplitter,
  message,
  parameterStatus,
  parse,
  query,
  readBind,
  readBindNames,
  readError,
  readParameter,
  readParse,
  readQuery,
  readStatus,
  readTarget,
  readyForQuery,
} from '../src/index.js';

const SEED = 49;
const RUNS = 2000;
const MAX_BYTES = 128;

const BIND = message(
  'B',
  Buffer.from(
    'p\0s\0\0\x01\0\0\0\x02\0\0\0\x01x\xff\xff\xff\xff\0\0',
    'latin1',
  ),
);
const EXECUTE = message('E', Buffer.from('p\0\0\0\0\0', 'latin1'));

const frames = fc
  .array(
    fc.constantFrom(
      query('SELECT 1'),
      parse('s', 'SELECT 1'),
      BIND,
      EXECUTE,
      closeStatement('s'),
      errorResponse({severity: 'ERROR', code: 'XX000', message: 'm'}),
      parameterStatus('a', 'b'),
      readyForQuery(TransactionStatus.Open),
      dataRow(['a', null]),
      commandComplete('SELECT 1'),
    ),
    {maxLength: 5},
  )
  .map(list => Buffer.concat(list));

const STATUSES: ReadonlySet<unknown> = new Set(
  Object.values(TransactionStatus),
);

/** The readers of each type; a type may have one for each direction. */
const READERS: Readonly<Record<string, ReadonlyArray<(frame: Frame) => void>>> =
  {
    Q: [readQuery],
    P: [readParse],
    B: [readBind, readBindNames],
    E: [checkExecute, readError],
    C: [readTarget],
    D: [readTarget],
    S: [readParameter],
    Z: [frame => assert.ok(STATUSES.has(readStatus(frame)))],
  };

/** Whether `read` returned; false after a FrameError. Any other error fails. */
function isRead(read: () => void): boolean {
  try {
    read();
    return true;
  } catch (err) {
    assert.ok(err instanceof FrameError, String(err));
    return false;
  }
}

test('changed messages in any chunks are parsed or result in a FrameError', () => {
  const stream = fc.oneof(mutatedBytes(frames), anyBytes(100));
  const property = fc.property(inChunks(stream), chunks => {
    const splitter = frameSplitter(MAX_BYTES);
    for (const chunk of chunks) {
      const found: Frame[] = [];
      if (!isRead(() => found.push(...splitter.push(chunk)))) return;
      for (const frame of found) {
        assert.ok(frame.bytes.length <= MAX_BYTES);
        for (const read of READERS[frame.type] ?? []) isRead(() => read(frame));
      }
    }
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test('unchanged messages are the same wherever the chunks end', () => {
  const property = fc.property(inChunks(frames), chunks => {
    const splitter = frameSplitter(MAX_BYTES);
    const found = chunks.flatMap(chunk => splitter.push(chunk));
    const bytes = found.map(frame => frame.bytes);
    assert.deepEqual(Buffer.concat(bytes), Buffer.concat(chunks));
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});
