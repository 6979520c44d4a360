/** Pauses between failed attempts, and how often peers are asked meanwhile. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {Verdict} from '@quetzalreel/peer-queries';
import {backoffMs} from '../src/backoff.js';
import type {EndpointLink} from '../src/endpoint-link.js';
import {endpointReachability} from '../src/endpoint-reachability.js';
import {createLog} from '../src/log.js';
import {listedEndpoint} from './listed.js';

describe('a pause after failures', () => {
  it('doubles up to its bound', () => {
    const bounds = {firstMs: 50, mostMs: 400};
    const pauses = [0, 1, 2, 3, 4, 9].map(count => backoffMs(count, bounds));
    assert.deepEqual(pauses, [50, 50, 100, 200, 400, 400]);
  });
});

/** Number of questions about a silent endpoint in ten seconds. */
async function questionsIn10s(isHolder: boolean): Promise<number> {
  const clock = manualClock();
  let asked = 0;
  const reachability = endpointReachability({
    clock,
    log: createLog('test', {write: () => {}}),
    async ask() {
      asked++;
      return {verdict: Verdict.Unreached, relay: undefined};
    },
    onFound: () => {},
  });
  // Only the members of a link that are read here.
  const link = {
    listed: listedEndpoint('i-1'),
    facts: {unansweredSince: 0},
    plan: {isHolder},
    isOnDetour: false,
  } as unknown as EndpointLink;
  for (let ms = 0; ms < 10_000; ms += 50) {
    clock.advance(50);
    reachability.askPeersIfDue(link);
    await new Promise(resolve => setImmediate(resolve));
  }
  return asked;
}

describe('peers are asked about a silent endpoint', () => {
  it('ever more seldom while they do not reach it either', async () => {
    // 25 at a fixed interval of 400 ms.
    assert.ok((await questionsIn10s(true)) <= 9);
  });

  it('hardly by an instance that goes through holders anyway', async () => {
    assert.ok((await questionsIn10s(false)) <= 4);
  });
});
