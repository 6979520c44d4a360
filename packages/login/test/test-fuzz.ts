/**
 * Logins under arbitrary input: an error in the library that reads the startup
 * message must end the login, not the process, and a client that sends without an
 * end must be refused.
 */
import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, it} from 'node:test';
import fc from 'fast-check';
import {anyBytes, inChunks, mutatedBytes} from '@quetzalreel/checks';
import {type LoggedInClient, login} from '../src/index.js';

const SEED = 50;
const HOST = '127.0.0.1';
const PROTOCOL_VERSION = 196608;
const SSL_REQUEST = 80877103;
const CANCEL_REQUEST = 80877102;
/** More than a client may send before it is logged in. */
const TOO_MANY_BYTES = 64 * 1024;

function startup(version: number, text: string): Buffer {
  const head = Buffer.alloc(8);
  head.writeInt32BE(text.length + 8, 0);
  head.writeInt32BE(version, 4);
  return Buffer.concat([head, Buffer.from(text)]);
}

const STARTUP = startup(PROTOCOL_VERSION, 'user\0rider\0database\0entries\0\0');
const PASSWORD = Buffer.from('p\0\0\0\x0bsecret\0', 'latin1');

const QUERY = Buffer.from('Q\0\0\0\x08abc\0', 'latin1');

const messages = fc
  .array(
    fc.constantFrom(
      STARTUP,
      STARTUP,
      PASSWORD,
      QUERY,
      startup(SSL_REQUEST, ''),
      startup(CANCEL_REQUEST, '\0\0\0\0\0\0\0\0'),
      startup(PROTOCOL_VERSION, '\0'),
      startup(PROTOCOL_VERSION, 'user\0'),
    ),
    {maxLength: 3},
  )
  .map(list => Buffer.concat(list));

let server: net.Server;
/** Ends of the logins that have begun. */
let logins: Array<Promise<LoggedInClient | undefined>> = [];

before(async () => {
  server = net.createServer(socket => {
    const client = login(socket, {
      timeoutMs: 5000,
      parameters: {},
      verify: async (_, password) => password === 'secret',
    });
    logins.push(client.finally(() => socket.destroy()));
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
});
after(() => server.close());

async function send(chunks: readonly Buffer[], ends: boolean): Promise<void> {
  const {port} = server.address() as net.AddressInfo;
  const socket = net.connect({host: HOST, port});
  socket.setNoDelay(true);
  socket.on('error', () => {});
  socket.resume();
  for (const chunk of chunks) socket.write(chunk);
  if (ends) socket.end();
  await new Promise<void>(resolve => socket.once('close', () => resolve()));
}

it('logs a client in or refuses it, whatever it sends', async () => {
  const stream = fc.oneof(mutatedBytes(messages), anyBytes(60));
  const property = fc.asyncProperty(inChunks(stream), async chunks => {
    logins = [];
    await send(chunks, true);
    for (const client of await Promise.all(logins)) {
      if (!client) continue;
      assert.equal(typeof client.user, 'string');
      assert.equal(typeof client.database, 'string');
    }
  });
  await fc.assert(property, {seed: SEED, numRuns: 150});
});

it('refuses a query before the login, and does not write it to the output', async t => {
  const written = t.mock.method(console, 'log', () => {});
  const {port} = server.address() as net.AddressInfo;
  logins = [];
  const socket = net.connect({host: HOST, port});
  socket.on('error', () => {});
  // The request for the password.
  socket.once('data', () => socket.write(QUERY));
  socket.write(STARTUP);
  await new Promise<void>(resolve => socket.once('close', () => resolve()));
  assert.deepEqual(await Promise.all(logins), [undefined]);
  assert.equal(written.mock.callCount(), 0);
});

it('a startup message that is too short is not written to the output', async t => {
  const written = t.mock.method(console, 'error', () => {});
  const length = fc.constantFrom(0, 1, 4, 5, 7);
  const property = fc.asyncProperty(length, async item => {
    logins = [];
    await send([Buffer.from([0, 0, 0, item, 0, 0, 0, 0])], true);
    assert.equal(written.mock.callCount(), 0);
  });
  await fc.assert(property, {seed: SEED, numRuns: 5});
});

it('a startup message that is too short ends the connection at once, also in pieces', async t => {
  const written = t.mock.method(console, 'error', () => {});
  const message = Buffer.from([0, 0, 0, 7, 0, 0, 0, 0]);
  logins = [];
  await send(
    [...message].map(byte => Buffer.from([byte])),
    false,
  );
  assert.deepEqual(await Promise.all(logins), [undefined]);
  assert.equal(written.mock.callCount(), 0);
});

it('refuses a client that sends too much before it is logged in', async () => {
  const start = fc.constantFrom(
    startup(PROTOCOL_VERSION, 'u'.repeat(TOO_MANY_BYTES)),
    Buffer.concat([STARTUP, PASSWORD.subarray(0, 6)]),
  );
  const property = fc.asyncProperty(start, async first => {
    logins = [];
    await send([first, Buffer.alloc(TOO_MANY_BYTES, 'u')], false);
    assert.deepEqual(await Promise.all(logins), [undefined]);
  });
  await fc.assert(property, {seed: SEED, numRuns: 5});
});
