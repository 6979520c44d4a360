/**
 * The actor of the configuration: feeds what the platform and peers tell to
 * the pure follower and carries out its effects.
 */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {
  type Configuration,
  type FollowerEffect,
  type FollowerEvent,
  type FollowerState,
  type ConfigInForce,
  type PlatformIntervals,
  configurationWarnings,
  formatProblem,
  initialFollower,
  scaleToFleet,
  stepFollower,
} from '@quetzalreel/config';
import type {PlatformClient, StoredObject} from '@quetzalreel/object-store';
import {type ActorSystemRef, dispatch, spawn, stop} from 'nact';
import type {Log} from './log.js';
import {keepRunning} from './supervision.js';

/** Name of the configuration's object in the platform's store. */
export const CONFIGURATION_OBJECT = 'configuration';

/** Times of the exchange with the platform, in milliseconds. */
export interface ConfigTimes extends PlatformIntervals {
  /** Pause after a failure. */
  readonly retryMs: number;
}

/** How the follower reaches other instances. */
export interface ConfigPeers {
  /** Instances that are alive, this one included. */
  readonly members: number;
  /** Asks one instance for its document. */
  ask(instance: string): void;
  /** Asks any instances that can be reached. */
  askAny(): void;
  /** Tells others what is in force here. */
  tell(inForce: ConfigInForce): void;
}

/** What the follower works with. */
export interface ConfigContext {
  readonly system: ActorSystemRef;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly times: ConfigTimes;
  readonly peers: ConfigPeers;
  /** Called with each higher generation. */
  readonly apply: (cfg: Configuration) => void;
}

/** Follows the configuration until disposed. */
export interface ConfigFollower extends Disposable {
  /** The configuration in force, once there is one. */
  readonly current: Configuration | undefined;
  /** The same with its document, for passing on. */
  readonly inForce: ConfigInForce | undefined;
  /** Whether the last call to the platform failed. */
  readonly storeDown: boolean;
  /** Resolves when there is one. */
  readonly first: Promise<Configuration>;
  /** Takes in what a peer told. */
  offer(event: FollowerEvent): void;
}

/** Starts following. */
export function followConfiguration(context: ConfigContext): ConfigFollower {
  const {platform, clock, log, times, peers} = context;
  let state = initialFollower();
  let stopped = false;
  let resolveFirst: (cfg: Configuration) => void = () => {};
  const first = new Promise<Configuration>(resolve => {
    resolveFirst = resolve;
  });

  const actor = spawn(
    context.system,
    (current: FollowerState, event: FollowerEvent) => {
      const result = stepFollower(current, event);
      state = result.state;
      for (const effect of result.effects) perform(effect);
      return state;
    },
    'configuration',
    {
      initialState: state,
      onCrash: keepRunning<FollowerEvent>(log, 'configuration'),
    },
  );
  const send = (event: FollowerEvent) => dispatch(actor, event);

  function perform(effect: FollowerEffect): void {
    switch (effect.type) {
      case 'apply':
        put(effect.inForce, effect.source, effect.from);
        return;
      case 'askPeer':
        peers.ask(effect.from);
        return;
      case 'askPeers':
        peers.askAny();
        return;
      case 'refused':
        log.error(
          {from: effect.from, why: effect.why},
          'configuration refused',
        );
        return;
      case 'conflict': {
        const {from, generation, held, offered} = effect;
        log.error({from, generation, held, offered}, 'configuration conflict');
        return;
      }
      case 'storeChanged':
        if (effect.down) log.warn({why: effect.why}, 'store unreachable');
        else log.info('store reachable');
    }
  }

  function put(inForce: ConfigInForce, source: string, from: string): void {
    const {cfg} = inForce;
    const {generation, changeId: change} = cfg;
    log.info({generation, change, source, from}, 'configuration in force');
    for (const warning of configurationWarnings(cfg)) {
      log.warn({generation, why: formatProblem(warning)}, 'configuration weak');
    }
    context.apply(cfg);
    peers.tell(inForce);
    resolveFirst(cfg);
  }

  function take(source: 'watched' | 'read', object: StoredObject): void {
    const {value: document, version} = object;
    send({type: 'document', source, from: 'store', document, version});
  }

  /** Repeats `call` until disposed, with a pause after a failure. */
  async function repeat(call: () => Promise<void>): Promise<void> {
    while (!stopped) {
      try {
        await call();
        send({type: 'storeUp'});
      } catch (err) {
        if (stopped) return;
        send({type: 'storeDown', why: messageOf(err)});
        await clock.sleep(times.retryMs);
      }
    }
  }

  async function watchOnce(): Promise<void> {
    const {watchMs} = scaleToFleet(times, peers.members);
    const object = await platform.watch(
      CONFIGURATION_OBJECT,
      state.version,
      watchMs,
    );
    if (object) take('watched', object);
  }

  async function readOnce(): Promise<void> {
    const object = await platform.get(CONFIGURATION_OBJECT);
    if (object) take('read', object);
    await clock.sleep(scaleToFleet(times, peers.members).rereadMs);
  }

  void repeat(watchOnce);
  void repeat(readOnce);
  return {
    get current() {
      return state.inForce?.cfg;
    },
    get inForce() {
      return state.inForce;
    },
    get storeDown() {
      return state.storeDown;
    },
    first,
    offer: send,
    dispose() {
      stopped = true;
      stop(actor);
    },
  };
}
