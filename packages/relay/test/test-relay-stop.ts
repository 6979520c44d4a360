/** What requesters see of the planned stop of a relay. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {encodeFrame} from '@quetzalreel/peer';
import {SessionState, answerMemory, localAnswer} from '@quetzalreel/requests';
import {startRelay} from '../src/index.js';

/** Nothing waits here. */
const MEMORY = answerMemory({
  sharedBytes: Infinity,
  heldBytes: Infinity,
  shortBytes: Infinity,
  answerBytes: Infinity,
});
const HOST = '127.0.0.1';
/** Answers that together are longer than what the network takes at once. */
const LONG_ROW = 'r'.repeat(1024 * 1024);
const ANSWERS = 32;
/** Limit for each wait, in milliseconds. */
const WAIT_MS = 5000;

async function until(holds: () => boolean, what: string): Promise<void> {
  const end = performance.now() + WAIT_MS;
  while (!holds()) {
    assert.ok(performance.now() < end, `timed out, waiting until ${what}`);
    await setTimeout(5);
  }
}

describe('a relay that stops', () => {
  it('does not cut answers that a requester has not received yet', async t => {
    let served = 0;
    const relay = await startRelay({
      host: HOST,
      port: 0,
      idleTimeoutMs: WAIT_MS,
      memory: MEMORY,
      serve: () => ({
        async send() {
          served++;
          return {...localAnswer(SessionState.Idle), rows: [LONG_ROW]};
        },
        observe: () => ({
          position: undefined,
          heardMsAgo: 0,
          silentMs: undefined,
          isRefusing: false,
        }),
        dispose() {},
      }),
      onEnd: () => {},
    });
    t.after(() => relay.dispose());
    const requester = net.connect({host: HOST, port: relay.port});
    t.after(() => requester.destroy());
    requester.pause();
    requester.write(encodeFrame({group: 'g', endpoint: 'i-1'}));
    for (let i = 0; i < ANSWERS; i++)
      requester.write(encodeFrame({type: 'forward', id: 'r', text: 'READ k'}));
    await until(() => served === ANSWERS, 'all requests were served');
    relay.stop();
    assert.equal(relay.activeRequesters, 1);
    let received = 0;
    requester.on('data', chunk => {
      received += chunk.length;
    });
    requester.resume();
    await until(() => relay.activeRequesters === 0, 'all was sent');
    relay.dispose();
    const isComplete = () => received > ANSWERS * LONG_ROW.length;
    await until(isComplete, 'all answers have arrived');
  });
});
