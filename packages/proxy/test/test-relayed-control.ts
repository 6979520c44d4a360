/** Requests of a peer that control an endpoint, at the instance that relays them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {
  type EndpointRequest,
  SessionState,
  localAnswer,
} from '@quetzalreel/requests';
import {ConnectionWay} from '../src/connection-use.js';
import {noFacts} from '../src/endpoint-facts.js';
import type {ConnectionLease, GroupRuntime} from '../src/group-types.js';
import {serveRelayedRequests} from '../src/relayed-requests.js';

/** A group in which statements wait for ever and control requests don't. */
function busyGroup() {
  const ways: Array<ConnectionWay | undefined> = [];
  const lease = {
    link: {facts: noFacts(3)},
    pooled: {
      applySettings() {},
      send: async () => localAnswer(SessionState.Idle),
    },
    release() {},
  } as unknown as ConnectionLease;
  const group = {
    acquire: () => new Promise<undefined>(() => {}),
    async acquireForControl(_endpoint, _until, way) {
      ways.push(way);
      return lease;
    },
  } as Partial<GroupRuntime> as GroupRuntime;
  return {group, ways};
}

describe('behind statements that wait', () => {
  const requests: readonly EndpointRequest[] = [
    {type: 'status'},
    {type: 'stepDown', term: 3},
  ];
  for (const req of requests) {
    it(`a peer's ${req.type} gets a connection of this instance's own`, async () => {
      const {group, ways} = busyGroup();
      const served = serveRelayedRequests({
        group,
        endpoint: 'i-1',
        clock: manualClock(),
        idleTransactionMs: () => 1000,
        keep() {},
      });
      const answer = await Promise.race([
        served.send(req),
        new Promise(resolve => setImmediate(resolve, 'waits')),
      ]);
      assert.notEqual(answer, 'waits');
      assert.deepEqual(ways, [ConnectionWay.Direct]);
    });
  }
});
