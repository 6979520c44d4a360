/** Asks other instances, and answers them. */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {PeerTransport} from '@quetzalreel/peer';
import type {Position} from '@quetzalreel/position';
import type {PeerQueryMessage} from './messages.js';
import {type Verdict, verdictOf} from './verdict.js';

/** A position that a primary has confirmed. */
export interface ConfirmedPosition {
  readonly endpoint: string;
  readonly position: Position;
  /** How long ago the primary was asked, milliseconds. */
  readonly ageMs: number;
}

/** What this instance answers from. */
export interface PeerQuerySource {
  /** Whether this instance reaches an endpoint now; it may try first. */
  reaches(group: string, endpoint: string): Promise<boolean>;
  /** The newest position that this instance has confirmed itself. */
  confirmed(group: string): ConfirmedPosition | undefined;
  /** The configuration in force; undefined for none. */
  configuration():
    {readonly generation: number; readonly value: unknown} | undefined;
}

/** What witnesses work with. */
export interface PeerQueryContext {
  readonly transport: PeerTransport<PeerQueryMessage>;
  readonly clock: Clock;
  readonly source: PeerQuerySource;
  /** This instance's relay, `host:port`. */
  readonly relay: () => string;
  /** Addresses of the other instances. */
  readonly peerAddresses: () => readonly string[];
  /** Longest wait for answers, in milliseconds. */
  readonly answerTimeoutMs: number;
  /** Instances that are asked at most, whatever the size of the fleet. */
  readonly maxQueriedPeers: number;
  readonly onConfiguration: (value: unknown) => void;
  /** Takes a position that another has confirmed. `askedAt` is when the
   * primary was asked at the earliest, by this instance's clock. */
  readonly onConfirmed: (
    group: string,
    confirmed: ConfirmedPosition,
    askedAt: number,
  ) => void;
}

/** The other instances, as ones that can be asked. */
export interface PeerQueries {
  /** Takes a message of another instance. */
  receive(message: PeerQueryMessage): void;
  /** Whether others reach an endpoint. */
  queryReachability(
    group: string,
    endpoint: string,
  ): Promise<ReachabilityResult>;
  /** Asks a few for a position that the group's primary has confirmed: of
   * those at `addresses`, or of all when that is empty. */
  requestConfirmedPosition(group: string, addresses: readonly string[]): void;
  /** Asks a few for a configuration above `generation`. */
  requestConfiguration(generation: number): void;
}

/** What others see of an endpoint. */
export interface ReachabilityResult {
  readonly verdict: Verdict;
  /** Relay of one that reaches it, `host:port`; undefined when none does. */
  readonly relay: string | undefined;
}

interface Round extends Disposable {
  asked: number;
  reached: number;
  unreached: number;
  relay: string | undefined;
  end(): void;
}

/** Those asked at once for a configuration. */
const CONFIGURATION_ASKED = 2;
/** Those asked at once for a position; most of them may have none either. */
const POSITION_ASKED = 5;
/** Those asked at once among the ones that sample the primary themselves. */
const HOLDERS_ASKED = 1;
/** Questions for positions whose answers are still taken. */
const MAX_POSITION_QUESTIONS = 64;

/** Witnesses over a transport. */
export function peerQueries(context: PeerQueryContext): PeerQueries {
  const {
    transport,
    clock,
    source,
    answerTimeoutMs: answerMs,
    maxQueriedPeers: mostAsked,
  } = context;
  const rounds = new Map<number, Round>();
  /** When each question for a position was sent. */
  const positionAskedAt = new Map<number, number>();
  let lastSeq = 0;
  let nextOther = 0;

  /** Some of those at `addresses`, in turn, so that they share the work. */
  function inTurn(addresses: readonly string[], most: number): string[] {
    const count = Math.min(most, addresses.length);
    const chosen: string[] = [];
    for (let i = 0; i < count; i++) {
      chosen.push(addresses[(nextOther + i) % addresses.length]!);
    }
    nextOther += count;
    return chosen;
  }

  async function answerReach(
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
   * The primary was asked `ageMs` before the answer was sent, and that was
   * after the question was: so no earlier than `ageMs` before the question.
   */
  function takeConfirmed(
    message: Extract<PeerQueryMessage, {type: 'confirmed'}>,
  ): void {
    const sentAt = positionAskedAt.get(message.seq);
    if (sentAt === undefined) return;
    const {group, endpoint, position, ageMs} = message;
    const confirmed = {endpoint, position, ageMs};
    context.onConfirmed(group, confirmed, sentAt - ageMs);
  }

  function noteQuestion(seq: number): void {
    positionAskedAt.set(seq, clock.now());
    for (const old of positionAskedAt.keys()) {
      if (positionAskedAt.size <= MAX_POSITION_QUESTIONS) break;
      positionAskedAt.delete(old);
    }
  }

  function count({
    seq,
    isReached,
    relay,
  }: Extract<PeerQueryMessage, {type: 'reached'}>): void {
    const round = rounds.get(seq);
    if (!round) return;
    if (isReached) {
      round.reached++;
      round.relay = relay;
    } else {
      round.unreached++;
    }
    const isWhole = round.reached + round.unreached >= round.asked;
    if (isReached || isWhole) round.end();
  }

  return {
    receive(message) {
      switch (message.type) {
        case 'reaches':
          void answerReach(message);
          return;
        case 'reached':
          count(message);
          return;
        case 'confirmedPosition':
          answerConfirmed(message);
          return;
        case 'confirmed':
          takeConfirmed(message);
          return;
        case 'configurationAbove':
          answerConfiguration(message);
          return;
        case 'configuration':
          context.onConfiguration(message.value);
          return;
      }
    },
    queryReachability(group, endpoint) {
      const seq = ++lastSeq;
      const chosen = inTurn(context.peerAddresses(), mostAsked);
      if (chosen.length === 0) {
        const verdict = verdictOf({asked: 0, reached: 0, unreached: 0});
        return Promise.resolve({verdict, relay: undefined});
      }
      return new Promise(resolve => {
        const late = clock.after(answerMs, () => round.end());
        const round: Round = {
          asked: chosen.length,
          reached: 0,
          unreached: 0,
          relay: undefined,
          end() {
            if (!rounds.delete(seq)) return;
            late.dispose();
            resolve({verdict: verdictOf(round), relay: round.relay});
          },
          dispose: () => late.dispose(),
        };
        rounds.set(seq, round);
        for (const address of chosen) {
          const from = transport.address;
          transport.send(address, {
            type: 'reaches',
            from,
            seq,
            group,
            endpoint,
          });
        }
      });
    },
    requestConfirmedPosition(group, addresses) {
      const seq = ++lastSeq;
      const from = transport.address;
      noteQuestion(seq);
      const chosen =
        addresses.length > 0
          ? inTurn(addresses, HOLDERS_ASKED)
          : inTurn(context.peerAddresses(), POSITION_ASKED);
      for (const address of chosen) {
        transport.send(address, {type: 'confirmedPosition', from, seq, group});
      }
    },
    requestConfiguration(generation) {
      const from = transport.address;
      for (const address of inTurn(
        context.peerAddresses(),
        CONFIGURATION_ASKED,
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
