/** What a connection to a relay counts as held after it was closed. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {type DisposableStore, disposableStore} from '@quetzalreel/common';
import {encodeFrame} from '@quetzalreel/peer';
import {answerMemory} from '@quetzalreel/requests';
import {connectViaRelay} from '../src/index.js';
import type {RelayMessage} from '../src/messages.js';

const HOST = '127.0.0.1';
const CONNECT_TIMEOUT_MS = 1000;
const CONNECTIONS = 4;
/** Time for answers to begin, and for what a closed socket still hands out, in
 * milliseconds. */
const SETTLE_MS = 300;
/** Small, so that all connections but one have to wait. */
const LIMITS = {
  sharedBytes: 50_000,
  heldBytes: 100_000,
  shortBytes: 1000,
  answerBytes: 64 * 1024 * 1024,
};
const ROWS: RelayMessage = {type: 'rows', rows: ['x'.repeat(10_000)]};
/** Frames with rows, of an answer that never ends. */
const FRAMES = 2000;

/** Starts a relay whose answers begin and never end. */
async function endlessRelay(owned: DisposableStore): Promise<string> {
  const opening = encodeFrame({type: 'open', version: 1});
  const rows = Buffer.concat(
    Array.from({length: FRAMES}, () => encodeFrame(ROWS)),
  );
  const server = net.createServer(socket => {
    owned.add({dispose: () => void socket.destroy()});
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      socket.write(opening);
      socket.on('data', () => void socket.write(rows));
    });
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  owned.add({dispose: () => void server.close()});
  return `${HOST}:${(server.address() as net.AddressInfo).port}`;
}

describe('closed connections to a relay, on which answers waited', () => {
  it('count nothing as held, so that later answers arrive', async t => {
    const owned = disposableStore();
    t.after(() => owned.dispose());
    const memory = answerMemory(LIMITS);
    const via = await endlessRelay(owned);
    const target = {group: 'g', endpoint: 'i-1'};
    const connections = await Promise.all(
      Array.from({length: CONNECTIONS}, () =>
        connectViaRelay(via, target, CONNECT_TIMEOUT_MS, memory),
      ),
    );
    for (const connection of connections)
      connection.send({type: 'rollback'}).catch(() => {});
    await setTimeout(SETTLE_MS);
    assert.ok(memory.heldBytes > LIMITS.sharedBytes, 'answers wait');
    for (const connection of connections) connection.dispose();
    await setTimeout(SETTLE_MS);
    assert.equal(memory.heldBytes, 0);
  });
});
