/** No window is above the bound, whatever fails, in random runs. */
import assert from 'node:assert/strict';
import {it} from 'node:test';
import fc from 'fast-check';
import type {RateLimit} from '../src/index.js';
import {
  type QuotaNetwork,
  boundOf,
  mostInWindow,
  quotaNetwork,
} from './quota-network.js';

const ACCOUNT = 'a';
const COUNT = 5;
/** Time between two actions; a run covers takeovers. */
const MAX_PAUSE_MS = 9000;
const MAX_LAG_MS = 1000;
const RUNS = 60;

type Action =
  | {readonly type: 'kill' | 'restart' | 'leave'; readonly index: number}
  | {
      readonly type: 'suspend';
      readonly index: number;
      readonly ms: number;
      readonly stopsClock: boolean;
    }
  | {readonly type: 'join'}
  | {
      /** Sides by index; the store answers one side, or all, or none. */
      readonly type: 'partition';
      readonly sides: readonly boolean[];
      readonly served: 'first' | 'second' | 'all' | 'none';
    }
  | {readonly type: 'heal'}
  | {readonly type: 'lose'; readonly percent: number}
  | {readonly type: 'limit'; readonly limit: RateLimit};

const index = fc.nat(COUNT - 1);
const limit = fc.record({
  ratePerSecond: fc.constantFrom(2, 20, 100),
  burst: fc.constantFrom(1, 10, 60),
});
const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    type: fc.constantFrom('kill' as const, 'restart', 'leave'),
    index,
  }),
  fc.record({
    type: fc.constant('suspend' as const),
    index,
    ms: fc.integer({min: 50, max: 25_000}),
    stopsClock: fc.boolean(),
  }),
  fc.constant({type: 'join' as const}),
  fc.record({
    type: fc.constant('partition' as const),
    sides: fc.array(fc.boolean(), {minLength: COUNT, maxLength: COUNT}),
    served: fc.constantFrom('first' as const, 'second', 'all', 'none'),
  }),
  fc.constant({type: 'heal' as const}),
  fc.record({type: fc.constant('lose' as const), percent: fc.nat(40)}),
  fc.record({type: fc.constant('limit' as const), limit}),
);
const plan = fc.record({
  seed: fc.nat(),
  knowsRenewal: fc.boolean(),
  first: limit,
  /** Operations that are asked for, as a share of the rate. */
  load: fc.constantFrom(0.9, 2, 6),
  steps: fc.array(
    fc.record({action, pauseMs: fc.integer({min: 100, max: MAX_PAUSE_MS})}),
    {minLength: 3, maxLength: 9},
  ),
});

function perform(network: QuotaNetwork, step: Action, name: string): void {
  const {instances} = network;
  switch (step.type) {
    case 'kill':
    case 'restart':
    case 'leave': {
      const instance = instances[step.index]!;
      if (!instance.isAlive) {
        network.start(instance.instance);
        return;
      }
      if (step.type === 'leave') network.leave(instance);
      network.kill(instance);
      const {instance: known} = instance;
      if (step.type === 'restart') {
        network.clock.after(network.random(3000), () => {
          if (!instance.isAlive) network.start(known);
        });
      }
      return;
    }
    case 'suspend':
      network.suspend(instances[step.index]!, step.ms, step.stopsClock);
      return;
    case 'join':
      network.start(name);
      return;
    case 'partition': {
      const sideOf = (i: number) => (step.sides[i] ? 1 : 0);
      const served = {first: [0], second: [1], all: [0, 1], none: []};
      const answered: readonly number[] = served[step.served];
      network.partition(sideOf, i => answered.includes(sideOf(i)));
      return;
    }
    case 'heal':
      network.partition(
        () => 0,
        () => true,
      );
      return;
    case 'lose':
      network.lossPercent = step.percent;
      return;
    case 'limit':
      return;
  }
}

/** The time in which a limit is in force everywhere. */
interface Period {
  readonly limit: RateLimit;
  readonly from: {readonly at: number};
  until: number;
}

it('no window is above the bound under random faults', async t => {
  let highest = 0;
  const property = fc.asyncProperty(
    plan,
    async ({seed, knowsRenewal, first, load, steps}) => {
      const network = quotaNetwork({
        count: COUNT,
        seed,
        limits: new Map([[ACCOUNT, first]]),
        knowsRenewal,
      });
      const periods: Period[] = [
        {limit: first, from: {at: 0}, until: Infinity},
      ];
      let rate: number = first.ratePerSecond;
      const ask = () => {
        for (let due = (rate * load) / 1000; due > 0; due--) {
          if (due < 1 && network.random(1000) >= due * 1000) break;
          const instance = network.instances[network.random(COUNT)]!;
          network.ask(instance, ACCOUNT);
        }
      };
      await network.run(3000, ask);
      for (const [i, step] of steps.entries()) {
        const now = network.clock.now();
        perform(network, step.action, `new-${i}`);
        if (step.action.type === 'limit') {
          const {limit} = step.action;
          const limits = new Map([[ACCOUNT, limit]]);
          const from = network.setLimits(limits, MAX_LAG_MS);
          periods.at(-1)!.until = Math.min(periods.at(-1)!.until, now);
          periods.push({limit, from, until: Infinity});
          rate = Math.max(rate, limit.ratePerSecond);
        }
        await network.run(step.pauseMs, ask);
      }
      for (const {limit, from, until} of periods) {
        const times = (network.admitted.get(ACCOUNT) ?? []).filter(
          at => at >= from.at && at < until,
        );
        const share = mostInWindow(times) / boundOf(limit);
        highest = Math.max(highest, share);
        assert.ok(share <= 1, `${share} of the bound`);
      }
      network.dispose();
    },
  );
  await fc.assert(property, {
    seed: 31,
    numRuns: RUNS,
  });
  t.diagnostic(`at most ${highest.toFixed(3)} of the bound`);
});
