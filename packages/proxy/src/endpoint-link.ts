/**
 * One endpoint as this instance knows it: its connections, what it has said of
 * its log and its role, and whether it answers.
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
import {type Position, laterOf} from '@quetzalreel/position';
import {
  type EndpointObservation,
  type RelayAddress,
  connectViaRelay,
} from '@quetzalreel/relay';
import {NO_REFUSALS, type CatchUpBackoff, afterBehind} from './catch-up.js';
import {type ConcurrencyLimit, initialLimit} from './concurrency.js';
import {LIMITS, TIMES} from './defaults.js';
import type {Log} from './log.js';
import {type PooledConnection, pooledConnection} from './pooled-connection.js';
import type {ListedEndpoint} from './routes.js';
import type {SharingPlan} from './connection-sharing.js';
import {connectionPath} from './connection-path.js';

/** What is known of an endpoint. Times are monotonic milliseconds. */
export interface EndpointFacts {
  /** The furthest that its log was seen. */
  position: Position | undefined;
  /** Whether its log lacked what reads must see. */
  catchUp: CatchUpBackoff;
  /** When it was last heard of. */
  lastContactAt: number;
  /** When the oldest question without an answer since `heardAt` was sent. */
  unansweredSince: number | undefined;
  /** Since when connections were refused or reset at once. */
  refusingSince: number | undefined;
  /** When the request was sent that proved it to be the primary. */
  provenPrimaryAt: number;
  /** When the request was sent that proved that it is not the primary. */
  provenNotPrimaryAt: number;
  /** Smoothed time of statements, in milliseconds. */
  answerMs: number;
  /** Statements under way from here. */
  inFlight: number;
  /** How many of them are allowed. */
  concurrency: ConcurrencyLimit;
}

/** One endpoint. */
export interface EndpointLink extends Disposable {
  listed: ListedEndpoint;
  readonly facts: EndpointFacts;
  /** Connections, in use or not, and those that are being opened. */
  readonly connections: number;
  readonly idle: number;
  /** Idle ones that are this instance's own. */
  readonly idleDirect: number;
  /** How the endpoint is used. */
  readonly plan: SharingPlan;
  /** Uses the endpoint in another way from now on. */
  applyPlan(plan: SharingPlan): void;
  /** An idle connection, best one whose settings have `key`. */
  acquire(key: string, directOnly?: boolean): PooledConnection | undefined;
  release(connection: PooledConnection, reusable: boolean): void;
  /** Opens one more connection if that is allowed now. */
  open(directOnly?: boolean): void;
  /** Closes idle connections beyond `least` that were not used for long. */
  closeUnused(least: number): void;
  /** Closes all idle connections; silent ones are found out by none other. */
  closeIdle(): void;
  /** Reaches it through another instance's relay for a while. */
  useRelay(relay: RelayAddress): void;
  /** Whether it is silent here and reached through another instance. */
  readonly isRelayed: boolean;
  /** Notes an answer. */
  noteAnswer(answer: Answer): void;
  /** Notes what an instance that holds connections knows, which was asked at
   * `askedAt`. */
  noteObservation(sign: EndpointObservation, askedAt: number): void;
  /** Notes that a relay did not answer. */
  noteRelayFailure(relay: RelayAddress): void;
  /** Notes that something sent at `sentAt` has no answer. */
  noteUnanswered(sentAt: number, wasReset: boolean): void;
}

/** What links work with. */
export interface LinkContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly driver: EndpointDriver;
  /** Called when a connection can be taken that could not before. */
  readonly onIdle: () => void;
}

/** Weight of a new time in the smoothed one. */
const ANSWER_WEIGHT = 0.15;

/** Notes how long a statement took. */
export function noteAnswerTime(facts: EndpointFacts, tookMs: number): void {
  facts.answerMs += (tookMs - facts.answerMs) * ANSWER_WEIGHT;
}

/** A connection of a link, and the relay that it goes through. */
interface Member {
  readonly pooled: PooledConnection;
  /** Undefined for a direct one. */
  readonly relay: RelayAddress | undefined;
}

