/** Messages between instances. Each carries changes, whatever its purpose. */
import type {MemberRecord} from './member.js';

/** A primary that an instance suspects. */
export interface SuspectedPrimary {
  readonly group: string;
  readonly endpoint: string;
  readonly term: number;
}

/** All primaries that one instance suspects now. */
export interface SuspicionReport {
  readonly instance: string;
  /** Rises with each report of this instance. */
  readonly seq: number;
  readonly suspected: readonly SuspectedPrimary[];
}

/** A piece of news that is passed from instance to instance. */
export type GossipChange =
  | {readonly kind: 'member'; readonly member: MemberRecord}
  | {readonly kind: 'report'; readonly report: SuspicionReport};

/** The configuration that the sender has in force. */
export interface ConfigSummary {
  /** 0 when none is. */
  readonly generation: number;
  readonly digest: string;
}

/** What every message carries. */
export interface Envelope {
  readonly from: MemberRecord;
  readonly config: ConfigSummary;
  readonly changes: readonly GossipChange[];
}

/** The purpose of a message. */
export type MessagePayload =
  /** Asks for an ack. */
  | {readonly type: 'ping'; readonly seq: number}
  | {readonly type: 'ack'; readonly seq: number}
  /** Asks the receiver to ping `target` and to pass its ack on. */
  | {readonly type: 'relay'; readonly seq: number; readonly target: string}
  /** Tells a newcomer a part of the members. */
  | {readonly type: 'roster'; readonly members: readonly MemberRecord[]}
  /** Carries changes only. */
  | {readonly type: 'news'}
  /** Asks for the configuration's document. */
  | {readonly type: 'wantDocument'}
  /** The document as deflated JSON. */
  | {readonly type: 'document'; readonly body: Uint8Array}
  /** Asks for a loan of connections. */
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

/** A whole message. */
export type PeerMessage = Envelope & MessagePayload;
