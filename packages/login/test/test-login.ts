import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {Worker} from 'node:worker_threads';
import {query} from '@quetzalreel/wire';
import {type LoggedInClient, login} from '../src/login.js';

const TIMEOUT_MS = 5000;
/** Time that the event loop is blocked, so the query arrives meanwhile. */
const BUSY_MS = 100;

function startup(user: string): Buffer {
  const text = Buffer.from(`user\0${user}\0database\0d\0\0`);
  const head = Buffer.alloc(8);
  head.writeInt32BE(text.length + 8, 0);
  head.writeInt32BE(196608, 4);
  return Buffer.concat([head, text]);
}

/**
 * A client in a worker thread, which runs while the event loop is blocked. It
 * sends its query at ReadyForQuery and then ends the connection.
 */
const CLIENT = `
  const net = require('node:net');
  const {port, startup, request} = require('node:worker_threads').workerData;
  const client = net.connect(port, '127.0.0.1', () => client.write(startup));
  const READY = Buffer.from([0x5a, 0, 0, 0, 5]);
  client.on('data', chunk => chunk.includes(READY) && client.end(request));
`;

function busyFor(delayMs: number): void {
  const end = performance.now() + delayMs;
  while (performance.now() < end);
}

/** Runs a login and blocks the event loop while it completes. */
function loginWhileBusy(
  socket: net.Socket,
): Promise<LoggedInClient | undefined> {
  return login(socket, {
    timeoutMs: TIMEOUT_MS,
    parameters: {},
    async onStartup() {
      await new Promise(resolve => {
        setTimeout(resolve, 1);
        setTimeout(() => busyFor(BUSY_MS), 1);
      });
      return undefined;
    },
  });
}

async function bytesAfterLogin(socket: net.Socket): Promise<Buffer> {
  const client = await loginWhileBusy(socket);
  const parts = [...client!.earlyData];
  client!.socket.on('data', chunk => parts.push(chunk));
  client!.socket.resume();
  await new Promise(resolve => client!.socket.on('end', resolve));
  return Buffer.concat(parts);
}

for (const size of [10, 40_000]) {
  test(`a query of ${size} characters that arrives as the login completes is kept`, async () => {
    const request = query('SELECT 1'.padEnd(size));
    const server = net.createServer();
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as net.AddressInfo;
    const workerData = {port, startup: startup('u'), request};
    const client = new Worker(CLIENT, {eval: true, workerData});
    const socket = await new Promise<net.Socket>(resolve =>
      server.once('connection', resolve),
    );
    const bytes = await bytesAfterLogin(socket);
    socket.destroy();
    server.close();
    await client.terminate();
    assert.equal(bytes.length, request.length);
    assert.ok(bytes.equals(request));
  });
}
