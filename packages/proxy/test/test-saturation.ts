/**
 * Plays loads near the capacity of one group, with the figures of a deployment
 * of 72 instances whose connections are shared by holders.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ReadRule} from '../src/routes.js';
import {
  type CallerClass,
  type LoadOptions,
  type SecondOutcome,
  playLoad,
} from './simulated-load.js';

const ENDPOINTS = {
  slots: 3,
  queueLength: 24,
  openingMs: 27,
  maxConnections: 156,
  lagMs: 20,
  transitMs: 1,
};
const CLASSES: readonly CallerClass[] = [
  {
    name: 'writers',
    rule: ReadRule.Primary,
    perSecond: 37.5,
    workMs: 6,
    maxWorkMs: 45,
    writes: 0.2,
    transactions: 0.25,
    objectiveMs: 200,
    deadlineMs: 1200,
    statementTimeoutMs: 800,
    maxStalenessMs: 0,
    priority: 1,
  },
  {
    name: 'readers',
    rule: ReadRule.Bounded,
    perSecond: 37.5,
    workMs: 30,
    maxWorkMs: 220,
    writes: 0,
    transactions: 0.1,
    objectiveMs: 500,
    deadlineMs: 3000,
    statementTimeoutMs: 2000,
    maxStalenessMs: 1500,
    priority: 2,
  },
  {
    name: 'commenters',
    rule: ReadRule.OwnWrites,
    perSecond: 175,
    workMs: 18,
    maxWorkMs: 45,
    writes: 0.12,
    transactions: 0.12,
    objectiveMs: 400,
    deadlineMs: 1200,
    statementTimeoutMs: 800,
    maxStalenessMs: 2500,
    priority: 2,
  },
];
const FLEET = 72;
const LENGTH_MS = 6000;
/** Share of the operations that a small fleet serves on the same day. */
const SERVED_TARGET = 0.93;
const SEEDS = [1, 2, 3] as const;

function optionsFor(seed: number, instances: number): LoadOptions {
  const rest = {endpoints: ENDPOINTS, classes: CLASSES, lengthMs: LENGTH_MS};
  return {seed, instances, ...rest};
}

function shareInTime({asked, inTime}: SecondOutcome): number {
  return inTime / asked;
}

/** The usual load and a burst above the capacity, as factors. */
const USUAL = 0.8;
const BURST = 2;
const BURST_AT_MS = 1000;
const BURST_MS = 1000;
/**
 * Time after the burst: it leaves some 0.75 s of work for the primary, which
 * the usual load leaves 0.3 of its slots for.
 */
const SETTLED_MS = 3000;

describe('a group after a burst above its capacity', () => {
  for (const seed of SEEDS) {
    it(`serves as before, without what it did about the burst in the way (seed ${seed})`, async () => {
      const {bySecond} = await playLoad({
        ...optionsFor(seed, FLEET),
        factorAt: at =>
          at >= BURST_AT_MS && at < BURST_AT_MS + BURST_MS ? BURST : USUAL,
      });
      const after = (BURST_AT_MS + BURST_MS + SETTLED_MS) / 1000;
      for (const second of bySecond.slice(after))
        assert.ok(shareInTime(second) >= SERVED_TARGET, JSON.stringify(second));
    });
  }
});

describe('a group near its capacity', () => {
  for (const seed of SEEDS) {
    it(`has its slots for work, not for connections opened beside idle ones (seed ${seed})`, async () => {
      const {opened} = await playLoad(optionsFor(seed, FLEET));
      const slotMs = ENDPOINTS.slots * 3 * LENGTH_MS;
      const share = (opened * ENDPOINTS.openingMs) / slotMs;
      assert.ok(share < 0.1, `connections took ${share} of the slots`);
    });

    it(`serves as much through holders as a small fleet does (seed ${seed})`, async () => {
      const {all} = await playLoad(optionsFor(seed, FLEET));
      assert.ok(shareInTime(all) >= SERVED_TARGET, JSON.stringify(all));
    });

    it(`serves writers in time beside reads that replicas can run (seed ${seed})`, async () => {
      const {byClass} = await playLoad(optionsFor(seed, FLEET));
      const writers = byClass.get('writers')!;
      const what = JSON.stringify(writers);
      assert.ok(shareInTime(writers) >= SERVED_TARGET, what);
    });
  }
});
