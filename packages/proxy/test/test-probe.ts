/** Tests of a probe through a holder. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {systemClock} from '@quetzalreel/common';
import {SessionState, localAnswer} from '@quetzalreel/requests';
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
import {answerMemory} from '@quetzalreel/requests';
import {ANSWER_LIMITS} from '../src/defaults.js';

const MEMORY = answerMemory(ANSWER_LIMITS);
const OBSERVATION: EndpointObservation = {
  position: {term: 1, offset: 5},
  heardMsAgo: 3,
  silentMs: undefined,
  isRefusing: false,
};

describe('a probe through a holder', () => {
  it("requests the holder's observation and sends nothing to the endpoint", async () => {
    const clock = systemClock();
    let observedAt = Infinity;
    const asked: string[] = [];
    const relay = await startRelay({
      host: '127.0.0.1',
      port: 0,
      idleTimeoutMs: 1000,
      memory: MEMORY,
      serve: () => ({
        async send(req) {
          asked.push(req.type);
          return localAnswer(SessionState.Idle);
        },
        observe() {
          observedAt = clock.now();
          return OBSERVATION;
        },
        dispose() {},
      }),
      onEnd: () => {},
    });
    const target = {group: 'g', endpoint: 'i-1'};
    const via = `127.0.0.1:${relay.port}`;
    const connection = await connectViaRelay(via, target, 1000, MEMORY);
    const observations: EndpointObservation[] = [];
    const before = clock.now();
    let countedFrom = -Infinity;
    let isReusable: boolean | undefined;
    // Only the members of a link, a lease and a group that this probe uses.
    const link = {
      noteObservation(observation: EndpointObservation, askedAt: number) {
        observations.push(observation);
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
    assert.deepEqual(observations, [OBSERVATION]);
    assert.deepEqual(asked, []);
    assert.ok(countedFrom >= before && countedFrom <= observedAt);
    assert.equal(isReusable, true);
    connection.dispose();
    relay.dispose();
  });
});