/** A link without connections. */
export function endpointLink(
  listed: ListedEndpoint,
  {clock, log, driver, onIdle}: LinkContext,
): EndpointLink {
  const free: Member[] = [];
  const all = new Map<PooledConnection, Member>();
  const ways = connectionPath(clock);
  /** Being opened, directly and through relays. */
  const opening = {direct: 0, relayed: 0};
  let retryAt = -Infinity;
  let disposed = false;
  const facts: EndpointFacts = {
    position: undefined,
    catchUp: NO_REFUSALS,
    lastContactAt: -Infinity,
    unansweredSince: undefined,
    refusingSince: undefined,
    provenPrimaryAt: -Infinity,
    provenNotPrimaryAt: -Infinity,
    answerMs: TIMES.initialAnswerMs,
    inFlight: 0,
    concurrency: initialLimit(listed.slots),
  };

  /** Notes that the endpoint was heard of at `at`. */
  function noteHeard(position: Position | undefined, at = clock.now()): void {
    facts.lastContactAt = Math.max(facts.lastContactAt, at);
    notePosition(position);
    // What was asked since then has no answer yet.
    if (facts.unansweredSince !== undefined && facts.unansweredSince > at)
      return;
    facts.unansweredSince = undefined;
    facts.refusingSince = undefined;
  }

  function notePosition(position: Position | undefined): void {
    if (!position) return;
    facts.position = facts.position
      ? laterOf(facts.position, position)
      : position;
  }

  function noteUnanswered(sentAt: number, wasReset: boolean): void {
    if (sentAt < facts.lastContactAt) return;
    facts.unansweredSince ??= sentAt;
    if (wasReset) facts.refusingSince ??= clock.now();
  }

  function add(connection: EndpointConnection, relay?: RelayAddress): void {
    const pooled = pooledConnection(connection, clock.now());
    const member = {pooled, relay};
    all.set(pooled, member);
    connection.onClose(() => {
      all.delete(pooled);
      const at = free.indexOf(member);
      if (at >= 0) free.splice(at, 1);
    });
    if (!connection.isOpen) return;
    free.push(member);
    onIdle();
  }

  async function connectDirectly(): Promise<void> {
    const sentAt = clock.now();
    const {id, group, host, port} = link.listed;
    opening.direct++;
    try {
      const address = {id, group, host, port};
      const opened = await driver
        .connect(address, TIMES.connectTimeoutMs)
        .finally(() => opening.direct--);
      ways.noteDirectAttempt(true);
      noteHeard(opened.openPosition);
      if (disposed) opened.dispose();
      else add(opened);
    } catch (err) {
      ways.noteDirectAttempt(false);
      notOpened(err, sentAt);
    }
  }

  async function connectOver(relay: RelayAddress): Promise<void> {
    const {id: endpoint, group} = link.listed;
    opening.relayed++;
    try {
      const opened = await connectViaRelay(
        relay,
        {group, endpoint},
        TIMES.relayConnectTimeoutMs,
      ).finally(() => opening.relayed--);
      if (disposed) opened.dispose();
      else add(opened, relay);
    } catch (err) {
      ways.noteRelayFailure(relay);
      log.info({event: 'relayFailed', endpoint, why: messageOf(err)});
    }
  }

  function notOpened(err: unknown, sentAt: number): void {
    const id = link.listed.id;
    retryAt = clock.now() + TIMES.connectRetryMs;
    if (err instanceof ConnectionRefusedError) {
      const code = err.answer.error?.code;
      if (code === ErrorCode.TooManyConnections) {
        retryAt = clock.now() + TIMES.connectionLimitRetryMs;
      }
      noteHeard(undefined);
      log.info({event: 'connectionRefused', endpoint: id, code});
      return;
    }
    const wasReset = err instanceof ConnectionLostError && err.wasReset;
    if (facts.unansweredSince === undefined) {
      log.info({event: 'connectFailed', endpoint: id, why: String(err)});
    }
    noteUnanswered(sentAt, wasReset);
  }

  /** Connections, with those that are being opened. */
  function count(isRelayed: boolean): number {
    let found = isRelayed ? opening.relayed : opening.direct;
    for (const {relay} of all.values()) {
      if ((relay !== undefined) === isRelayed) found++;
    }
    return found;
  }

  function openRelayed(relay: RelayAddress): void {
    if (opening.relayed >= LIMITS.maxConcurrentOpens) return;
    if (count(true) >= LIMITS.maxRelayedConnections) return;
    void connectOver(relay);
  }

  function openDirectly(): void {
    if (clock.now() < retryAt) return;
    if (opening.direct >= LIMITS.maxConcurrentOpens) return;
    if (count(false) >= ways.plan.maxOwnConnections) return;
    void connectDirectly();
  }

  /** Whether a connection is of the kind that is not planned any more, and
   * one of the other kind is there to take its work. */
  function isOutdated({relay}: Member): boolean {
    const isRelayed = relay !== undefined;
    const wantsRelayed = ways.isDetour || !ways.plan.isHolder;
    if (isRelayed === wantsRelayed) return false;
    return free.some(other => (other.relay !== undefined) === wantsRelayed);
  }

  const link: EndpointLink = {
    listed,
    facts,
    get connections() {
      return all.size + opening.direct + opening.relayed;
    },
    get idle() {
      return free.length;
    },
    get idleDirect() {
      let direct = 0;
      for (const {relay} of free) if (!relay) direct++;
      return direct;
    },
    get plan() {
      return ways.plan;
    },
    applyPlan(plan) {
      if (
        plan.isHolder !== ways.plan.isHolder ||
        plan.maxOwnConnections !== ways.plan.maxOwnConnections
      ) {
        const {isHolder, maxOwnConnections: most} = plan;
        const {id: endpoint} = link.listed;
        log.info({event: 'sharingPlanned', endpoint, isHolder, most});
      }
      ways.plan = plan;
    },
    acquire(key, directOnly = false) {
      let at = -1;
      for (let i = free.length - 1; i >= 0; i--) {
        const {pooled, relay} = free[i]!;
        if (directOnly && relay) continue;
        if (at < 0) at = i;
        if (pooled.settingsKey !== key) continue;
        at = i;
        break;
      }
      return at < 0 ? undefined : free.splice(at, 1)[0]!.pooled;
    },
    release(connection, reusable) {
      const member = all.get(connection);
      if (!member || !reusable || disposed || !connection.isReusable) {
        connection.connection.dispose();
        return;
      }
      connection.idleSince = clock.now();
      free.push(member);
      onIdle();
    },
    open(directOnly = false) {
      if (disposed) return;
      const relay = directOnly ? undefined : ways.nextRelay();
      if (relay) openRelayed(relay);
      else openDirectly();
    },
    closeUnused(least) {
      for (const member of [...free]) {
        if (isOutdated(member)) member.pooled.connection.dispose();
      }
      const oldest = free[0]?.pooled;
      if (!oldest || all.size <= least) return;
      if (clock.now() - oldest.idleSince < TIMES.idleConnectionMs) return;
      oldest.connection.dispose();
    },
    closeIdle() {
      for (const {pooled} of [...free]) pooled.connection.dispose();
    },
    useRelay(relay) {
      ways.useRelay(relay);
      retryAt = -Infinity;
      log.info({event: 'endpointRelayed', endpoint: link.listed.id, relay});
    },
    get isRelayed() {
      return ways.isDetour;
    },
    noteAnswer({position, error}) {
      if (!error) facts.catchUp = NO_REFUSALS;
      else if (error.code === ErrorCode.Behind) {
        facts.catchUp = afterBehind(facts.catchUp);
      }
      // Each answer of an endpoint tells where its log stands. One without it
      // is a holder's own, and no sign of life of the endpoint.
      if (position) noteHeard(position);
    },
    noteUnanswered: noteUnanswered,
    noteObservation({position, heardMsAgo, silentMs, isRefusing}, askedAt) {
      // Counted back from the question: the time of the answer's way would
      // make it newer with each instance that passes it on.
      noteHeard(position, askedAt - heardMsAgo);
      if (silentMs === undefined) return;
      noteUnanswered(clock.now() - silentMs, isRefusing);
    },
    noteRelayFailure: ways.noteRelayFailure,
    dispose() {
      disposed = true;
      for (const {pooled} of [...free]) pooled.connection.dispose();
    },
  };
  return link;
}
