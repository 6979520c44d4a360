/** Sends queries to peers, and answers theirs. */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {PeerTransport} from '@quetzalreel/peer';
import type {Position} from '@quetzalreel/position';
import type {ChangeQueries} from './change-queries.js';
import type {PeerQueryMessage} from './messages.js';
import {Verdict, verdictOf} from './verdict.js';

/** A log position reported by a confirmed primary. */
export interface ConfirmedPosition {
  readonly endpoint: string;
  readonly position: Position;
  /** Time since the primary was asked, in milliseconds. */
  readonly ageMs: number;
}

/** The state of this instance from which it answers queries. */
export interface PeerQuerySource {
  /** Whether this instance reaches an endpoint now; may try to connect. */
  reaches(group: string, endpoint: string): Promise<boolean>;
  /** The newest position that this instance got from the primary itself. */
  confirmed(group: string): ConfirmedPosition | undefined;
  /** The configuration in force; undefined if there is none. */
  configuration():
    {readonly generation: number; readonly value: unknown} | undefined;
}

/** Dependencies and limits of `peerQueries`. */
export interface PeerQueryContext {
  readonly transport: PeerTransport<PeerQueryMessage>;
  readonly clock: Clock;
  readonly source: PeerQuerySource;
  /** Address of this instance's relay, `host:port`. */
  readonly relay: () => string;
  /** Addresses of the peers. */
  readonly peerAddresses: () => readonly string[];
  /**
   * Makes sure that these are all peers that are listed by now; an instance that
   * starts may not know any. Resolves to whether they are.
   */
  readonly confirmPeers: () => Promise<boolean>;
  /** Time limit for the answers to a query, in milliseconds. */
  readonly answerTimeoutMs: number;
  /** Most peers to ask about an endpoint, in a fleet of any size. */
  readonly maxQueriedPeers: number;
  readonly onConfiguration: (value: unknown) => void;
  /** Handles the messages about changes of primary. */
  readonly changeQueries: ChangeQueries;
  /** Called with a position from a peer. `askedAt` is the earliest time, by
   * this instance's clock, at which the peer can have asked the primary. */
  readonly onConfirmed: (
    group: string,
    confirmed: ConfirmedPosition,
    askedAt: number,
  ) => void;
}

/** Queries to the peers of this instance. */
export interface PeerQueries {
  /** Handles a message from a peer. */
  receive(message: PeerQueryMessage): void;
  /** Asks peers whether they reach an endpoint. */
  queryReachability(
    group: string,
    endpoint: string,
  ): Promise<ReachabilityResult>;
  /** Asks some peers for a position reported by the group's primary: peers at
   * `addresses`, or any peers if `addresses` is empty. */
  requestConfirmedPosition(group: string, addresses: readonly string[]): void;
  /** Asks some peers for a configuration above `generation`. */
  requestConfiguration(generation: number): void;
}

/** Whether peers reach an endpoint. */
export interface ReachabilityResult {
  readonly verdict: Verdict;
  /** Relay of a peer that reaches it, `host:port`; undefined if none does. */
  readonly relay: string | undefined;
}

interface PendingReachabilityQuery extends Disposable {
  asked: number;
  reached: number;
  unreached: number;
  relay: string | undefined;
  end(): void;
}

/** Peers asked at once for a configuration. */
const CONFIGURATION_QUERY_PEERS = 2;
/** Peers asked at once for a position: several, as most may have none. */
const POSITION_QUERY_PEERS = 5;
/** Peers asked at once, of those that sample the primary themselves. */
const SAMPLER_QUERY_PEERS = 1;
/** Number of queries remembered; answers to older ones are ignored. */
const MAX_POSITION_QUERIES = 64;

