/** The other instances: how they are found, asked and answered. */
import {
  type Clock,
  type Disposable,
  disposableStore,
  messageOf,
} from '@quetzalreel/common';
import type {KindStore} from '@quetzalreel/object-store';
import {tcpTransport} from '@quetzalreel/peer';
import {
  type Relay,
  type RelayTarget,
  type ServedConnection,
  startRelay,
} from '@quetzalreel/relay';
import {
  type ListedInstance,
  NO_INSTANCES,
  type PeerQueryContext,
  type PeerQueryMessage,
  type PeerQuerySource,
  type PeerQueries,
  updatePresence,
  instanceRegistration,
  isPeerQueryMessage,
  presentInstances,
  listInstances,
  removeEntry,
  entriesToRemove,
  peerQueries,
} from '@quetzalreel/peer-queries';
import {LIMITS, TIMES} from './defaults.js';
import type {Log} from './log.js';
import {
  NO_CONNECTIONS_PLAN,
  type SharedEndpoint,
  type SharingPlan,
  sharingPlan,
} from './connection-sharing.js';

/** What meeting others works with. */
export interface PeersContext {
  readonly instance: string;
  readonly dataCentre: string;
  readonly peers: {readonly host: string; readonly port: number};
  /** Where others reach endpoints through this instance. */
  readonly relay: {readonly host: string; readonly port: number};
  /** Serves another instance at an endpoint; undefined for an unknown one. */
  readonly serveRelayed: (target: RelayTarget) => ServedConnection | undefined;
  /** Told when instances have come or gone. */
  readonly onChange: () => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: KindStore;
  readonly source: PeerQuerySource;
  /** Whether the store does not serve this instance its configuration. */
  readonly isStoreUnavailable: () => boolean;
  /** Generation of the configuration in force; 0 for none. */
  readonly generation: () => number;
  readonly onConfiguration: (value: unknown) => void;
  readonly onConfirmed: PeerQueryContext['onConfirmed'];
}

/** The others, once this instance can be reached by them. */
export interface Peers extends Disposable {
  readonly witnesses: PeerQueries | undefined;
  /** Other instances' connections with work under way here. */
  readonly activeRequesters: number;
  /** How this instance uses an endpoint among the instances there are. */
  planFor(endpoint: SharedEndpoint): SharingPlan;
  /** Leaves the list, and has those that are served here go elsewhere. */
  leave(): Promise<void>;
}

/** Bounds of links; a configuration of some hundred routes fits a frame. */
const LINK_LIMITS = {
  maxFrameBytes: 2 * 1024 * 1024,
  maxQueuedBytes: 4 * 1024 * 1024,
  responseTimeoutMs: 1000,
  idleMs: 10_000,
  connectMs: 500,
} as const;

/** Names and addresses of instances, to see whether they have changed. */
function namesOf(entries: readonly ListedInstance[]): string {
  return entries
    .map(({instance, relay}) => `${instance} ${relay}`)
    .sort()
    .join(',');
}

