/**
 * A client may send its first request right after ReadyForQuery, before the
 * caller of `login` reads the socket. That request must not be lost.
 */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {it} from 'node:test';
import {login} from '../src/index.js';

const PROTOCOL_VERSION = 196608;
const READY_FOR_QUERY = Buffer.from([0x5a, 0, 0, 0, 5, 0x49]);

function startupMessage(): Buffer {
  const body = Buffer.from('user\0rider\0database\0entries\0\0');
  const head = Buffer.alloc(8);
  head.writeInt32BE(body.length + 8, 0);
  head.writeInt32BE(PROTOCOL_VERSION, 4);
  return Buffer.concat([head, body]);
}

function queryMessage(sql: string): Buffer {
  const body = Buffer.from(`${sql}\0`);
  const head = Buffer.alloc(5);
  head.write('Q');
  head.writeInt32BE(body.length + 4, 1);
  return Buffer.concat([head, body]);
}

/** A client that sends its request as soon as it receives ReadyForQuery. */
function eagerClient(request: Buffer): Duplex {
  const socket = new Duplex({
    read() {},
    write(chunk: Buffer, _encoding, done) {
      if (chunk.includes(READY_FOR_QUERY))
        setImmediate(() => socket.push(request));
      done();
    },
  });
  socket.push(startupMessage());
  return socket;
}

it('keeps a request that is sent right after ReadyForQuery', async () => {
  const request = queryMessage('SELECT 1');
  const socket = eagerClient(request) as Socket;
  const client = await login(socket, {timeoutMs: 5000, parameters: {}});
  assert.ok(client);
  const received = [...client.earlyData];
  client.socket.on('data', (chunk: Buffer) => received.push(chunk));
  client.socket.resume();
  await new Promise(resolve => setImmediate(resolve));
  assert.deepEqual(Buffer.concat(received), request);
  client.socket.destroy();
});
