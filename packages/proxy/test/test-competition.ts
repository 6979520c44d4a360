/**
 * Plays a burst of the least important route beside accounts that send several
 * times their usual rate, against the queue of one endpoint, without a network.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {waitEstimates} from '../src/wait-estimate.js';
import {type QueuedRequest, waitQueue} from '../src/wait-queue.js';

interface Item extends QueuedRequest {
  readonly route: Route;
  readonly from: number;
  readonly at: number;
  readonly deadline: number;
  readonly workMs: number;
}

/** A route and its load; times are in milliseconds. */
interface Route {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
}

const ROUTES: readonly Route[] = [
  {
    name: 'corrections',
    priority: 0,
    perSecond: 60,
    workMs: 3,
    objectiveMs: 100,
    deadlineMs: 600,
  },
  {
    name: 'statements',
    priority: 1,
    perSecond: 240,
    workMs: 9,
    objectiveMs: 200,
    deadlineMs: 600,
  },
  {
    name: 'lookups',
    priority: 2,
    perSecond: 60,
    workMs: 15,
    objectiveMs: 600,
    deadlineMs: 1500,
  },
];
const SLOTS = 4;
const ACCOUNTS = 76;
const LENGTH_MS = 10_000;
const BURST = {fromMs: 2000, untilMs: 8000, factor: 2.5};
/** Rate of the hot account within its limit, against its usual one. */
const HOT_FACTOR = 1.6;
const SEEDS = [1, 2, 3] as const;

/** How the requests are ordered. */
const Order = {
  /** As the product does. */
  Ranked: 'ranked',
  /** One priority and one account for all: first come, first served. */
  Arrival: 'arrival',
} as const;
type Order = (typeof Order)[keyof typeof Order];

interface Outcome {
  asked: number;
  inTime: number;
  refusedAtOnce: number;
  /** Refused when they became late. */
  givenUp: number;
  /** Refused after waiting until the deadline. */
  heldToEnd: number;
}

interface Result {
  readonly byRoute: ReadonlyMap<string, Outcome>;
  /** Share in time of the worst-served tenth of accounts, without lookups. */
  readonly worstAccounts: number;
}

function noOutcome(): Outcome {
  return {asked: 0, inTime: 0, refusedAtOnce: 0, givenUp: 0, heldToEnd: 0};
}

/** Accounts by a power law; the first one is several times the next. */
function accountWeights(isBurst: boolean): number[] {
  return Array.from({length: ACCOUNTS}, (_item, rank) => {
    const usual = (rank + 1) ** -1.2;
    return isBurst && rank === 0 ? usual * HOT_FACTOR : usual;
  });
}

