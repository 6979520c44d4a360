/** The other instances: how they are found, asked and answered. */
import {
  type Clock,
  type Disposable,
  disposableStore,
  messageOf,
} from '@quetzalreel/common';
import type {KindStore} from '@quetzalreel/object-store';
import {tcpTransport} from '@quetzalreel/peer';
import {type Target, startRelay} from '@quetzalreel/relay';
import {
  type WitnessContext,
  type WitnessMessage,
  type WitnessSource,
  type Witnesses,
  enrol,
  isWitnessMessage,
  readRoster,
  witnesses,
} from '@quetzalreel/witness';
import {LIMITS, TIMES} from './defaults.js';
import type {Log} from './log.js';

/** What meeting others works with. */
export interface OthersContext {
  readonly instance: string;
  readonly dataCentre: string;
  readonly peers: {readonly host: string; readonly port: number};
  /** Where others reach endpoints through this instance. */
  readonly relay: {readonly host: string; readonly port: number};
  /** Whether a target is an endpoint that is listed. */
  readonly isEndpoint: (target: Target) => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: KindStore;
  readonly source: WitnessSource;
  /** Whether the store does not serve this instance its configuration. */
  readonly isCutOff: () => boolean;
  /** Generation of the configuration in force; 0 for none. */
  readonly generation: () => number;
  readonly onConfiguration: (value: unknown) => void;
  readonly onConfirmed: WitnessContext['onConfirmed'];
}

/** The others, once this instance can be reached by them. */
export interface Others extends Disposable {
  readonly witnesses: Witnesses | undefined;
}

/** Bounds of links; a configuration of some hundred routes fits a frame. */
const LINK_LIMITS = {
  maxFrameBytes: 2 * 1024 * 1024,
  maxQueuedBytes: 4 * 1024 * 1024,
  silentMs: 1000,
  idleMs: 10_000,
  connectMs: 500,
} as const;

/** Lists this instance and learns of the others. */
export function joinOthers(context: OthersContext): Others {
  const {instance, dataCentre, peers, clock, log, store} = context;
  const owned = disposableStore();
  let addresses: readonly string[] = [];
  let current: Witnesses | undefined;
  let enrolled = false;
  /** Where others reach this instance, once it listens. */
  let address = '';
  let relayAddress = '';

  async function listen(): Promise<void> {
    const transport = await tcpTransport<WitnessMessage>({
      ...peers,
      clock,
      limits: LINK_LIMITS,
      check: isWitnessMessage,
      onMessage: message => current?.receive(message),
      onLinkError: (other, why) =>
        log.debug({event: 'peerLinkLost', address: other, why}),
    });
    owned.add(transport);
    address = transport.address;
    const relay = await startRelay({
      ...context.relay,
      allows: context.isEndpoint,
      onEnd: (target, why) => log.info({event: 'relayEnded', ...target, why}),
    });
    owned.add(relay);
    relayAddress = `${context.relay.host}:${relay.port}`;
    current = witnesses({
      transport,
      clock,
      relay: () => relayAddress,
      source: context.source,
      others: () => addresses,
      answerMs: TIMES.witnessMs,
      mostAsked: LIMITS.witnesses,
      onConfiguration: context.onConfiguration,
      onConfirmed: context.onConfirmed,
    });
  }

  async function refresh(): Promise<void> {
    try {
      if (!enrolled) await enrol(store, {instance, address, dataCentre});
      enrolled = true;
      const roster = await readRoster(store);
      addresses = roster
        .map(entry => entry.address)
        .filter(other => other !== address);
      log.info({event: 'instancesListed', others: addresses.length});
    } catch (err) {
      log.warn({event: 'instancesNotListed', why: messageOf(err)});
    }
  }

  async function run(): Promise<void> {
    await listen();
    await refresh();
    await clock.sleep(TIMES.firstRosterMs);
    while (!owned.disposed) {
      await refresh();
      await clock.sleep(enrolled ? TIMES.rosterMs : TIMES.firstRosterMs);
    }
  }

  async function askWhileCutOff(): Promise<void> {
    while (!owned.disposed) {
      await clock.sleep(TIMES.askConfigurationMs);
      if (context.isCutOff()) current?.askConfiguration(context.generation());
    }
  }

  run().catch(err => log.error({event: 'othersFailed', why: messageOf(err)}));
  void askWhileCutOff();
  return {
    get witnesses() {
      return current;
    },
    dispose: () => owned.dispose(),
  };
}
