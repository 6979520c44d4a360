/**
 * Communication with the peers: the list of instances, requests to them and the
 * answers to theirs.
 */
import {
  type Clock,
  type Disposable,
  disposableStore,
  hashOf,
  messageOf,
} from '@quetzalreel/common';
import type {ChangeRecord, Confirmations} from '@quetzalreel/failover';
import {
  type FactMessage,
  type FeedMessage,
  hasFactType,
  isFactMessage,
  linksOf,
} from '@quetzalreel/facts';
import type {KindStore} from '@quetzalreel/object-store';
import {
  type QuotaInstance,
  type QuotaMessage,
  hasQuotaType,
  isQuotaMessage,
} from '@quetzalreel/quota';
import type {AnswerMemory, CallerMemory} from '@quetzalreel/requests';
import {type PeerTransport, tcpTransport} from '@quetzalreel/peer';
import {type Relay, type RelayOptions, startRelay} from '@quetzalreel/relay';
import {
  type ChangeQueries,
  type ChangeSource,
  type PeerAddress,
  type PeerQueryContext,
  type PeerQueryMessage,
  type PeerQuerySource,
  type PeerQueries,
  changeQueries,
  hasPeerQueryType,
  isPeerQueryMessage,
  peerQueries,
} from '@quetzalreel/peer-queries';
import {LIMITS, PERMISSION_LIMITS, TIMES} from './defaults.js';
import {instanceList} from './instance-list.js';
import type {Log} from './log.js';
import {
  NO_CONNECTIONS_PLAN,
  type SharedEndpoint,
  type SharingPlan,
  sharingPlan,
} from './connection-sharing.js';

/** Dependencies of the peers. */
export interface PeersContext {
  readonly instance: string;
  readonly dataCentre: string;
  readonly peers: {readonly host: string; readonly port: number};
  /** Address of the relay that peers use to reach endpoints. */
  readonly relay: {readonly host: string; readonly port: number};
  readonly answerMemory: AnswerMemory;
  /**
   * Creates the executor for a requester at an endpoint; undefined for an
   * unknown endpoint.
   */
  readonly serveRelayed: RelayOptions['serve'];
  readonly callerMemory: CallerMemory;
  /** Requesters that may be connected to the relay at the same time. */
  readonly maxRequesters: number;
  /** Called when instances have joined or left. */
  readonly onChange: () => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: KindStore;
  readonly source: PeerQuerySource;
  readonly changeSource: ChangeSource;
  /** Whether the store does not serve this instance its configuration. */
  readonly isStoreUnavailable: () => boolean;
  /** Generation of the configuration in force; 0 for none. */
  readonly generation: () => number;
  readonly onConfiguration: (value: unknown) => void;
  readonly onConfirmed: PeerQueryContext['onConfirmed'];
  readonly onFact: (message: FactMessage) => void;
  readonly onQuota: (message: QuotaMessage) => void;
  /** Called when a link that has worked fails; what was sent on it may be lost. */
  readonly onLinkLost: (address: string) => void;
}

/** The instances that confirm change records; the same on every instance. */
export interface Witnesses {
  /** Without this instance. */
  readonly peers: readonly PeerAddress[];
  readonly includesSelf: boolean;
  readonly confirmChanges: ChangeQueries['confirmChanges'];
}

/** The peers of this instance. */
export interface Peers extends Disposable {
  readonly peerQueries: PeerQueries | undefined;
  /** Undefined until the list of instances is known. */
  readonly witnesses: Witnesses | undefined;
  /**
   * Announces a change to all listed instances; undefined if they can't be
   * told.
   */
  announce(change: ChangeRecord): Promise<Confirmations | undefined>;
  /**
   * Whether all listed instances answer that they have sent no order for
   * `idleMs`, and use no lease of before `era` any more.
   */
  areIdle(era: number, idleMs: number): Promise<boolean>;
  /**
   * Addresses of the instances that facts are spread to; undefined until the
   * list of instances can be used.
   */
  readonly links: readonly string[] | undefined;
  /**
   * Makes sure that all instances that have an entry by now are known; resolves to
   * whether they are.
   */
  confirm(): Promise<boolean>;
  /** Whether the store has this instance's entry, so that others can know it. */
  readonly hasEntry: boolean;
  /** Number of known instances, with this one. */
  readonly fleetSize: number;
  /** This instance and the others; undefined until the store has told them. */
  readonly quotaInstances:
    | {readonly self: QuotaInstance; readonly others: readonly QuotaInstance[]}
    | undefined;
  /** Whether this instance was listed already when it started. */
  readonly wasListedAtStart: boolean;
  /** Whether all instances still list this one, as far as the store tells. */
  readonly isListed: boolean;
  /** Sends a message about quotas; it may be lost. */
  sendQuota(address: string, message: QuotaMessage): void;
  /** Sends a message about facts; it may be lost. */
  sendFact(addresses: readonly string[], message: FeedMessage): void;
  /** Requesters with a request in flight or an open transaction here. */
  readonly activeRequesters: number;
  /**
   * Plans how the connections to an endpoint are shared among the instances.
   */
  planFor(endpoint: SharedEndpoint): SharingPlan;
  /**
   * Removes this instance from the list, and notifies its requesters so that
   * they switch to another instance.
   */
  leave(): Promise<void>;
}

