/**
 * The state of one endpoint in this instance: its connections, its last known
 * log position and role, and whether it answers.
 */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  ConnectionRefusedError,
  type EndpointConnection,
  type EndpointDriver,
  ErrorCode,
} from '@quetzalreel/requests';
import {
  type EndpointObservation,
  type RelayAddress,
  type RelayDriver,
} from '@quetzalreel/relay';
import {type ConnectionUse, ConnectionWay, OWN_USE} from './connection-use.js';
import {controlWaiters} from './control-waiters.js';
import {LIMITS, TIMES} from './defaults.js';
import {endpointContact} from './endpoint-contact.js';
import {type EndpointFacts, noFacts} from './endpoint-facts.js';
import {type LoadCounts, noLoad} from './load-counts.js';
import type {Log} from './log.js';
import {type PooledConnection, pooledConnection} from './pooled-connection.js';
import type {ListedEndpoint} from './routes.js';
import type {SharingPlan} from './connection-sharing.js';
import {connectionPath} from './connection-path.js';

/** One endpoint with its connections. */
export interface EndpointLink extends Disposable {
  listed: ListedEndpoint;
  readonly facts: EndpointFacts;
  /** What has happened to the work for the endpoint. */
  readonly load: LoadCounts;
  /** Number of connections: in use, idle and opening. */
  readonly connections: number;
  readonly idle: number;
  /** The sharing plan in force for the endpoint. */
  readonly plan: SharingPlan;
  /** Replaces the sharing plan. */
  applyPlan(plan: SharingPlan): void;
  /** Number of direct connections, open or being opened. */
  readonly directConnections: number;
  /** Number of idle direct connections, without relay. */
  readonly idleDirect: number;
  /** Whether an idle connection serves these requests. */
  hasIdle(use: ConnectionUse): boolean;
  /**
   * Takes an idle connection that serves these requests, preferably one whose
   * settings have `key`.
   */
  acquire(key: string, use: ConnectionUse): PooledConnection | undefined;
  /**
   * Takes an idle connection for a request that controls the endpoint, or the
   * next one that becomes free within `forMs`, before statements that wait; opens
   * one meanwhile, beyond the plan if all of its connections are in use.
   */
  acquireNext(
    use: ConnectionUse,
    forMs: number,
  ): Promise<PooledConnection | undefined>;
  release(connection: PooledConnection, reusable: boolean): void;
  /**
   * Opens another connection for these requests if the limits allow it now. At
   * the limit, the connection of another account that has been idle longest is
   * closed first.
   */
  open(use?: ConnectionUse): void;
  /**
   * Closes connections that the plan no longer calls for. Of the others it closes
   * the one that has been idle longest, if that is `TIMES.idleConnectionMs` or
   * more and both `least` and the plan allow one fewer.
   */
  closeUnused(least: number): void;
  /**
   * Closes all idle connections, since a broken idle connection can't be
   * detected otherwise.
   */
  closeIdle(): void;
  /** Closes all connections, those in use as well; their requests are lost. */
  closeAll(): void;
  /** Uses another instance's relay for a limited time. */
  startDetour(relay: RelayAddress): void;
  /** Whether the endpoint is unresponsive here and reached through a relay. */
  readonly isOnDetour: boolean;
  /** Records an answer of the endpoint. */
  noteAnswer(answer: Answer): void;
  /** Records the observation of a holder that was asked at `askedAt`. */
  noteObservation(observation: EndpointObservation, askedAt: number): void;
  /**
   * Records that a relay did not answer, and closes the idle connections through
   * it: they may be silent as well.
   */
  noteRelayFailure(relay: RelayAddress): void;
  /** Records that a request sent at `sentAt` got no answer. */
  noteUnanswered(sentAt: number, wasReset: boolean): void;
}

/** Dependencies of endpoint links. */
export interface LinkContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly driver: EndpointDriver;
  readonly relayDriver: RelayDriver;
  /** Called when an idle connection becomes available. */
  readonly onIdle: () => void;
}

/** A connection of a link, with the relay that it goes through. */
interface LinkConnection {
  readonly pooled: PooledConnection;
  /** Undefined for a direct connection. */
  readonly relay: RelayAddress | undefined;
  /**
   * The account that a direct connection belongs to; undefined for a relayed
   * one, whose requests tell their accounts.
   */
  readonly account: string | undefined;
}

function wayOf(relay: RelayAddress | undefined): ConnectionWay {
  return relay ? ConnectionWay.Relayed : ConnectionWay.Direct;
}

