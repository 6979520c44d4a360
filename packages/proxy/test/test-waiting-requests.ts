/** What is left of requests that waited for a connection. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Clock, type Disposable} from '@quetzalreel/common';
import type {ConnectionLease, ConnectionRequest} from '../src/group-types.js';
import {waitingRequests} from '../src/waiting-requests.js';

/** A clock that stands still, with its timers that were not disposed of. */
class CountingClock extends Clock {
  readonly timers = new Set<() => void>();

  now(): number {
    return 0;
  }

  after(_delayMs: number, callback: () => void): Disposable {
    this.timers.add(callback);
    return {dispose: () => void this.timers.delete(callback)};
  }
}

const REQUEST = {
  primaryOnly: false,
  priority: 0,
  account: undefined,
  accountPriority: 0,
  objectiveAt: 1000,
  deadline: 5000,
  hasDisconnected: () => false,
} as unknown as ConnectionRequest;

describe('a request that waited', () => {
  it('keeps no timer, which would refer to its connection, once it is served', async () => {
    const clock = new CountingClock();
    const lease = {release() {}} as unknown as ConnectionLease;
    const free: ConnectionLease[] = [];
    const waiting = waitingRequests({
      clock,
      tryAcquire: () => ({lease: free.pop(), isHopeless: false}),
    });
    const served = waiting.wait(REQUEST);
    assert.equal(clock.timers.size, 1);
    free.push(lease);
    waiting.serve();
    assert.equal(await served, lease);
    assert.equal(clock.timers.size, 0);
  });
});
