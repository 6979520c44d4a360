/** What accounts get of their limits in fleets, in calm and under faults. */
import assert from 'node:assert/strict';
import {type TestContext, describe, it} from 'node:test';
import type {RateLimit} from '../src/index.js';
import {
  type QuotaNetwork,
  RULE,
  type SimulatedInstance,
  boundOf,
  mostInWindow,
  quotaNetwork,
} from './quota-network.js';

const MS_PER_SECOND = 1000;
/** Buckets start empty, and fill within this time. */
const START_MS = 8000;
const LOAD_MS = 15_000;
/** So many that chance refuses no share near the bounds. */
const MIN_OPERATIONS = 2000;
const MIN_SERVED = 0.9;

const LARGE: RateLimit = {ratePerSecond: 120, burst: 60};
const MEDIUM: RateLimit = {ratePerSecond: 30, burst: 9};
const SMALL: RateLimit = {ratePerSecond: 3, burst: 2};

/** Chooses the instance for an operation, by its index. */
type Spread = (network: QuotaNetwork) => number;

interface Profile {
  readonly what: string;
  readonly spread: Spread;
  /** Share of the operations below the limit that may be refused. */
  readonly maxLoss: number;
}

const evenly: Spread = ({instances, random}) => random(instances.length);

const PROFILES: readonly Profile[] = [
  {what: 'even', spread: evenly, maxLoss: 0.01},
  {
    what: '70% on one instance',
    spread: network => (network.random(100) < 70 ? 0 : evenly(network)),
    maxLoss: 0.02,
  },
  {what: 'on one instance', spread: () => 0, maxLoss: 0.02},
  {
    what: 'moving every two seconds',
    spread: ({clock, instances}) =>
      Math.floor(clock.now() / (2 * MS_PER_SECOND)) % instances.length,
    maxLoss: 0.02,
  },
];

const nameOf = ({ratePerSecond, burst}: RateLimit) =>
  `${ratePerSecond}/s with a burst of ${burst}`;

/** Operations of a Poisson process, at `share` of the limit. */
function poissonLoad(
  network: QuotaNetwork,
  limit: RateLimit,
  share: number,
  spread: Spread,
): () => void {
  const perMs = (limit.ratePerSecond * share) / MS_PER_SECOND;
  let due = 0;
  const pauseMs = () =>
    -Math.log((network.random(1_000_000) + 1) / 1_000_001) / perMs;
  return () => {
    due = Math.max(due, network.clock.now());
    for (; due < network.clock.now() + 1; due += pauseMs())
      network.ask(network.instances[spread(network)]!, nameOf(limit));
  };
}

/** A network in which one limit is asked for, after the buckets are full. */
async function filledNetwork(count: number, limit: RateLimit) {
  const limits = new Map([[nameOf(limit), limit]]);
  const network = quotaNetwork({count, seed: 1, limits, knowsRenewal: true});
  await network.run(START_MS);
  return network;
}

interface Counts {
  readonly admitted: readonly number[];
  readonly refused: readonly number[];
}

function countsSince(
  network: QuotaNetwork,
  limit: RateLimit,
  from: number,
): Counts {
  const since = (times: readonly number[] = []) =>
    times.filter(at => at >= from);
  return {
    admitted: since(network.admitted.get(nameOf(limit))),
    refused: since(network.refused.get(nameOf(limit))),
  };
}

/** Refused operations in whose window no more were asked than the limit. */
function lossesOf({admitted, refused}: Counts, limit: RateLimit): number {
  const usual =
    (limit.ratePerSecond * RULE.windowMs) / MS_PER_SECOND + limit.burst;
  const all = [...admitted, ...refused].sort((a, b) => a - b);
  let losses = 0;
  for (const at of refused) {
    const from = all.findIndex(other => other > at - RULE.windowMs);
    let until = from;
    while (until < all.length && all[until]! <= at) until++;
    if (until - from <= usual) losses++;
  }
  return losses;
}

function checkBound(t: TestContext, network: QuotaNetwork, limit: RateLimit) {
  const most = mostInWindow(network.admitted.get(nameOf(limit)) ?? []);
  const bound = boundOf(limit);
  t.diagnostic(`${most} of ${bound.toFixed(1)} in a window`);
  assert.ok(most <= bound, `${most} above ${bound}`);
}

function refusesLittle(
  count: number,
  limit: RateLimit,
  {what, spread, maxLoss}: Profile,
  share: number,
): void {
  it(`${count} instances refuse little of ${share} of ${nameOf(limit)}, ${what}`, async t => {
    const network = await filledNetwork(count, limit);
    const loadMs = Math.max(
      LOAD_MS,
      Math.ceil((MIN_OPERATIONS * MS_PER_SECOND) / limit.ratePerSecond),
    );
    await network.run(loadMs, poissonLoad(network, limit, share, spread));
    const counts = countsSince(network, limit, START_MS);
    const asked = counts.admitted.length + counts.refused.length;
    const losses = lossesOf(counts, limit);
    t.diagnostic(`${losses} of ${asked} lost, ${network.messages} messages`);
    assert.ok(losses <= asked * maxLoss, `${losses} of ${asked} lost`);
    checkBound(t, network, limit);
    network.dispose();
  });
}

