/**
 * What endpoints send, under arbitrary input: a request whose answer can't be read
 * must be told that, or its caller waits for its timeout.
 */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {test} from 'node:test';
import fc from 'fast-check';
import {anyBytes, inChunks, mutatedBytes} from '@quetzalreel/checks';
import {
  TransactionStatus,
  commandComplete,
  dataRow,
  parameterStatus,
  readyForQuery,
} from '@quetzalreel/wire';
import {COMMIT_POSITION_PARAMETER, EndpointDownError} from '../src/index.js';
import {pgConnection} from '../src/pg-connection.js';

const SEED = 53;
const RUNS = 1000;

const frames = fc
  .array(
    fc.constantFrom(
      dataRow(['a', null]),
      commandComplete('SELECT 1'),
      parameterStatus(COMMIT_POSITION_PARAMETER, '1/2'),
      parameterStatus('a', 'b'),
      readyForQuery(TransactionStatus.Idle),
      readyForQuery(TransactionStatus.Open),
    ),
    {maxLength: 6},
  )
  .map(list => Buffer.concat(list));

/** A socket on which `push` delivers what an endpoint sends. */
function endpointSocket(): Socket {
  return new Duplex({
    allowHalfOpen: false,
    read() {},
    write(_chunk, _encoding, done) {
      done();
    },
  }) as Socket;
}

test('a request ends once, with its last frame or an EndpointDownError', async () => {
  const stream = fc.oneof(frames, mutatedBytes(frames), anyBytes(100));
  const property = fc.asyncProperty(inChunks(stream), async chunks => {
    const socket = endpointSocket();
    const connection = pgConnection('e', socket);
    let ends = 0;
    connection.send(Buffer.alloc(0), {
      frame(frame) {
        assert.equal(ends, 0);
        if (frame.type === 'Z') ends++;
      },
      broken(err) {
        assert.ok(err instanceof EndpointDownError);
        ends++;
      },
    });
    for (const chunk of chunks) if (chunk.length > 0) socket.push(chunk);
    socket.push(null);
    await new Promise(resolve => socket.once('close', resolve));
    assert.equal(ends, 1);
    assert.equal(connection.open, false);
  });
  await fc.assert(property, {seed: SEED, numRuns: RUNS});
});