/** Lists this instance and learns of the others. */
export function joinPeers(context: PeersContext): Peers {
  const {instance, dataCentre, peers, clock, log, store} = context;
  const owned = disposableStore();
  const listing = instanceRegistration(store, instance);
  let presence = NO_INSTANCES;
  let present: readonly ListedInstance[] = [];
  let current: PeerQueries | undefined;
  let renewedAt = -Infinity;
  /** Whether the list of instances was asked for, with or without success. */
  let wasRead = false;
  /** Where others reach this instance, once it listens. */
  let address = '';
  let relay: Relay | undefined;

  async function listen(): Promise<void> {
    const transport = await tcpTransport<PeerQueryMessage>({
      ...peers,
      clock,
      limits: LINK_LIMITS,
      check: isPeerQueryMessage,
      onMessage: message => current?.receive(message),
      onLinkError: (other, why) =>
        log.debug({event: 'peerLinkLost', address: other, why}),
    });
    owned.add(transport);
    address = transport.address;
    relay = await startRelay({
      ...context.relay,
      idleTimeoutMs: TIMES.requesterIdleTimeoutMs,
      serve: context.serveRelayed,
      onEnd: (target, why) => log.info({event: 'relayEnded', ...target, why}),
    });
    owned.add(relay);
    current = peerQueries({
      transport,
      clock,
      relay: relayAddress,
      source: context.source,
      peerAddresses: () => present.map(entry => entry.address),
      answerTimeoutMs: TIMES.peerQueryTimeoutMs,
      maxQueriedPeers: LIMITS.maxQueriedPeers,
      onConfiguration: context.onConfiguration,
      onConfirmed: context.onConfirmed,
    });
  }

  function relayAddress(): string {
    return relay ? `${context.relay.host}:${relay.port}` : '';
  }

  async function renew(): Promise<void> {
    const now = clock.now();
    if (now - renewedAt < TIMES.instanceEntryRenewMs) return;
    await listing.renew({address, relay: relayAddress(), dataCentre});
    renewedAt = now;
  }

  async function read(): Promise<void> {
    try {
      presence = updatePresence(
        presence,
        await listInstances(store),
        clock.now(),
      );
    } catch (err) {
      log.warn({event: 'instancesNotRead', why: messageOf(err)});
    }
    notePresent();
  }

  async function refresh(): Promise<void> {
    await read();
    try {
      await renew();
    } catch (err) {
      log.warn({event: 'instanceNotListed', why: messageOf(err)});
    }
  }

  function notePresent(): void {
    const before = present;
    const isFirst = !wasRead;
    wasRead = true;
    present = presentInstances(
      presence,
      clock.now(),
      TIMES.instanceEntryExpiryMs,
    ).filter(entry => entry.instance !== instance);
    if (!isFirst && namesOf(present) === namesOf(before)) return;
    log.info({event: 'instancesListed', others: present.length});
    context.onChange();
  }

  /** Removes the entries of instances that were silent for long. */
  async function removeSilent(): Promise<void> {
    const now = clock.now();
    const silent = entriesToRemove(
      presence,
      instance,
      now,
      TIMES.instanceEntryExpiryMs,
    );
    for (const entry of silent) {
      log.info({event: 'silentInstanceRemoved', other: entry.instance});
      await removeEntry(store, entry);
    }
  }

  async function run(): Promise<void> {
    await listen();
    await refresh();
    await clock.sleep(TIMES.firstInstanceListPollMs);
    while (!owned.disposed) {
      await refresh();
      await removeSilent().catch(err =>
        log.warn({event: 'silentInstanceNotRemoved', why: messageOf(err)}),
      );
      const isListed = renewedAt > -Infinity;
      await clock.sleep(
        isListed ? TIMES.instanceListPollMs : TIMES.firstInstanceListPollMs,
      );
    }
  }

  async function askWhileCutOff(): Promise<void> {
    while (!owned.disposed) {
      await clock.sleep(TIMES.askConfigurationIntervalMs);
      if (context.isStoreUnavailable())
        current?.requestConfiguration(context.generation());
    }
  }

  run().catch(err => log.error({event: 'othersFailed', why: messageOf(err)}));
  void askWhileCutOff();
  return {
    get witnesses() {
      return current;
    },
    get activeRequesters() {
      return relay?.activeRequesters ?? 0;
    },
    planFor(endpoint) {
      // All that start together must not open connections before they know
      // how many they are.
      if (!wasRead) return NO_CONNECTIONS_PLAN;
      const self = {instance, dataCentre, address, relay: relayAddress()};
      return sharingPlan(self, present, endpoint);
    },
    async leave() {
      relay?.stop();
      try {
        await listing.deregister();
      } catch (err) {
        // The others remove it after its silence.
        log.info({event: 'entryNotRemoved', why: messageOf(err)});
      }
    },
    dispose: () => owned.dispose(),
  };
}
