/** Quotas of several instances on a simulated clock and network, for tests. */
import {
  Clock,
  type Disposable,
  type ManualClock,
  manualClock,
} from '@quetzalreel/common';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  type AccountQuotas,
  type Admission,
  type QuotaInstance,
  type QuotaMessage,
  type QuotaRule,
  type RateLimit,
  accountQuotas,
  isQuotaMessage,
} from '../src/index.js';

/** The rule of the platform. */
export const RULE: QuotaRule = {windowMs: 5000, excess: 0.1, slack: 20};
const MS_PER_SECOND = 1000;
/** When the store's list lacks an instance that does not renew its entry. */
const ENTRY_TIMEOUT_MS = 6000;
const RENEWAL_MS = 1000;
const PERCENT = 100;

/** Operations that the rule permits in one window. */
export function boundOf({ratePerSecond, burst}: RateLimit): number {
  const usual = (ratePerSecond * RULE.windowMs) / MS_PER_SECOND + burst;
  return usual * (1 + RULE.excess) + RULE.slack;
}

/** The most operations in a window. */
export function mostInWindow(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (const [i, time] of times.entries()) {
    while (times[first]! <= time - RULE.windowMs) first++;
    most = Math.max(most, i - first + 1);
  }
  return most;
}

/** One simulated instance. */
export interface SimulatedInstance extends QuotaInstance {
  quotas: AccountQuotas;
  isAlive: boolean;
  suspendedUntil: number;
  /** When the store last took its entry. */
  renewedAt: number;
  /** Since when the store has answered it. */
  servedSince: number;
  /** Whether the store answers it. */
  isServed: boolean;
  /** Messages to and from instances on another side are lost. */
  side: number;
  /** Distinguishes the lives of an instance. */
  life: number;
}

/** The simulated network. */
export interface QuotaNetwork extends Disposable {
  readonly clock: ManualClock;
  readonly instances: SimulatedInstance[];
  /** Times of admitted and refused operations by account. */
  readonly admitted: Map<string, number[]>;
  readonly refused: Map<string, number[]>;
  readonly messages: number;
  lossPercent: number;
  random(below: number): number;
  ask(instance: SimulatedInstance, account: string): void;
  /** Adds an instance, or starts a dead one again. */
  start(name: string): void;
  kill(instance: SimulatedInstance): void;
  /** Suspends an instance; with `stopsClock`, its clock as well. */
  suspend(instance: SimulatedInstance, ms: number, stopsClock: boolean): void;
  leave(instance: SimulatedInstance): void;
  /**
   * Puts instances on sides that do not reach each other; the store answers
   * those for which `isServed` is true.
   */
  partition(
    sideOf: (index: number) => number,
    isServed: (index: number) => boolean,
  ): void;
  /**
   * Sets limits, in force on each instance after up to `lagMs`. The result
   * contains the time at which they were in force everywhere.
   */
  setLimits(
    limits: ReadonlyMap<string, RateLimit>,
    lagMs: number,
  ): {readonly at: number};
  run(ms: number, onStep?: () => void): Promise<void>;
}

/** How a network starts. */
export interface NetworkOptions {
  readonly count: number;
  readonly seed: number;
  readonly limits: ReadonlyMap<string, RateLimit>;
  readonly dataCentres?: number;
  readonly maxDelayMs?: number;
  /** Longest time until a change of the list is known. */
  readonly listLagMs?: number;
  /** Whether instances know when the store last took their entry. */
  readonly knowsRenewal?: boolean;
}

/** The clock of one life of an instance: stands still while it is suspended. */
class InstanceClock extends Clock {
  lostMs = 0;
  isDead = false;
  private stoppedAt: number | undefined;

  constructor(
    private readonly base: ManualClock,
    private readonly instance: {suspendedUntil: number},
  ) {
    super();
  }

  now(): number {
    return (this.stoppedAt ?? this.base.now()) - this.lostMs;
  }

  stop(): void {
    this.stoppedAt ??= this.base.now();
  }

  resume(): void {
    if (this.stoppedAt === undefined) return;
    this.lostMs += this.base.now() - this.stoppedAt;
    this.stoppedAt = undefined;
  }

  after(delayMs: number, callback: () => void): Disposable {
    const whenRunning = () => {
      if (this.isDead) return;
      const waitMs = this.instance.suspendedUntil - this.base.now();
      // Resuming is itself a timer, which runs before.
      if (waitMs > 0) timer = this.base.after(waitMs + 1, whenRunning);
      else callback();
    };
    let timer = this.base.after(delayMs, whenRunning);
    return {dispose: () => timer.dispose()};
  }
}