function play(seed: number, order: Order): Result {
  const random = xoroshiro128plus(seed);
  const chance = () => uniformFloat64(random);
  const queue = waitQueue<Item>();
  const estimates = waitEstimates(queue);
  const byRoute = new Map(ROUTES.map(({name}) => [name, noOutcome()] as const));
  const byAccount = Array.from({length: ACCOUNTS}, noOutcome);
  /** When each slot is free again. */
  const slots = new Array<number>(SLOTS).fill(0);

  function outcomesOf({route, from}: Item): Outcome[] {
    const ofRoute = byRoute.get(route.name)!;
    return route.priority < 2 ? [ofRoute, byAccount[from]!] : [ofRoute];
  }

  function accountAt(isBurst: boolean): number {
    const weights = accountWeights(isBurst);
    let left = chance() * weights.reduce((sum, weight) => sum + weight, 0);
    const at = weights.findIndex(weight => (left -= weight) < 0);
    return Math.max(0, at);
  }

  function arrive(route: Route, now: number, isBurst: boolean): void {
    const from = accountAt(isBurst);
    const isRanked = order === Order.Ranked;
    const item: Item = {
      route,
      from,
      at: now,
      deadline: now + route.deadlineMs,
      workMs: -Math.log(1 - chance()) * route.workMs,
      primaryOnly: false,
      priority: isRanked ? route.priority : 0,
      account: isRanked ? `a-${from}` : '',
      accountPriority: 0,
      objectiveAt: isRanked ? now + route.objectiveMs : Infinity,
    };
    const waitMs = isRanked ? estimates.waitMs(item, now) : 0;
    const isHopeless = now + waitMs > item.deadline;
    for (const outcome of outcomesOf(item)) {
      outcome.asked++;
      if (isHopeless) outcome.refusedAtOnce++;
    }
    if (!isHopeless) queue.add(item);
  }

  function serve(item: Item, now: number): boolean {
    if (now >= item.deadline) {
      for (const outcome of outcomesOf(item)) outcome.heldToEnd++;
      return true;
    }
    const slot = slots.findIndex(freeAt => freeAt <= now);
    if (slot < 0) return false;
    slots[slot] = now + item.workMs;
    estimates.noteServed(item, now);
    const isInTime = now + item.workMs <= item.at + item.route.objectiveMs;
    if (isInTime) for (const outcome of outcomesOf(item)) outcome.inTime++;
    return true;
  }

  for (let now = 0; now < LENGTH_MS; now++) {
    const isBurst = now >= BURST.fromMs && now < BURST.untilMs;
    for (const route of ROUTES) {
      const isBursting = isBurst && route.priority === 2;
      const factor = isBursting ? BURST.factor : 1;
      if (chance() < (route.perSecond * factor) / 1000)
        arrive(route, now, isBurst);
    }
    const givesUp = (item: Item) => {
      if (now + estimates.lateWaitMs(item, now) <= item.deadline) return false;
      for (const outcome of outcomesOf(item)) outcome.givenUp++;
      return true;
    };
    queue.dispatch(item => serve(item, now), 8, now, givesUp);
    estimates.review(now);
  }
  const shares = byAccount
    .filter(({asked}) => asked > 0)
    .map(({asked, inTime}) => inTime / asked)
    .sort((a, b) => a - b);
  const worst = shares.slice(0, Math.ceil(ACCOUNTS / 10));
  const sum = worst.reduce((total, share) => total + share, 0);
  return {byRoute, worstAccounts: sum / worst.length};
}

function shareInTime({asked, inTime}: Outcome): number {
  return inTime / asked;
}

describe('a burst of the least important route', () => {
  for (const seed of SEEDS) {
    it(`delays neither the most important one nor small accounts (seed ${seed})`, t => {
      const ranked = play(seed, Order.Ranked);
      const arrival = play(seed, Order.Arrival);
      for (const {name} of ROUTES) {
        const [now, before] = [ranked, arrival].map(({byRoute}) =>
          JSON.stringify(byRoute.get(name)),
        );
        t.diagnostic(`${name}: ${now}; by arrival ${before}`);
      }
      const worst = [ranked, arrival].map(item =>
        item.worstAccounts.toFixed(3),
      );
      t.diagnostic(`worst tenth of accounts: ${worst.join('; by arrival ')}`);
      const corrections = ranked.byRoute.get('corrections')!;
      assert.ok(shareInTime(corrections) >= 0.97, JSON.stringify(corrections));
      assert.ok(ranked.worstAccounts >= 0.9, `${ranked.worstAccounts}`);
      // Neither holds by arrival alone.
      assert.ok(shareInTime(arrival.byRoute.get('corrections')!) < 0.97);
    });

    it(`is refused early rather than held to its deadline (seed ${seed})`, () => {
      const {byRoute} = play(seed, Order.Ranked);
      const lookups = byRoute.get('lookups')!;
      const {heldToEnd, refusedAtOnce, givenUp} = lookups;
      const what = JSON.stringify(lookups);
      assert.ok(heldToEnd <= (refusedAtOnce + givenUp) / 4, what);
    });
  }
});
