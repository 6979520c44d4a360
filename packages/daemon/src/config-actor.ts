/**
 * The actor of the configuration: passes documents from the platform's store
 * and from peers to the pure follower state machine, and executes the effects
 * that it returns.
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

/** Name of the object in the platform's store that holds the configuration. */
export const CONFIGURATION_OBJECT = 'configuration';

/** Intervals of requests to the platform, in milliseconds. */
export interface ConfigTimes extends PlatformIntervals {
  /** Delay before a retry after a failed request. */
  readonly retryMs: number;
}

/** Sends configuration messages to peers. */
export interface ConfigPeers {
  /** Number of live members, this instance included. */
  readonly members: number;
  /** Requests the configuration document from one instance. */
  requestDocument(instance: string): void;
  /** Requests the configuration document from any reachable instances. */
  requestDocumentFromAny(): void;
  /** Announces this instance's configuration in force to peers. */
  announce(inForce: ConfigInForce): void;
}

/** Dependencies and parameters of the configuration follower. */
export interface ConfigContext {
  readonly system: ActorSystemRef;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly times: ConfigTimes;
  readonly peers: ConfigPeers;
  /**
   * Called with each configuration of a higher generation than the one before.
   */
  readonly apply: (cfg: Configuration) => void;
}

/** Keeps the configuration up to date until disposed. */
export interface ConfigFollower extends Disposable {
  /** The configuration in force; undefined before the first one. */
  readonly current: Configuration | undefined;
  /** The configuration in force together with its document, for peers. */
  readonly inForce: ConfigInForce | undefined;
  /** Whether the last request to the platform's store failed. */
  readonly storeDown: boolean;
  /** Resolves with the first configuration in force. */
  readonly firstConfiguration: Promise<Configuration>;
  /** Processes a generation or document received from a peer. */
  receive(event: FollowerEvent): void;
}

/** Starts watching and rereading the configuration. */
export function followConfiguration(context: ConfigContext): ConfigFollower {
  const {platform, clock, log, times, peers} = context;
  let state = initialFollower();
  let stopped = false;
  let resolveFirst: (cfg: Configuration) => void = () => {};
  const firstConfiguration = new Promise<Configuration>(resolve => {
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
        applyConfiguration(effect.inForce, effect.source, effect.from);
        return;
      case 'askPeer':
        peers.requestDocument(effect.from);
        return;
      case 'askPeers':
        peers.requestDocumentFromAny();
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

  function applyConfiguration(
    inForce: ConfigInForce,
    source: string,
    from: string,
  ): void {
    const {cfg} = inForce;
    const {generation, changeId: change} = cfg;
    log.info({generation, change, source, from}, 'configuration in force');
    for (const warning of configurationWarnings(cfg)) {
      log.warn({generation, why: formatProblem(warning)}, 'configuration weak');
    }
    context.apply(cfg);
    peers.announce(inForce);
    resolveFirst(cfg);
  }

  function dispatchDocument(
    source: 'watched' | 'read',
    object: StoredObject,
  ): void {
    const {value: document, version} = object;
    send({type: 'document', source, from: 'store', document, version});
  }

  /** Repeats `call` until disposed, with a delay after each failure. */
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
    if (object) dispatchDocument('watched', object);
  }

  async function readOnce(): Promise<void> {
    const object = await platform.get(CONFIGURATION_OBJECT);
    if (object) dispatchDocument('read', object);
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
    firstConfiguration: firstConfiguration,
    receive: send,
    dispose() {
      stopped = true;
      stop(actor);
    },
  };
}