/** Starts a network whose instances all start for the first time. */
export function quotaNetwork(options: NetworkOptions): QuotaNetwork {
  const {seed, dataCentres = 3, maxDelayMs = 4, listLagMs = 1500} = options;
  const clock = manualClock();
  const generator = xoroshiro128plus(seed);
  const random = (below: number) => uniformInt(generator, 0, below - 1);
  let limits = options.limits;
  let messages = 0;
  /** Operations without an answer. */
  let waiting = 0;
  /** The store's list, with the time of the last renewal. */
  const entries = new Map<string, {info: QuotaInstance; renewedAt: number}>();
  const clocks = new Map<SimulatedInstance, InstanceClock>();
  /** Messages on their way, by the time at which they arrive. */
  const deliveries = new Map<number, Array<() => void>>();
  const hasLeft = new Set<string>();
  const suspensions = new Map<SimulatedInstance, number>();

  const network: QuotaNetwork = {
    clock,
    instances: [],
    admitted: new Map(),
    refused: new Map(),
    get messages() {
      return messages;
    },
    lossPercent: 0,
    random,
    ask(instance, account) {
      if (!isRunning(instance)) return;
      const {life} = instance;
      const note = ({type}: Admission) => {
        if (instance.life !== life || !instance.isAlive) return;
        const times = network[type].get(account) ?? [];
        times.push(clock.now());
        network[type].set(account, times);
      };
      const admission = instance.quotas.admit(account);
      if (!(admission instanceof Promise)) {
        note(admission);
        return;
      }
      waiting++;
      void admission.then(result => {
        waiting--;
        note(result);
      });
    },
    start(name) {
      const known = network.instances.find(item => item.instance === name);
      const hadEntry = entries.has(name);
      startInstance(known ?? addInstance(name), hadEntry);
    },
    kill(instance) {
      instance.isAlive = false;
      clocks.get(instance)!.isDead = true;
      instance.quotas.dispose();
    },
    suspend(instance, ms, stopsClock) {
      if (!isRunning(instance)) return;
      const life = clocks.get(instance)!;
      instance.suspendedUntil = clock.now() + ms;
      if (stopsClock) life.stop();
      clock.after(ms, () => {
        if (clocks.get(instance) !== life) return;
        suspensions.set(instance, suspensions.get(instance)! + 1);
        life.resume();
      });
    },
    leave(instance) {
      instance.quotas.leave();
      entries.delete(instance.instance);
      hasLeft.add(instance.instance);
      publish();
    },
    partition(sideOf, isServed) {
      for (const [i, instance] of network.instances.entries()) {
        instance.side = sideOf(i);
        if (!instance.isServed) instance.servedSince = clock.now();
        instance.isServed = isServed(i);
      }
      publish();
    },
    setLimits(next, lagMs) {
      limits = next;
      const force = {at: clock.now()};
      for (const instance of network.instances) {
        const {life, isAlive} = instance;
        if (!isAlive) continue;
        whenRunning(instance, random(lagMs), () => {
          if (instance.life !== life) return;
          // Configurations only rise: an older one does not replace a newer one.
          instance.quotas.setLimits(limits);
          force.at = clock.now();
        });
      }
      return force;
    },
    async run(ms, onStep) {
      for (let step = 0; step < ms; step++) {
        clock.advance(1);
        const due = deliveries.get(clock.now()) ?? [];
        deliveries.delete(clock.now());
        for (const delivery of due) delivery();
        onStep?.();
        if (waiting > 0) await Promise.resolve().then(() => {});
        if (clock.now() % RENEWAL_MS === 0) renewEntries();
      }
    },
    dispose() {
      for (const {isAlive, quotas} of network.instances)
        if (isAlive) quotas.dispose();
    },
  };

  function isRunning({isAlive, suspendedUntil}: SimulatedInstance): boolean {
    return isAlive && clock.now() >= suspendedUntil;
  }

  /** Runs an action after `delayMs`, or when the instance runs again. */
  function whenRunning(
    instance: SimulatedInstance,
    delayMs: number,
    action: () => void,
  ): void {
    clocks.get(instance)!.after(delayMs, action);
  }

  function deliver(
    from: SimulatedInstance,
    address: string,
    message: unknown,
  ): void {
    messages++;
    if (!isQuotaMessage(message)) throw new Error('invalid message');
    const to = network.instances.find(item => item.address === address);
    const copy = structuredClone(message);
    if (!to || random(PERCENT) < network.lossPercent) return;
    deliverAfter(random(maxDelayMs) + 1, () => receive(from, to, copy));
  }

  function deliverAfter(ms: number, delivery: () => void): void {
    const at = clock.now() + ms;
    const due = deliveries.get(at) ?? [];
    due.push(delivery);
    deliveries.set(at, due);
  }

  function receive(
    from: SimulatedInstance,
    to: SimulatedInstance,
    message: QuotaMessage,
  ): void {
    if (!to.isAlive || to.side !== from.side) return;
    const waitMs = to.suspendedUntil - clock.now();
    if (waitMs <= 0) to.quotas.receive(message);
    else deliverAfter(waitMs + 1, () => receive(from, to, message));
  }

  function renewEntries(): void {
    const now = clock.now();
    for (const instance of network.instances) {
      const entry = entries.get(instance.instance);
      if (!entry || !isRunning(instance) || !instance.isServed) continue;
      entry.renewedAt = now;
      instance.renewedAt = now;
    }
    let isChanged = false;
    // Entries don't expire: an instance removes those that it saw unchanged.
    const readers = network.instances.filter(
      item => isRunning(item) && item.isServed,
    );
    const readSince = Math.min(...readers.map(item => item.servedSince));
    for (const [name, {renewedAt}] of entries) {
      if (now - Math.max(renewedAt, readSince) < ENTRY_TIMEOUT_MS) continue;
      entries.delete(name);
      isChanged = true;
    }
    // An instance writes a lost entry again.
    for (const instance of network.instances) {
      const {instance: name, isServed} = instance;
      if (!isRunning(instance) || !isServed || entries.has(name)) continue;
      if (hasLeft.has(name)) continue;
      entries.set(name, {info: infoOf(instance), renewedAt: now});
      isChanged = true;
    }
    if (isChanged) publish();
  }
  function infoOf(instance: SimulatedInstance): QuotaInstance {
    const {instance: name, dataCentre, address} = instance;
    return {instance: name, dataCentre, address};
  }

  /** Tells each instance the list after a while, unless it misses the store. */
  function publish(): void {
    for (const instance of network.instances) {
      if (instance.isAlive)
        whenRunning(instance, random(listLagMs + 1), () => list(instance));
    }
  }

  function list(instance: SimulatedInstance): void {
    if (!instance.isAlive || !instance.isServed) return;
    const others = [...entries.values()]
      .map(({info}) => info)
      .filter(info => info.instance !== instance.instance);
    instance.quotas.setInstances(others);
  }

  function addInstance(name: string): SimulatedInstance {
    const dataCentre = `dc-${network.instances.length % dataCentres}`;
    const instance = {
      instance: name,
      dataCentre,
      address: `${name}:1`,
      quotas: undefined as unknown as AccountQuotas,
      isAlive: false,
      suspendedUntil: 0,
      renewedAt: 0,
      servedSince: 0,
      isServed: true,
      side: 0,
      life: 0,
    };
    network.instances.push(instance);
    return instance;
  }

  function startInstance(
    instance: SimulatedInstance,
    mayOwnAtOnce: boolean,
  ): void {
    const now = clock.now();
    const own = new InstanceClock(clock, instance);
    clocks.set(instance, own);
    suspensions.set(instance, 0);
    hasLeft.delete(instance.instance);
    instance.life++;
    instance.isAlive = true;
    instance.suspendedUntil = 0;
    instance.isServed = true;
    instance.servedSince = now;
    entries.set(instance.instance, {info: infoOf(instance), renewedAt: now});
    instance.renewedAt = now;
    const renewedMs = () => clock.now() - instance.renewedAt;
    instance.quotas = accountQuotas({
      self: () => infoOf(instance),
      rule: RULE,
      clock: own,
      suspensions: () => suspensions.get(instance)!,
      send: (address, message) => deliver(instance, address, message),
      mayOwnAtOnce,
      ...(options.knowsRenewal ? {renewedMs} : {}),
      onEvent: () => {},
    });
    instance.quotas.setLimits(limits);
    list(instance);
    publish();
  }

  const names = Array.from({length: options.count}, (_, i) => `n-${i}`);
  for (const name of names) addInstance(name);
  for (const instance of network.instances)
    entries.set(instance.instance, {info: infoOf(instance), renewedAt: 0});
  for (const instance of network.instances) startInstance(instance, true);
  return network;
}
