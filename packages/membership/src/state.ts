/** The state of membership on one instance, its events and its effects. */
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

/** Times in milliseconds and bounds of membership. */
export interface MembershipLimits {
  /** Time between two probes. */
  readonly probeIntervalMs: number;
  /** Wait for an answer before others are asked to probe. */
  readonly directProbeTimeoutMs: number;
  /** Wait for an answer before the target is suspected. */
  readonly probeTimeoutMs: number;
  /** Time to refute a suspicion. */
  readonly suspicionMs: number;
  /** Time that a dead or left member is remembered. */
  readonly forgetAfterMs: number;
  /** A gap between two ticks after which this instance was paused. */
  readonly pauseThresholdMs: number;
  /** Instances asked to probe in this one's place. */
  readonly relayCount: number;
  /** Instances that urgent news are sent to at once. */
  readonly fanOut: number;
}

/** A member and since when it stands as it does. */
export interface KnownMember {
  readonly record: MemberRecord;
  readonly statusSince: number;
}

/** A probe that has not been answered. */
export interface Probe {
  readonly seq: number;
  /** Address that is probed. */
  readonly target: string;
  /** Undefined while only the address is known. */
  readonly id: string | undefined;
  readonly startedAt: number;
  readonly relayed: boolean;
}

/** A probe made for another instance. */
export interface RelayedProbe {
  readonly seq: number;
  readonly requesterAddress: string;
  readonly requesterSeq: number;
  readonly startedAt: number;
}

/** All that one instance knows of the fleet. */
export interface MembershipState {
  readonly self: MemberRecord;
  readonly limits: MembershipLimits;
  readonly members: ReadonlyMap<string, KnownMember>;
  readonly reports: ReadonlyMap<string, SuspicionReport>;
  readonly config: ConfigSummary;
  /** Addresses from settings and from the platform's list. */
  readonly seeds: readonly string[];
  readonly queue: readonly QueuedChange[];
  readonly probe: Probe | undefined;
  readonly relayed: readonly RelayedProbe[];
  readonly nextProbeAt: number;
  readonly lastTickAt: number | undefined;
  readonly lastSeq: number;
  readonly random: Random;
}

/** What can happen. */
export type MembershipEvent =
  | {readonly type: 'tick'}
  | {readonly type: 'received'; readonly message: PeerMessage}
  /** Addresses from settings or from the platform's list, which may lag. */
  | {readonly type: 'listed'; readonly addresses: readonly string[]}
  | {readonly type: 'inForce'; readonly config: ConfigSummary}
  | {
      readonly type: 'suspects';
      readonly suspected: readonly SuspectedPrimary[];
    }
  | {
      readonly type: 'ask';
      readonly instance: string;
      readonly payload: MessagePayload;
    }
  /** Sends `purpose` to a few members, or to seeds when none is known. */
  | {readonly type: 'askAny'; readonly payload: MessagePayload}
  | {readonly type: 'leave'};

/** What is to be done. */
export type MembershipEffect =
  | {
      readonly type: 'send';
      readonly to: string;
      readonly message: PeerMessage;
    }
  | {
      readonly type: 'member';
      readonly member: MemberRecord;
      readonly before: MemberRecord | undefined;
    }
  | {readonly type: 'reports'}
  | {
      readonly type: 'heard';
      readonly from: string;
      readonly config: ConfigSummary;
    }
  /** A message that membership itself has no answer to. */
  | {readonly type: 'deliver'; readonly message: PeerMessage}
  | {readonly type: 'refuted'; readonly incarnation: number}
  | {readonly type: 'woke'; readonly pausedMs: number};

/** A state and what is to be done on the way to it. */
export interface MembershipResult {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

/** An instance that knows only itself. */
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

/** The other members that are alive or only suspected. */
export function livePeers(state: MembershipState): MemberRecord[] {
  const records = [...state.members.values()].map(known => known.record);
  return records.filter(isLive);
}

/** Every live member, this instance included while it has not left. */
export function liveMembers(state: MembershipState): MemberRecord[] {
  const peers = livePeers(state);
  return isLive(state.self) ? [state.self, ...peers] : peers;
}
