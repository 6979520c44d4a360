/** What a probe asks, directly and through a holder. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {systemClock} from '@quetzalreel/common';
import {
  type EndpointRequest,
  SessionState,
  localAnswer,
} from '@quetzalreel/requests';
import {
  type EndpointObservation,
  connectViaRelay,
  startRelay,
} from '@quetzalreel/relay';
import type {GroupRuntime, ConnectionLease} from '../src/group-types.js';
import {createLog} from '../src/log.js';
import {ANY_ENDPOINT} from '../src/placement.js';
import {pooledConnection} from '../src/pooled-connection.js';
import {probe} from '../src/probe.js';

const SIGN: EndpointObservation = {
  position: {term: 1, offset: 5},
  heardMsAgo: 3,
  silentMs: undefined,
  isRefusing: false,
};

describe('a probe through a holder', () => {
  it('asks what the holder knows, and nothing of the endpoint', async () => {
    const clock = systemClock();
    let toldAt = Infinity;
    const asked: Array<EndpointRequest['type']> = [];
    const relay = await startRelay({
      host: '127.0.0.1',
      port: 0,
      idleTimeoutMs: 1000,
      serve: () => ({
        async send(req) {
          asked.push(req.type);
          return localAnswer(SessionState.Idle);
        },
        observe() {
          toldAt = clock.now();
          return SIGN;
        },
        dispose() {},
      }),
      onEnd: () => {},
    });
    const target = {group: 'g', endpoint: 'i-1'};
    const via = `127.0.0.1:${relay.port}`;
    const connection = await connectViaRelay(via, target, 1000);
    const signs: EndpointObservation[] = [];
    const before = clock.now();
    let countedFrom = -Infinity;
    let isReusable: boolean | undefined;
    // The parts of a link, a lease and a group that this probe may use.
    const link = {
      noteObservation(sign: EndpointObservation, askedAt: number) {
        signs.push(sign);
        countedFrom = askedAt;
      },
    };
    const lease = {
      need: ANY_ENDPOINT,
      link,
      pooled: pooledConnection(connection, 0),
      release(reusable: boolean) {
        isReusable = reusable;
      },
    } as unknown as ConnectionLease;
    await probe(lease, {
      clock,
      group: {} as unknown as GroupRuntime,
      log: createLog('test', {write: () => {}}),
      timeoutMs: 500,
    });
    assert.deepEqual(signs, [SIGN]);
    assert.deepEqual(asked, []);
    assert.ok(countedFrom >= before && countedFrom <= toldAt);
    assert.equal(isReusable, true);
    connection.dispose();
    relay.dispose();
  });
});