function servesLimit(
  count: number,
  limit: RateLimit,
  {what, spread}: Profile,
  share: number,
): void {
  it(`${count} instances serve ${nameOf(limit)} of ${share} times as much, ${what}`, async t => {
    const network = await filledNetwork(count, limit);
    await network.run(LOAD_MS, poissonLoad(network, limit, share, spread));
    const steadyMs = LOAD_MS - RULE.windowMs;
    const from = START_MS + RULE.windowMs;
    const {admitted} = countsSince(network, limit, from);
    const allowed = (limit.ratePerSecond * steadyMs) / MS_PER_SECOND;
    const served = admitted.length / allowed;
    t.diagnostic(`${served.toFixed(3)} served, ${network.messages} messages`);
    assert.ok(served >= MIN_SERVED, `${served} served`);
    checkBound(t, network, limit);
    network.dispose();
  });
}

describe('five instances', () => {
  for (const limit of [LARGE, MEDIUM, SMALL]) {
    for (const profile of PROFILES) {
      for (const share of [1 / 1.6, 0.95])
        refusesLittle(5, limit, profile, share);
      for (const share of [1.5, 7.5]) servesLimit(5, limit, profile, share);
    }
  }
});

describe('sixty instances', () => {
  for (const limit of [LARGE, MEDIUM]) {
    for (const profile of PROFILES) {
      refusesLittle(60, limit, profile, 0.95);
      servesLimit(60, limit, profile, 7.5);
    }
  }
});

const FAULT_MS = 5000;
const AFTER_MS = 40_000;

function firstOwner(network: QuotaNetwork): SimulatedInstance {
  const [state] = network.instances[0]!.quotas.state;
  const name = state!.owners[0];
  return network.instances.find(({instance}) => instance === name)!;
}

interface Fault {
  readonly what: string;
  start(network: QuotaNetwork, owner: SimulatedInstance): void;
  /** Least share of the limit that is served afterwards. */
  readonly minServed: number;
}

/** Faults that are tested in the large fleet as well. */
const FAULTS_OF_LARGE_FLEET = 3;
/** Two of the three owners remain; the rest counts as chance. */
const WITHOUT_ONE_OWNER = 0.6;

const FAULTS: readonly Fault[] = [
  {
    what: 'an owner is killed',
    start: (network, owner) => network.kill(owner),
    minServed: WITHOUT_ONE_OWNER,
  },
  {
    what: 'an owner is cut from its peers and the store',
    start(network, owner) {
      const index = network.instances.indexOf(owner);
      network.partition(
        i => (i === index ? 1 : 0),
        i => i !== index,
      );
    },
    minServed: WITHOUT_ONE_OWNER,
  },
  {
    what: 'an instance starts in the middle of a window',
    start: network => network.start('new'),
    minServed: MIN_SERVED,
  },
  {
    what: 'an owner is killed and starts again',
    start(network, owner) {
      network.kill(owner);
      network.clock.after(700, () => network.start(owner.instance));
    },
    minServed: MIN_SERVED,
  },
  {
    what: 'an owner is suspended for 2 s',
    start: (network, owner) => network.suspend(owner, 2000, false),
    minServed: MIN_SERVED,
  },
  {
    what: 'an owner is suspended for 2 s and its clock stops',
    start: (network, owner) => network.suspend(owner, 2000, true),
    minServed: MIN_SERVED,
  },
  {
    what: 'an owner leaves',
    start(network, owner) {
      network.leave(owner);
      network.clock.after(1000, () => network.kill(owner));
    },
    minServed: MIN_SERVED,
  },
  {
    what: 'the store is away',
    start: network =>
      network.partition(
        () => 0,
        () => false,
      ),
    minServed: MIN_SERVED,
  },
];

describe('with twice the limit', () => {
  for (const count of [5, 60]) {
    const faults =
      count === 5 ? FAULTS : FAULTS.slice(0, FAULTS_OF_LARGE_FLEET);
    for (const {what, start, minServed} of faults) {
      it(`${count} instances serve it and no more while ${what}`, async t => {
        const network = await filledNetwork(count, LARGE);
        const load = poissonLoad(network, LARGE, 2, evenly);
        await network.run(FAULT_MS, load);
        start(network, firstOwner(network));
        await network.run(AFTER_MS, load);
        const from = START_MS + FAULT_MS;
        const {admitted} = countsSince(network, LARGE, from);
        const allowed = (LARGE.ratePerSecond * AFTER_MS) / MS_PER_SECOND;
        const served = admitted.length / allowed;
        t.diagnostic(`${served.toFixed(3)} served`);
        assert.ok(served >= minServed, `${served} served`);
        checkBound(t, network, LARGE);
        network.dispose();
      });
    }
  }

  it('a limit far below what is sent is binding once it is in force', async t => {
    const network = await filledNetwork(5, LARGE);
    const load = poissonLoad(network, LARGE, 1, evenly);
    await network.run(FAULT_MS, load);
    const lowered = {ratePerSecond: 4, burst: 4};
    network.setLimits(new Map([[nameOf(LARGE), lowered]]), 1);
    await network.run(FAULT_MS, load);
    const from = START_MS + FAULT_MS + 1;
    const {admitted} = countsSince(network, LARGE, from);
    const most = mostInWindow(admitted);
    t.diagnostic(`${most} of ${boundOf(lowered)} in a window`);
    assert.ok(most <= boundOf(lowered));
    network.dispose();
  });
});
