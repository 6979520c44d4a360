/** A fleet of feeds on a simulated clock, network and store, for tests. */
import {
  type Disposable,
  type ManualClock,
  hashFraction,
  manualClock,
} from '@quetzalreel/common';
import {
  HistoryGoneError,
  type KindChanges,
  type KindEvent,
  type KindObject,
  type KindSnapshot,
  KindStore,
  StoreUnavailableError,
} from '@quetzalreel/object-store';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type FactMessage, type Feed, linksOf, startFeed} from '../src/index.js';

/** The kind that the feeds follow. */
export const KIND = 'things';
const STEP_MS = 5;
/** Duration of a watch, as of the configuration on the platform. */
export const WATCH_MS = 1200;
const MAX_DELAY_MS = 20;
/** Time limit of a call to the store, without the wait of a watch. */
const CALL_TIMEOUT_MS = 1000;
/** When a silent link is given up at the latest: a beat, its time limit, and the
 * interval of the checks. */
const LINK_SILENCE_MS = 2250;
const PERCENT = 100;

/** Times and limits as on the platform. */
const TIMES = {
  beatMs: 1000,
  firstReadMs: 150,
  firstCopyMs: 40,
  firstAloneMs: 0,
  lateMs: 150,
};
const LIMITS = {readers: 3, mostReaders: 8, heardMs: 2200, spreadMs: 500};

/** One simulated instance. */
export interface SimulatedInstance {
  readonly name: string;
  readonly dataCentre: string;
  feed: Feed;
  /** Receives, sends and runs nothing while it is false. */
  isRunning: boolean;
  /** Whether the store answers it. */
  isServed: boolean;
  /** Revision of each object that the feed has reported. */
  readonly known: Map<string, number>;
  /** Number of times an object went back to a lower revision. */
  wentBack: number;
  isReader: boolean;
  suspensions: number;
}

/** A simulated fleet. */
export interface SimulatedFleet extends Disposable {
  readonly instances: readonly SimulatedInstance[];
  readonly clock: ManualClock;
  /** Calls that the store received. */
  readonly calls: number;
  /** Messages that were sent. */
  readonly messages: number;
  /** Whether messages from one instance to another are lost. */
  isCut: (from: SimulatedInstance, to: SimulatedInstance) => boolean;
  /** Messages in a hundred that are lost. */
  lossPercent: number;
  /** Throws for a message that can't be encoded. */
  encode: (message: FactMessage) => void;
  /** Revision of the store. */
  readonly revision: number;
  put(name: string): void;
  remove(name: string): void;
  /**
   * Takes the store back to a revision, whose later history is gone. Watches
   * that wait either go on waiting or are cut off.
   */
  restore(revision: number, cutsWatches: boolean): void;
  /**
   * All open connections to the store go silent for good: watches get no answer.
   */
  silenceStoreConnections(): void;
  /**
   * All open links go silent for good: nothing arrives on one until it is given
   * up, when its ends learn of the loss.
   */
  silenceLinks(): void;
  /** Whether all running instances that are reached know the store's state. */
  isCurrent(instance: SimulatedInstance): boolean;
  run(forMs: number): Promise<void>;
}

interface Watcher {
  check(): void;
  cutOff(): void;
  /** Ends without an answer after the time limit of a call. */
  silence(): void;
}

/** How a fleet starts. */
export interface FleetOptions {
  /** When the list of instances is known, in milliseconds; empty before. */
  readonly listedAfterMs: number;
  /** Times of the start other than after a restart. */
  readonly times: Partial<typeof TIMES>;
}

