/** Messages between instances. Messages of every type carry changes. */
import type {MemberRecord} from './member.js';

/** A primary that an instance suspects to have failed. */
export interface SuspectedPrimary {
  readonly group: string;
  readonly endpoint: string;
  readonly term: number;
}

/** All primaries that one instance currently suspects. */
export interface SuspicionReport {
  readonly instance: string;
  /** Increases with each report of this instance. */
  readonly seq: number;
  readonly suspected: readonly SuspectedPrimary[];
}

/** A change that is gossiped from instance to instance. */
export type GossipChange =
  | {readonly kind: 'member'; readonly member: MemberRecord}
  | {readonly kind: 'report'; readonly report: SuspicionReport};

/** The configuration that the sender has in force. */
export interface ConfigSummary {
  /** 0 if no configuration is in force. */
  readonly generation: number;
  readonly digest: string;
}

/** Fields of every message. */
export interface Envelope {
  readonly from: MemberRecord;
  readonly config: ConfigSummary;
  readonly changes: readonly GossipChange[];
}

/** Type and type-specific fields of a message. */
export type MessagePayload =
  /** Requests an ack. */
  | {readonly type: 'ping'; readonly seq: number}
  | {readonly type: 'ack'; readonly seq: number}
  /** Requests that the receiver pings `target` and forwards the ack. */
  | {readonly type: 'relay'; readonly seq: number; readonly target: string}
  /** Sends part of the member list to a new member. */
  | {readonly type: 'roster'; readonly members: readonly MemberRecord[]}
  /** Carries only changes. */
  | {readonly type: 'news'}
  /** Requests the configuration document. */
  | {readonly type: 'wantDocument'}
  /** The configuration document as deflated JSON. */
  | {readonly type: 'document'; readonly body: Uint8Array}
  /** Requests a loan of connections. */
  | {
      readonly type: 'wantLoan';
      readonly endpoint: string;
      readonly count: number;
    }
  | {
      readonly type: 'loan';
      readonly endpoint: string;
      readonly count: number;
    };

/** A complete message. */
export type PeerMessage = Envelope & MessagePayload;
