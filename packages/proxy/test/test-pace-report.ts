/**
 * Guards against instances that go through a relay and each have to find out for
 * themselves that an endpoint is not well.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ManualClock, manualClock} from '@quetzalreel/common';
import {RelayedConnection} from '@quetzalreel/relay';
import {PaceReason, afterReturn} from '../src/endpoint-pace.js';
import type {ConnectionLease, GroupRuntime} from '../src/group-types.js';
import {createLog} from '../src/log.js';
import {runStatement} from '../src/run-request.js';
import {simulatedGroup} from './simulated-endpoint.js';
import {simulatedFleet} from './simulated-fleet.js';

const IDS = ['e-0', 'e-1', 'e-2'] as const;
const ENDPOINT = 'e-1';
const FLEET = 70;
const TRAITS = {
  slots: 4,
  queueLength: 32,
  openingMs: 12,
  maxConnections: 56,
  lagMs: 90,
  transitMs: 1,
};
const START_MS = 1500;
const ANSWER_MS = 40;
const READ = {
  type: 'forward',
  id: 'r1',
  text: 'READ 5',
  atLeast: {term: 1, offset: 0},
} as const;
const BOUNDS = {timeoutMs: 500, commits: false, onPrimary: false};

async function pass(clock: ManualClock, ms: number): Promise<void> {
  for (let i = 0; i < ms; i++) {
    clock.advance(1);
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** A requester and its lease through a holder that found the endpoint back. */
async function withLoweredHolders() {
  const clock = manualClock();
  const {driver} = simulatedGroup(clock, IDS, TRAITS);
  const log = createLog('test', {write: () => {}});
  const context = {...TRAITS, clock, log, driver, endpoints: IDS};
  const groups = simulatedFleet(FLEET, {...context, chance: () => 0.5});
  await pass(clock, START_MS);
  let requester: GroupRuntime | undefined;
  for (const group of groups) {
    const {facts, plan} = group.links.get(ENDPOINT)!;
    if (plan.isHolder) facts.pace = afterReturn(facts.pace, clock.now());
    else requester ??= group;
  }
  const group = requester!;
  const {facts} = group.links.get(ENDPOINT)!;
  assert.equal(facts.pace.share, 1);
  const until = clock.now() + 1;
  const acquired = group.acquireForControl(ENDPOINT, until);
  await pass(clock, 1);
  const lease: ConnectionLease = (await acquired)!;
  return {clock, group, facts, lease};
}

describe('what a holder knows of an endpoint', () => {
  it('reaches a requester with the answer to a statement', async () => {
    const {clock, group, facts, lease} = await withLoweredHolders();
    const answer = runStatement({clock, group}, lease, READ, BOUNDS);
    await pass(clock, ANSWER_MS);
    assert.equal((await answer).error, undefined);
    assert.equal(facts.pace.reason, PaceReason.Reported);
    assert.ok(facts.pace.share < 1);
  });

  it('reaches a requester with an observation', async () => {
    const {clock, facts, lease} = await withLoweredHolders();
    const {connection} = lease.pooled;
    assert.ok(connection instanceof RelayedConnection);
    const askedAt = clock.now();
    const observation = connection.fetchObservation(BOUNDS.timeoutMs);
    await pass(clock, ANSWER_MS);
    lease.link.noteObservation(await observation, askedAt);
    assert.equal(facts.pace.reason, PaceReason.Reported);
    assert.ok(facts.pace.share < 1);
  });
});