/**
 * Limits of the connections to peers; a configuration of a few hundred routes
 * fits in a frame.
 */
const LINK_LIMITS = {
  maxFrameBytes: 2 * 1024 * 1024,
  maxQueuedBytes: 4 * 1024 * 1024,
  responseTimeoutMs: 1000,
  idleMs: 10_000,
  connectMs: 500,
} as const;

/** Version of the messages by which facts are spread. */
const FACTS_VERSION = 2;

/** A message of a type that only a newer build knows; it is passed over. */
interface UnknownMessage {
  readonly type: string;
  readonly from: string;
}

type PeerMessage =
  PeerQueryMessage | FactMessage | QuotaMessage | UnknownMessage;

/** Whether a message has a sender and a type that this build does not know. */
function isUnknownType(value: unknown): value is UnknownMessage {
  if (typeof value !== 'object' || value === null) return false;
  const {type, from} = value as Partial<UnknownMessage>;
  if (typeof type !== 'string' || typeof from !== 'string') return false;
  if (hasQuotaType(value)) return false;
  return !hasFactType(value) && !hasPeerQueryType(value);
}

function isPeerMessage(value: unknown): value is PeerMessage {
  return (
    isPeerQueryMessage(value) ||
    isFactMessage(value) ||
    isQuotaMessage(value) ||
    isUnknownType(value)
  );
}

