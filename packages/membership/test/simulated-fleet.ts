/** A few membership cores that pass messages by hand, for tests. */
import {
  type MemberRecord,
  type MembershipEvent,
  type MembershipState,
  type PeerMessage,
  initialMembership,
  seededRandom,
  stepMembership,
} from '../src/index.js';

/** Times of the tests, in milliseconds. */
export const LIMITS = {
  probeIntervalMs: 100,
  directProbeTimeoutMs: 30,
  probeTimeoutMs: 90,
  suspicionMs: 400,
  forgetAfterMs: 10_000,
  pauseThresholdMs: 300,
  relayCount: 3,
  fanOut: 3,
};

const TICK_MS = 10;

/** What may happen to a message from one instance to another. */
export type LinkBehaviour = (
  from: string,
  to: string,
) => 'pass' | 'drop' | 'twice';

/** Cores under test. */
export interface SimulatedFleet {
  readonly states: Map<string, MembershipState>;
  /** Instances that neither run nor receive. */
  readonly paused: Set<string>;
  path: LinkBehaviour;
  /** True to deliver each tick's messages in reverse order. */
  crossed: boolean;
  /** Records that each instance took for new, the oldest first. */
  readonly taken: Map<string, MemberRecord[]>;
  /** Messages sent by each instance. */
  readonly sent: Map<string, PeerMessage[]>;
  run(forMs: number): void;
  give(id: string, event: MembershipEvent): void;
  /** Members that `id` holds for alive, itself included, sorted. */
  aliveIn(id: string): string[];
}

/** `count` cores named i0, i1, i2, … that all know the first one's address. */
export function simulatedFleet(count: number): SimulatedFleet {
  const ids = Array.from({length: count}, (_, i) => `i${i}`);
  let now = 0;
  let mail: Array<{from: string; to: string; message: PeerMessage}> = [];
  const states = new Map<string, MembershipState>();
  const sent = new Map<string, PeerMessage[]>();
  const taken = new Map<string, MemberRecord[]>();

  function give(id: string, event: MembershipEvent): void {
    const result = stepMembership(states.get(id)!, event, now);
    states.set(id, result.state);
    for (const effect of result.effects) {
      if (effect.type === 'member') {
        taken.set(id, [...(taken.get(id) ?? []), effect.member]);
      }
      if (effect.type !== 'send') continue;
      sent.set(id, [...(sent.get(id) ?? []), effect.message]);
      mail.push({from: id, to: effect.to, message: effect.message});
    }
  }

  function deliver(): void {
    const batch = fleet.crossed ? mail.reverse() : mail;
    mail = [];
    for (const {from, to, message} of batch) {
      if (!states.has(to) || fleet.paused.has(to)) continue;
      const fate = fleet.path(from, to);
      if (fate === 'drop') continue;
      give(to, {type: 'received', message});
      if (fate === 'twice') give(to, {type: 'received', message});
    }
  }

  const fleet: SimulatedFleet = {
    states,
    paused: new Set(),
    path: () => 'pass',
    crossed: false,
    taken,
    sent,
    give,
    run(forMs) {
      for (const end = now + forMs; now < end; now += TICK_MS) {
        deliver();
        for (const id of ids) {
          if (!fleet.paused.has(id)) give(id, {type: 'tick'});
        }
      }
    },
    aliveIn(id) {
      const state = states.get(id)!;
      const alive = [...state.members.values()]
        .map(known => known.record)
        .filter(record => record.status === 'alive');
      return [id, ...alive.map(record => record.id)].sort();
    },
  };
  for (const [i, id] of ids.entries()) {
    const named = {id, address: id, admin: id, dataCentre: 'recife'};
    const self = {...named, incarnation: 1};
    states.set(id, initialMembership(self, LIMITS, seededRandom(i + 1)));
    give(id, {type: 'listed', addresses: [ids[0]!]});
  }
  return fleet;
}