/** Starts `count` instances in three data centres. */
export function simulatedFleet(
  count: number,
  seed: number,
  {listedAfterMs, times}: FleetOptions = {listedAfterMs: 0, times: {}},
): SimulatedFleet {
  const clock = manualClock();
  const random = xoroshiro128plus(seed);
  const objects = new Map<string, KindObject>();
  let history: KindEvent[] = [];
  let era = 1;
  const watchers = new Set<Watcher>();
  let revision = 1;
  let calls = 0;
  let messages = 0;

  function record(object: KindObject, deleted: boolean): void {
    history.push({object, deleted});
    for (const watcher of [...watchers]) watcher.check();
  }

  class SimulatedStore extends KindStore {
    constructor(private readonly owner: () => SimulatedInstance) {
      super();
    }

    private check(): void {
      calls++;
      if (!this.owner().isServed)
        throw new StoreUnavailableError('turned away', true);
    }

    async list(): Promise<KindSnapshot> {
      this.check();
      return {objects: [...objects.values()], era, revision};
    }

    async watch(
      kind: string,
      since: number,
      waitMs: number,
    ): Promise<KindChanges> {
      this.check();
      if (since > revision) throw new HistoryGoneError(kind, since);
      const changes = () => ({
        events: history.filter(({object}) => object.revision > since),
        era,
        revision,
      });
      return new Promise((resolve, reject) => {
        const end = (isCutOff = false) => {
          watchers.delete(watcher);
          timer.dispose();
          if (this.owner().isServed && !isCutOff) resolve(changes());
          else reject(new StoreUnavailableError('cut off', false));
        };
        let isSilent = false;
        const watcher = {
          cutOff: () => end(true),
          check: () => {
            if (!isSilent && changes().events.length > 0) end();
          },
          silence: () => {
            isSilent = true;
          },
        };
        const timer = clock.after(waitMs, () => {
          if (!isSilent) end();
          else clock.after(CALL_TIMEOUT_MS, () => end(true));
        });
        watchers.add(watcher);
        watcher.check();
      });
    }

    async get(): Promise<undefined> {
      throw new Error('not used');
    }
    async create(): Promise<never> {
      throw new Error('not used');
    }
    async replace(): Promise<never> {
      throw new Error('not used');
    }
    async remove(): Promise<void> {
      throw new Error('not used');
    }
  }

  const byName = new Map<string, SimulatedInstance>();
  const linksByName = new Map<string, readonly string[]>();
  let areLinksSilent = false;
  const instances: SimulatedInstance[] = [];
  const fleet: SimulatedFleet = {
    instances,
    clock,
    get calls() {
      return calls;
    },
    get revision() {
      return revision;
    },
    get messages() {
      return messages;
    },
    isCut: () => false,
    lossPercent: 0,
    encode: () => {},
    put(name) {
      revision++;
      const object = {name, revision, value: revision};
      objects.set(name, object);
      record(object, false);
    },
    remove(name) {
      revision++;
      objects.delete(name);
      record({name, revision, value: undefined}, true);
    },
    restore(to, cutsWatches) {
      era++;
      revision = to;
      history = history.filter(({object}) => object.revision <= to);
      objects.clear();
      for (const {object, deleted} of history) {
        if (deleted) objects.delete(object.name);
        else objects.set(object.name, object);
      }
      for (const watcher of cutsWatches ? [...watchers] : []) watcher.cutOff();
    },
    silenceStoreConnections() {
      for (const watcher of watchers) watcher.silence();
    },
    silenceLinks() {
      areLinksSilent = true;
      clock.after(LINK_SILENCE_MS, () => {
        areLinksSilent = false;
        for (const {name, feed} of instances) {
          for (const address of linksByName.get(name)!)
            feed.noteLinkLost(address);
        }
      });
    },
    isCurrent({known}) {
      if (known.size !== objects.size) return false;
      for (const [name, object] of objects) {
        if (known.get(name) !== object.revision) return false;
      }
      return true;
    },
    async run(forMs) {
      for (let ms = 0; ms < forMs; ms += STEP_MS) {
        clock.advance(STEP_MS);
        for (const {feed, isRunning} of instances) if (isRunning) feed.tick();
        await new Promise(resolve => setImmediate(resolve));
      }
    },
    dispose() {
      for (const {feed} of instances) feed.dispose();
    },
  };

  function deliver(
    from: SimulatedInstance,
    to: SimulatedInstance,
    message: FactMessage,
  ): void {
    fleet.encode(message);
    messages++;
    if (uniformInt(random, 0, PERCENT - 1) < fleet.lossPercent) return;
    if (areLinksSilent) return;
    clock.after(uniformInt(random, 0, MAX_DELAY_MS), () => {
      if (!to.isRunning || !from.isRunning || fleet.isCut(from, to)) return;
      to.feed.receive(message);
    });
  }

  for (let i = 0; i < count; i++) {
    const instance: SimulatedInstance = {
      name: `n-${i}`,
      dataCentre: `dc-${i % 3}`,
      feed: undefined as unknown as Feed,
      isRunning: true,
      isServed: true,
      known: new Map(),
      wentBack: 0,
      isReader: false,
      suspensions: 0,
    };
    instances.push(instance);
    byName.set(instance.name, instance);
  }
  const listed = instances.map(({name, dataCentre}) => ({
    instance: name,
    dataCentre,
  }));
  for (const instance of instances) {
    const {name, dataCentre} = instance;
    const links = linksOf(
      {instance: name, dataCentre},
      listed.filter(item => item.instance !== name),
    ).map(item => item.instance);
    linksByName.set(name, links);
    instance.feed = startFeed({
      instance: name,
      clock,
      store: new SimulatedStore(() => instance),
      kinds: [
        {
          kind: KIND,
          watchMs: WATCH_MS,
          usedPart: object => object,
          onEvents(events) {
            for (const {object, deleted} of events)
              note(instance, object, deleted);
          },
          onReach: () => {},
        },
      ],
      times: {...TIMES, ...times},
      limits: () => LIMITS,
      preferenceOf: text => hashFraction(`${seed}/${text}`),
      suspensions: () => instance.suspensions,
      life: 1,
      links: () => (clock.now() < listedAfterMs ? [] : links),
      send(addresses, message) {
        const sent = {...message, from: name} as FactMessage;
        for (const address of addresses)
          deliver(instance, byName.get(address)!, sent);
      },
      onEvent({event}) {
        if (event === 'readerBegun') instance.isReader = true;
        if (event === 'readerEnded') instance.isReader = false;
      },
    });
  }
  return fleet;
}

function note(
  instance: SimulatedInstance,
  {name, revision}: KindObject,
  deleted: boolean,
): void {
  const {known} = instance;
  if (deleted) {
    known.delete(name);
    return;
  }
  if ((known.get(name) ?? 0) > revision) instance.wentBack++;
  known.set(name, revision);
}