/** Adds this instance to the list and follows the list of peers. */
export function joinPeers(context: PeersContext): Peers {
  const {instance, dataCentre, peers, clock, log, store} = context;
  const owned = disposableStore();
  const list = owned.add(
    instanceList({
      instance,
      clock,
      log,
      store,
      location: () => ({
        address,
        relay: relayAddress(),
        dataCentre,
        facts: FACTS_VERSION,
      }),
      onChange: noteInstances,
    }),
  );
  let current: PeerQueries | undefined;
  let changes: ChangeQueries | undefined;
  let transport: PeerTransport<PeerMessage> | undefined;
  let links: readonly string[] = [];
  /** Names of the witnesses. */
  let witnesses: readonly string[] = [instance];
  const startedAt = clock.now();
  /** Address of this instance for peers, once it listens. */
  let address = '';
  let relay: Relay | undefined;

  async function listen(): Promise<void> {
    transport = await tcpTransport<PeerMessage>({
      ...peers,
      clock,
      limits: LINK_LIMITS,
      check: isPeerMessage,
      onMessage: message => {
        if (isFactMessage(message)) context.onFact(message);
        else if (isQuotaMessage(message)) context.onQuota(message);
        else if (isPeerQueryMessage(message)) current?.receive(message);
        else {
          const {from, type} = message;
          log.warn({event: 'peerMessageUnknown', address: from, type});
        }
      },
      onLinkError(other, why, wasHeard) {
        log.info({event: 'peerLinkLost', address: other, why, wasHeard});
        if (wasHeard) context.onLinkLost(other);
      },
    });
    owned.add(transport);
    address = transport.address;
    relay = await startRelay({
      ...context.relay,
      idleTimeoutMs: TIMES.requesterIdleTimeoutMs,
      memory: context.answerMemory,
      callerMemory: context.callerMemory,
      maxRequesters: context.maxRequesters,
      serve: context.serveRelayed,
      onEnd: (target, why) => log.info({event: 'relayEnded', ...target, why}),
    });
    owned.add(relay);
    changes = changeQueries({
      instance,
      transport,
      clock,
      source: context.changeSource,
      answerTimeoutMs: TIMES.announceTimeoutMs,
      renewedMs: PERMISSION_LIMITS.witnessMs,
    });
    current = peerQueries({
      transport,
      clock,
      relay: relayAddress,
      source: context.source,
      peerAddresses: () => list.present.map(entry => entry.address),
      confirmPeers: list.confirm,
      answerTimeoutMs: TIMES.peerQueryTimeoutMs,
      maxQueriedPeers: LIMITS.maxQueriedPeers,
      changeQueries: changes,
      onConfiguration: context.onConfiguration,
      onConfirmed: context.onConfirmed,
    });
  }

  /** Chooses the witnesses, by rendezvous hash over the instances. */
  function chooseWitnesses(): string[] {
    const names = [instance, ...list.present.map(entry => entry.instance)];
    return names
      .map(name => ({name, hash: hashOf(`witness/${name}`)}))
      .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
      .slice(0, LIMITS.witnesses)
      .map(({name}) => name);
  }

  function relayAddress(): string {
    return relay ? `${context.relay.host}:${relay.port}` : '';
  }

  /** Chooses witnesses and links when instances have joined or left. */
  function noteInstances(): void {
    witnesses = chooseWitnesses();
    links = linksOf(
      {instance, dataCentre},
      list.present.filter(({facts}) => facts === FACTS_VERSION),
    ).map(linked => linked.address);
    const others = list.present.length;
    const {isKnown, isSettled} = list;
    log.info({event: 'instancesListed', others, links, isKnown, isSettled});
    context.onChange();
  }

  async function run(): Promise<void> {
    await listen();
    await list.run();
  }

  /** Whether the store may lack a configuration that peers have. */
  function mayStoreLackConfiguration(): boolean {
    if (context.isStoreUnavailable()) return true;
    const since = Math.max(startedAt, list.restoredAt);
    return clock.now() - since < TIMES.configurationRewriteMs;
  }

  async function askForConfigurations(): Promise<void> {
    while (!owned.disposed) {
      await clock.sleep(TIMES.askConfigurationIntervalMs);
      if (mayStoreLackConfiguration())
        current?.requestConfiguration(context.generation());
    }
  }

  run().catch(err => log.error({event: 'othersFailed', why: messageOf(err)}));
  void askForConfigurations();
  return {
    get peerQueries() {
      return current;
    },
    get witnesses() {
      if (!list.isKnown || !changes) return undefined;
      return {
        peers: list.present.filter(entry => witnesses.includes(entry.instance)),
        includesSelf: witnesses.includes(instance),
        confirmChanges: changes.confirmChanges,
      };
    },
    async announce(change) {
      if (!(await list.confirm())) return undefined;
      return changes?.announce(change, list.present, witnesses);
    },
    async areIdle(era, idleMs) {
      if (!changes || !(await list.confirm())) return false;
      return changes.areIdle(list.present, era, idleMs);
    },
    get links() {
      return list.isUsable ? links : undefined;
    },
    confirm: list.confirm,
    get hasEntry() {
      return list.isKnown;
    },
    get fleetSize() {
      return list.present.length + 1;
    },
    get quotaInstances() {
      if (!list.isKnown || address === '') return undefined;
      const self = {instance, dataCentre, address};
      return {self, others: list.present};
    },
    get wasListedAtStart() {
      return list.wasListedAtStart;
    },
    get isListed() {
      const ageMs = clock.now() - list.renewedAt;
      return ageMs < TIMES.instanceEntryExpiryMs - TIMES.instanceListPollMs;
    },
    sendQuota(to, message) {
      transport?.send(to, message);
    },
    sendFact(to, message) {
      transport?.sendToAll(to, {...message, from: address} as FactMessage);
    },
    get activeRequesters() {
      return relay?.activeRequesters ?? 0;
    },
    planFor(endpoint) {
      // Instances that start together must not open connections before they
      // know how many they are.
      if (!list.isUsable) return NO_CONNECTIONS_PLAN;
      const self = {instance, dataCentre, address, relay: relayAddress()};
      return sharingPlan(self, list.present, endpoint);
    },
    async leave() {
      relay?.stop();
      try {
        await list.leave();
      } catch (err) {
        // The peers remove the entry once it has expired.
        log.info({event: 'entryNotRemoved', why: messageOf(err)});
      }
    },
    dispose: () => owned.dispose(),
  };
}