/** Creates a link without connections. */
export function endpointLink(
  listed: ListedEndpoint,
  {clock, log, driver, relayDriver, onIdle}: LinkContext,
): EndpointLink {
  const idle: LinkConnection[] = [];
  const waiters = controlWaiters(clock);
  const all = new Map<PooledConnection, LinkConnection>();
  const path = connectionPath(clock);
  /** Number of connections being opened, direct and through relays. */
  const opening = {direct: 0, relayed: 0};
  const load = noLoad();
  let retryAt = -Infinity;
  let disposed = false;
  const facts = noFacts(listed.slots);

  const contact = endpointContact(facts, clock);

  function add(
    connection: EndpointConnection,
    relay: RelayAddress | undefined,
    account: string | undefined,
  ): void {
    const pooled = pooledConnection(connection, clock.now());
    const member = {pooled, relay, account};
    all.set(pooled, member);
    connection.onClose(() => {
      all.delete(pooled);
      const at = idle.indexOf(member);
      if (at >= 0) idle.splice(at, 1);
      if (relay) return;
      if (at >= 0) load.closedUnused++;
      else load.closedInUse++;
    });
    if (connection.isOpen) offer(member);
  }

  /** Makes a connection available: to control requests first. */
  function offer(member: LinkConnection): void {
    if (waiters.offer(member.pooled, use => serves(member, use))) return;
    idle.push(member);
    onIdle();
  }

  async function connectDirectly(account: string): Promise<void> {
    const sentAt = clock.now();
    const {id, group, host, port} = link.listed;
    load.opened++;
    if (link.hasIdle({way: ConnectionWay.Direct, account}))
      load.openedBesideIdle++;
    opening.direct++;
    try {
      const address = {id, group, host, port, account};
      const opened = await driver
        .connect(address, TIMES.connectTimeoutMs)
        .finally(() => opening.direct--);
      path.noteDirectAttempt(true);
      contact.noteHeard(opened.openPosition);
      if (disposed) opened.dispose();
      else add(opened, undefined, account);
    } catch (err) {
      path.noteDirectAttempt(false);
      noteConnectFailure(err, sentAt);
    }
  }

  async function connectThroughRelay(relay: RelayAddress): Promise<void> {
    const {id: endpoint, group} = link.listed;
    opening.relayed++;
    try {
      const opened = await relayDriver
        .connect(relay, {group, endpoint}, TIMES.relayConnectTimeoutMs)
        .finally(() => opening.relayed--);
      if (disposed) opened.dispose();
      else add(opened, relay, undefined);
    } catch (err) {
      path.noteRelayFailure(relay);
      log.info({event: 'relayFailed', endpoint, why: messageOf(err)});
    }
  }

  function noteConnectFailure(err: unknown, sentAt: number): void {
    const id = link.listed.id;
    retryAt = clock.now() + TIMES.connectRetryMs;
    if (err instanceof ConnectionRefusedError) {
      const code = err.answer.error?.code;
      if (code === ErrorCode.TooManyConnections) {
        retryAt = clock.now() + TIMES.connectionLimitRetryMs;
      }
      contact.noteHeard(undefined);
      log.info({event: 'connectionRefused', endpoint: id, code});
      return;
    }
    const wasReset = err instanceof ConnectionLostError && err.wasReset;
    if (facts.unansweredSince === undefined) {
      log.info({event: 'connectFailed', endpoint: id, why: String(err)});
    }
    contact.noteUnanswered(sentAt, wasReset);
  }

  /** Number of connections, including those being opened. */
  function count(isRelayed: boolean): number {
    let found = isRelayed ? opening.relayed : opening.direct;
    for (const {relay} of all.values()) {
      if ((relay !== undefined) === isRelayed) found++;
    }
    return found;
  }

  function openRelayed(relay: RelayAddress): void {
    if (opening.relayed >= LIMITS.maxConcurrentOpens) return;
    let through = opening.relayed;
    for (const member of all.values()) if (member.relay === relay) through++;
    if (through >= LIMITS.maxRelayedConnections) return;
    void connectThroughRelay(relay);
  }

  /** `beyondPlan`: how many connections more than planned there may be. */
  function openDirectly(account: string, beyondPlan = 0): void {
    if (clock.now() < retryAt) return;
    if (opening.direct >= LIMITS.maxConcurrentOpens) return;
    const most = path.plan.maxOwnConnections + beyondPlan;
    const isFull = count(false) >= most;
    if (isFull && !closeIdleOfOthers(account)) return;
    void connectDirectly(account);
  }

  function openFor(
    {way, account = ''}: ConnectionUse = OWN_USE,
    beyondPlan: number,
  ): void {
    if (disposed) return;
    const isDirect = way === ConnectionWay.Direct;
    const relay = isDirect ? undefined : path.nextRelay(account);
    if (relay) openRelayed(relay);
    else openDirectly(account, beyondPlan);
  }

  /** Opens a connection for a control request, unless one is being opened. */
  function openForControl(use: ConnectionUse): void {
    if (opening.direct + opening.relayed > 0) return;
    openFor(use, LIMITS.controlConnections);
  }

  /** Makes room for a connection of `account`; false if all are in use. */
  function closeIdleOfOthers(account: string): boolean {
    for (const member of idle) {
      if (member.account === undefined || member.account === account) continue;
      load.closedForOthers++;
      member.pooled.connection.dispose();
      return true;
    }
    return false;
  }

  /** Whether a connection may serve these requests. */
  function serves(
    {relay, account: owner}: LinkConnection,
    {way, account}: ConnectionUse,
  ): boolean {
    if (way !== ConnectionWay.Any && way !== wayOf(relay)) return false;
    if (account === undefined) return true;
    if (!relay) return owner === account;
    // Another holder would have to open a connection for the account.
    return account === '' || relay === path.nextRelay(account);
  }

  /**
   * Whether a connection is direct while the plan calls for relayed ones, or
   * the reverse, and an idle connection of the planned kind can replace it.
   */
  function isOutdated({relay}: LinkConnection): boolean {
    const isRelayed = relay !== undefined;
    const wantsRelayed = path.isDetour || !path.plan.isHolder;
    if (isRelayed === wantsRelayed) return false;
    return idle.some(other => (other.relay !== undefined) === wantsRelayed);
  }

  const link: EndpointLink = {
    listed,
    facts,
    load,
    get connections() {
      return all.size + opening.direct + opening.relayed;
    },
    get idle() {
      return idle.length;
    },
    get plan() {
      return path.plan;
    },
    applyPlan(plan) {
      if (
        plan.isHolder !== path.plan.isHolder ||
        plan.maxOwnConnections !== path.plan.maxOwnConnections
      ) {
        const {isHolder, maxOwnConnections} = plan;
        const {id: endpoint} = link.listed;
        log.info({
          event: 'sharingPlanned',
          endpoint,
          isHolder,
          most: maxOwnConnections,
        });
      }
      path.plan = plan;
    },
    get directConnections() {
      return count(false);
    },
    get idleDirect() {
      let direct = 0;
      for (const {relay} of idle) if (!relay) direct++;
      return direct;
    },
    hasIdle: use => idle.some(member => serves(member, use)),
    acquire(key, use) {
      let at = -1;
      for (let i = idle.length - 1; i >= 0; i--) {
        const member = idle[i]!;
        if (!serves(member, use)) continue;
        if (at < 0) at = i;
        if (member.pooled.settingsKey !== key) continue;
        at = i;
        break;
      }
      return at < 0 ? undefined : idle.splice(at, 1)[0]!.pooled;
    },
    acquireNext(use, forMs) {
      const free = link.acquire('', use);
      if (free) return Promise.resolve(free);
      openForControl(use);
      return waiters.wait(use, forMs);
    },
    release(connection, reusable) {
      const member = all.get(connection);
      if (!member || !reusable || disposed || !connection.isReusable) {
        connection.connection.dispose();
        return;
      }
      connection.trim();
      connection.idleSince = clock.now();
      offer(member);
    },
    open: use => openFor(use, 0),
    closeUnused(least) {
      for (const member of [...idle]) {
        if (isOutdated(member)) member.pooled.connection.dispose();
      }
      const oldest = idle[0]?.pooled;
      // One through each holder stays open, since accounts choose holders.
      const kept = path.plan.hasAccounts ? path.plan.holders.length : 0;
      if (
        !oldest ||
        all.size <= Math.max(least, kept, path.plan.keptConnections)
      )
        return;
      if (clock.now() - oldest.idleSince < TIMES.idleConnectionMs) return;
      oldest.connection.dispose();
    },
    closeIdle() {
      for (const {pooled} of [...idle]) pooled.connection.dispose();
    },
    closeAll() {
      for (const pooled of [...all.keys()]) pooled.connection.dispose();
    },
    startDetour(relay) {
      path.startDetour(relay);
      retryAt = -Infinity;
      log.info({event: 'endpointRelayed', endpoint: link.listed.id, relay});
    },
    get isOnDetour() {
      return path.isDetour;
    },
    noteAnswer: contact.noteAnswer,
    noteUnanswered: contact.noteUnanswered,
    noteObservation: contact.noteObservation,
    noteRelayFailure(relay) {
      path.noteRelayFailure(relay);
      for (const member of [...idle]) {
        if (member.relay === relay) member.pooled.connection.dispose();
      }
    },
    dispose() {
      disposed = true;
      for (const {pooled} of [...idle]) pooled.connection.dispose();
    },
  };
  return link;
}