/** Creates queries to peers over a transport. */
export function peerQueries(context: PeerQueryContext): PeerQueries {
  const {transport, clock, source, answerTimeoutMs, maxQueriedPeers} = context;
  const pendingQueries = new Map<number, PendingReachabilityQuery>();
  /** Send time of each position query, by sequence number. */
  const positionQueriedAt = new Map<number, number>();
  let lastSeq = 0;
  let nextPeerIndex = 0;

  /** Selects some of `addresses`, round-robin to distribute the load. */
  function nextPeers(addresses: readonly string[], most: number): string[] {
    const count = Math.min(most, addresses.length);
    const chosen: string[] = [];
    for (let i = 0; i < count; i++) {
      chosen.push(addresses[(nextPeerIndex + i) % addresses.length]!);
    }
    nextPeerIndex += count;
    return chosen;
  }

  async function answerReachability(
    message: Extract<PeerQueryMessage, {type: 'reaches'}>,
  ): Promise<void> {
    const {from, seq, group, endpoint} = message;
    const isReached = await source.reaches(group, endpoint);
    transport.send(from, {
      type: 'reached',
      from: transport.address,
      seq,
      isReached,
      relay: context.relay(),
    });
  }

  function answerConfiguration(
    message: Extract<PeerQueryMessage, {type: 'configurationAbove'}>,
  ): void {
    const {from, seq, generation} = message;
    const mine = source.configuration();
    if (!mine || mine.generation <= generation) return;
    transport.send(from, {
      type: 'configuration',
      from: transport.address,
      seq,
      ...mine,
    });
  }

  function answerConfirmed(
    message: Extract<PeerQueryMessage, {type: 'confirmedPosition'}>,
  ): void {
    const {from, seq, group} = message;
    const mine = source.confirmed(group);
    if (!mine) return;
    transport.send(from, {
      type: 'confirmed',
      from: transport.address,
      seq,
      group,
      ...mine,
    });
  }

  /**
   * The peer asked the primary `ageMs` before it sent its answer, and it sent
   * the answer after this instance sent the query. So the primary was asked no
   * earlier than `ageMs` before the query was sent.
   */
  function receiveConfirmed(
    message: Extract<PeerQueryMessage, {type: 'confirmed'}>,
  ): void {
    const sentAt = positionQueriedAt.get(message.seq);
    if (sentAt === undefined) return;
    const {group, endpoint, position, ageMs} = message;
    const confirmed = {endpoint, position, ageMs};
    context.onConfirmed(group, confirmed, sentAt - ageMs);
  }

  function recordPositionQuery(seq: number): void {
    positionQueriedAt.set(seq, clock.now());
    for (const oldest of positionQueriedAt.keys()) {
      if (positionQueriedAt.size <= MAX_POSITION_QUERIES) break;
      positionQueriedAt.delete(oldest);
    }
  }

  function countAnswer({
    seq,
    isReached,
    relay,
  }: Extract<PeerQueryMessage, {type: 'reached'}>): void {
    const query = pendingQueries.get(seq);
    if (!query) return;
    if (isReached) {
      query.reached++;
      query.relay = relay;
    } else {
      query.unreached++;
    }
    const isComplete = query.reached + query.unreached >= query.asked;
    if (isReached || isComplete) query.end();
  }

  function askPeers(
    group: string,
    endpoint: string,
  ): Promise<ReachabilityResult> {
    const seq = ++lastSeq;
    const chosen = nextPeers(context.peerAddresses(), maxQueriedPeers);
    return new Promise(resolve => {
      const timeout = clock.after(answerTimeoutMs, () => query.end());
      const query: PendingReachabilityQuery = {
        asked: chosen.length,
        reached: 0,
        unreached: 0,
        relay: undefined,
        end() {
          if (!pendingQueries.delete(seq)) return;
          timeout.dispose();
          resolve({verdict: verdictOf(query), relay: query.relay});
        },
        dispose: () => timeout.dispose(),
      };
      pendingQueries.set(seq, query);
      if (chosen.length === 0) query.end();
      const from = transport.address;
      for (const address of chosen) {
        transport.send(address, {type: 'reaches', from, seq, group, endpoint});
      }
    });
  }

  return {
    receive(message) {
      switch (message.type) {
        case 'reaches':
          void answerReachability(message);
          return;
        case 'reached':
          countAnswer(message);
          return;
        case 'confirmedPosition':
          answerConfirmed(message);
          return;
        case 'confirmed':
          receiveConfirmed(message);
          return;
        case 'configurationAbove':
          answerConfiguration(message);
          return;
        case 'configuration':
          context.onConfiguration(message.value);
          return;
        case 'changesWanted':
        case 'changes':
        case 'changeAnnounced':
        case 'changeNoted':
        case 'lastOrderWanted':
        case 'lastOrder':
          context.changeQueries.receive(message);
          return;
      }
    },
    async queryReachability(group, endpoint) {
      // Nobody could contradict an instance that does not know its peers.
      const isAlone = context.peerAddresses().length === 0;
      if (isAlone && !(await context.confirmPeers()))
        return {verdict: Verdict.Inconclusive, relay: undefined};
      return askPeers(group, endpoint);
    },
    requestConfirmedPosition(group, addresses) {
      const seq = ++lastSeq;
      const from = transport.address;
      recordPositionQuery(seq);
      const chosen =
        addresses.length > 0
          ? nextPeers(addresses, SAMPLER_QUERY_PEERS)
          : nextPeers(context.peerAddresses(), POSITION_QUERY_PEERS);
      for (const address of chosen) {
        transport.send(address, {type: 'confirmedPosition', from, seq, group});
      }
    },
    requestConfiguration(generation) {
      const from = transport.address;
      for (const address of nextPeers(
        context.peerAddresses(),
        CONFIGURATION_QUERY_PEERS,
      )) {
        const seq = ++lastSeq;
        transport.send(address, {
          type: 'configurationAbove',
          from,
          seq,
          generation,
        });
      }
    },
  };
}
