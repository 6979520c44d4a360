/** Simulates instances that exchange membership messages without sockets. */
import {
  type MemberRecord,
  type MembershipEvent,
  type MembershipState,
  type PeerMessage,
  initialMembership,
  seededRandom,
  stepMembership,
} from '../src/index.js';

/** Limits of the simulated instances. */
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

/**
 * Whether messages from one instance to another arrive, get lost or arrive
 * twice.
 */
export type LinkBehaviour = (
  from: string,
  to: string,
) => 'pass' | 'drop' | 'twice';

/** Instances under test and the faults between them. */
export interface SimulatedFleet {
  readonly states: Map<string, MembershipState>;
  /** Instances that neither tick nor receive messages. */
  readonly paused: Set<string>;
  /** Effect of the links between instances on messages. */
  link: LinkBehaviour;
  /** Whether the messages of each tick are delivered in reverse order. */
  reversed: boolean;
  /** Member records that each instance accepted as new, oldest first. */
  readonly acceptedRecords: Map<string, MemberRecord[]>;
  /** Messages that each instance sent. */
  readonly sent: Map<string, PeerMessage[]>;
  run(durationMs: number): void;
  dispatch(id: string, event: MembershipEvent): void;
  /**
   * Sorted ids of the members that are alive in the view of `id`, including
   * itself.
   */
  aliveSeenBy(id: string): string[];
}

/** Creates instances i0, i1, i2, … that all have the address of i0 as seed. */
export function simulatedFleet(count: number): SimulatedFleet {
  const ids = Array.from({length: count}, (_, i) => `i${i}`);
  let now = 0;
  let inTransit: Array<{from: string; to: string; message: PeerMessage}> = [];
  const states = new Map<string, MembershipState>();
  const sent = new Map<string, PeerMessage[]>();
  const acceptedRecords = new Map<string, MemberRecord[]>();

  function dispatch(id: string, event: MembershipEvent): void {
    const result = stepMembership(states.get(id)!, event, now);
    states.set(id, result.state);
    for (const effect of result.effects) {
      if (effect.type === 'member') {
        acceptedRecords.set(id, [
          ...(acceptedRecords.get(id) ?? []),
          effect.member,
        ]);
      }
      if (effect.type !== 'send') continue;
      sent.set(id, [...(sent.get(id) ?? []), effect.message]);
      inTransit.push({from: id, to: effect.to, message: effect.message});
    }
  }

  function deliver(): void {
    const batch = fleet.reversed ? inTransit.reverse() : inTransit;
    inTransit = [];
    for (const {from, to, message} of batch) {
      if (!states.has(to) || fleet.paused.has(to)) continue;
      const behaviour = fleet.link(from, to);
      if (behaviour === 'drop') continue;
      dispatch(to, {type: 'received', message});
      if (behaviour === 'twice') dispatch(to, {type: 'received', message});
    }
  }

  const fleet: SimulatedFleet = {
    states,
    paused: new Set(),
    link: () => 'pass',
    reversed: false,
    acceptedRecords,
    sent,
    dispatch,
    run(durationMs) {
      for (const end = now + durationMs; now < end; now += TICK_MS) {
        deliver();
        for (const id of ids) {
          if (!fleet.paused.has(id)) dispatch(id, {type: 'tick'});
        }
      }
    },
    aliveSeenBy(id) {
      const state = states.get(id)!;
      const alive = [...state.members.values()]
        .map(known => known.record)
        .filter(record => record.status === 'alive');
      return [id, ...alive.map(record => record.id)].sort();
    },
  };
  for (const [i, id] of ids.entries()) {
    const identity = {id, address: id, admin: id, dataCentre: 'recife'};
    const self = {...identity, incarnation: 1};
    states.set(id, initialMembership(self, LIMITS, seededRandom(i + 1)));
    dispatch(id, {type: 'listed', addresses: [ids[0]!]});
  }
  return fleet;
}
