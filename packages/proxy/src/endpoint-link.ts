/**
 * One endpoint as this instance knows it: its connections, what it has said of
 * its log and its role, and whether it answers.
 */
import {type Clock, type Disposable} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  ConnectionRefusedError,
  type EndpointDriver,
  ErrorCode,
} from '@quetzalreel/exchange';
import {type Position, laterOf} from '@quetzalreel/position';
import {type ConcurrencyLimit, firstLimit} from './concurrency.js';
import {LIMITS, TIMES} from './defaults.js';
import type {Log} from './log.js';
import {type PooledConnection, pooledConnection} from './pooled.js';
import type {ListedEndpoint} from './routes.js';

/** What is known of an endpoint. Times are monotonic milliseconds. */
export interface EndpointFacts {
  /** The furthest that its log was seen. */
  position: Position | undefined;
  /** When it was last heard of. */
  heardAt: number;
  /** When the oldest question without an answer since `heardAt` was sent. */
  askedAt: number | undefined;
  /** Since when connections were refused or reset at once. */
  refusingSince: number | undefined;
  /** When the request was sent that proved it to be the primary. */
  ledAt: number;
  /** When the request was sent that proved that it is not the primary. */
  deniedAt: number;
  /** Smoothed time of statements, in milliseconds. */
  answerMs: number;
  /** Statements under way from here. */
  running: number;
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
  /** An idle connection, best one whose settings have `key`. */
  take(key: string): PooledConnection | undefined;
  give(connection: PooledConnection, reusable: boolean): void;
  /** Opens one more connection if that is allowed now. */
  open(most: number): void;
  /** Closes idle connections beyond `least` that were not used for long. */
  trim(least: number): void;
  /** Closes all idle connections; silent ones are found out by none other. */
  distrust(): void;
  /** Reaches it through another instance's relay, `host:port`, for a while. */
  reachThrough(relay: string): void;
  /** Whether it is reached through another instance now. */
  readonly isRelayed: boolean;
  /** Notes an answer. */
  heard(answer: Answer): void;
  /** Notes that something sent at `sentAt` has no answer. */
  unanswered(sentAt: number, wasReset: boolean): void;
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

/** A link without connections. */
export function endpointLink(
  listed: ListedEndpoint,
  {clock, log, driver, onIdle}: LinkContext,
): EndpointLink {
  const free: PooledConnection[] = [];
  const all = new Set<PooledConnection>();
  let opening = 0;
  let retryAt = -Infinity;
  let disposed = false;
  let via: {readonly host: string; readonly port: number} | undefined;
  let viaUntil = -Infinity;
  const facts: EndpointFacts = {
    position: undefined,
    heardAt: -Infinity,
    askedAt: undefined,
    refusingSince: undefined,
    ledAt: -Infinity,
    deniedAt: -Infinity,
    answerMs: TIMES.firstAnswerMs,
    running: 0,
    concurrency: firstLimit(listed.slots),
  };

  function noteHeard(position: Position | undefined): void {
    facts.heardAt = Math.max(facts.heardAt, clock.now());
    facts.askedAt = undefined;
    facts.refusingSince = undefined;
    if (position) {
      facts.position = facts.position
        ? laterOf(facts.position, position)
        : position;
    }
  }

  function noteUnanswered(sentAt: number, wasReset: boolean): void {
    if (sentAt < facts.heardAt) return;
    facts.askedAt ??= sentAt;
    if (wasReset) facts.refusingSince ??= clock.now();
  }

  function add(connection: PooledConnection): void {
    all.add(connection);
    connection.connection.onClose(() => {
      all.delete(connection);
      const at = free.indexOf(connection);
      if (at >= 0) free.splice(at, 1);
    });
    if (!connection.connection.isOpen) return;
    free.push(connection);
    onIdle();
  }

  function relayNow(): typeof via {
    return clock.now() < viaUntil ? via : undefined;
  }

  async function connect(): Promise<void> {
    const sentAt = clock.now();
    const {id, group, host, port} = link.listed;
    const through = relayNow();
    try {
      const opened = await driver.connect(
        {id, group, host, port, via: through},
        TIMES.connectMs,
      );
      opening--;
      if (!through) via = undefined;
      noteHeard(opened.openedAt);
      if (disposed) opened.dispose();
      else add(pooledConnection(opened, clock.now()));
    } catch (err) {
      opening--;
      // Still no direct way: the one that worked before is taken again.
      if (!through && via) viaUntil = clock.now() + TIMES.relayMs;
      notOpened(err, sentAt);
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
    if (facts.askedAt === undefined) {
      log.info({event: 'connectFailed', endpoint: id, why: String(err)});
    }
    noteUnanswered(sentAt, wasReset);
  }

  const link: EndpointLink = {
    listed,
    facts,
    get connections() {
      return all.size + opening;
    },
    get idle() {
      return free.length;
    },
    take(key) {
      let at = free.length - 1;
      for (let i = at; i >= 0; i--) {
        if (free[i]!.settingsKey !== key) continue;
        at = i;
        break;
      }
      return at < 0 ? undefined : free.splice(at, 1)[0];
    },
    give(connection, reusable) {
      if (!reusable || disposed || !connection.isSound) {
        connection.connection.dispose();
        return;
      }
      connection.idleSince = clock.now();
      free.push(connection);
      onIdle();
    },
    open(most) {
      if (disposed || clock.now() < retryAt) return;
      if (all.size + opening >= most || opening >= LIMITS.openingAtOnce) return;
      opening++;
      void connect();
    },
    trim(least) {
      const oldest = free[0];
      if (!oldest || all.size <= least) return;
      if (clock.now() - oldest.idleSince < TIMES.idleConnectionMs) return;
      oldest.connection.dispose();
    },
    distrust() {
      for (const connection of [...free]) connection.connection.dispose();
    },
    reachThrough(relay) {
      const colon = relay.lastIndexOf(':');
      const host = relay.slice(0, colon);
      via = {host, port: Number(relay.slice(colon + 1))};
      viaUntil = clock.now() + TIMES.relayMs;
      retryAt = -Infinity;
      log.info({event: 'endpointRelayed', endpoint: link.listed.id, relay});
    },
    get isRelayed() {
      return relayNow() !== undefined;
    },
    heard(answer) {
      noteHeard(answer.position);
    },
    unanswered: noteUnanswered,
    dispose() {
      disposed = true;
      for (const connection of [...free]) connection.connection.dispose();
    },
  };
  return link;
}
