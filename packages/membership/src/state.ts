/** Types of the membership state machine: state, events and effects. */
import type {QueuedChange} from './change-queue.js';
import {type MemberRecord, isLive} from './member.js';
import type {
  ConfigSummary,
  PeerMessage,
  MessagePayload,
  SuspectedPrimary,
  SuspicionReport,
} from './messages.js';
import type {Random} from './random.js';

/** Timeouts and limits of membership. */
export interface MembershipLimits {
  /** Interval between probes. */
  readonly probeIntervalMs: number;
  /** Time without an ack after which relays probe the target. */
  readonly directProbeTimeoutMs: number;
  /**
   * Time without an ack, direct or relayed, after which the target is
   * suspected.
   */
  readonly probeTimeoutMs: number;
  /** Time that a suspected member has to refute the suspicion. */
  readonly suspicionMs: number;
  /** Time after which the record of a dead or left member is deleted. */
  readonly forgetAfterMs: number;
  /** Interval between two ticks above which this instance counts as paused. */
  readonly pauseThresholdMs: number;
  /** Number of relays for an indirect probe. */
  readonly relayCount: number;
  /** Number of peers that an urgent change or request is sent to at once. */
  readonly fanOut: number;
}

/** A member and the time of its last record change. */
export interface KnownMember {
  readonly record: MemberRecord;
  readonly statusSince: number;
}

/** A probe in flight. */
export interface Probe {
  readonly seq: number;
  /** Address of the probed member. */
  readonly target: string;
  /** Id of the probed member; undefined if only the address is known. */
  readonly id: string | undefined;
  readonly startedAt: number;
  readonly relayed: boolean;
}

/** A probe in flight that this instance relays for a peer. */
export interface RelayedProbe {
  readonly seq: number;
  readonly requesterAddress: string;
  readonly requesterSeq: number;
  readonly startedAt: number;
}

/** Membership state of one instance. */
export interface MembershipState {
  readonly self: MemberRecord;
  readonly limits: MembershipLimits;
  readonly members: ReadonlyMap<string, KnownMember>;
  readonly reports: ReadonlyMap<string, SuspicionReport>;
  readonly config: ConfigSummary;
  /** Peer addresses from the settings and from the platform's instance list. */
  readonly seeds: readonly string[];
  readonly queue: readonly QueuedChange[];
  readonly probe: Probe | undefined;
  readonly relayed: readonly RelayedProbe[];
  readonly nextProbeAt: number;
  readonly lastTickAt: number | undefined;
  readonly lastSeq: number;
  readonly random: Random;
}

/** Input of the state machine. */
export type MembershipEvent =
  | {readonly type: 'tick'}
  | {readonly type: 'received'; readonly message: PeerMessage}
  /**
   * Peer addresses from the settings or from the platform's instance list,
   * which may be out of date.
   */
  | {readonly type: 'listed'; readonly addresses: readonly string[]}
  /** This instance put a configuration in force. */
  | {readonly type: 'inForce'; readonly config: ConfigSummary}
  /** The set of primaries that this instance suspects. */
  | {
      readonly type: 'suspects';
      readonly suspected: readonly SuspectedPrimary[];
    }
  /** Sends `payload` to one member. */
  | {
      readonly type: 'ask';
      readonly instance: string;
      readonly payload: MessagePayload;
    }
  /**
   * Sends `payload` to a few live peers, or to seeds if no live peer is known.
   */
  | {readonly type: 'askAny'; readonly payload: MessagePayload}
  | {readonly type: 'leave'};

/** Actions for the caller of `stepMembership`. */
export type MembershipEffect =
  | {
      readonly type: 'send';
      readonly to: string;
      readonly message: PeerMessage;
    }
  /** A member was added or its record changed. */
  | {
      readonly type: 'member';
      readonly member: MemberRecord;
      readonly before: MemberRecord | undefined;
    }
  /** A suspicion report was added or replaced. */
  | {readonly type: 'reports'}
  /** A message names the configuration that its sender has in force. */
  | {
      readonly type: 'heard';
      readonly from: string;
      readonly config: ConfigSummary;
    }
  /** A message that the caller must handle. */
  | {readonly type: 'deliver'; readonly message: PeerMessage}
  /** This instance refuted a suspicion about itself. */
  | {readonly type: 'refuted'; readonly incarnation: number}
  /** This instance resumed after a pause. */
  | {readonly type: 'woke'; readonly pausedMs: number};

/** The new state and the actions that the event requires. */
export interface MembershipResult {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

/** The initial state of an instance that knows no peers. */
export function initialMembership(
  self: Omit<MemberRecord, 'status'>,
  limits: MembershipLimits,
  random: Random,
): MembershipState {
  return {
    self: {...self, status: 'alive'},
    limits,
    members: new Map(),
    reports: new Map(),
    config: {generation: 0, digest: ''},
    seeds: [],
    queue: [],
    probe: undefined,
    relayed: [],
    nextProbeAt: -Infinity,
    lastTickAt: undefined,
    lastSeq: 0,
    random,
  };
}

/** The other members whose status is alive or suspect. */
export function livePeers(state: MembershipState): MemberRecord[] {
  const records = [...state.members.values()].map(known => known.record);
  return records.filter(isLive);
}

/** All live members, including this instance unless it has left. */
export function liveMembers(state: MembershipState): MemberRecord[] {
  const peers = livePeers(state);
  return isLive(state.self) ? [state.self, ...peers] : peers;
}
