/** Requests to a group and what becomes of them. */
import type {KindConfig} from '@quetzalreel/config';
import type {Position} from '@quetzalreel/position';

/** A caller's request as the group sees it. */
export interface GroupRequest {
  /** Unique in this instance. */
  readonly id: number;
  /** Whether it needs the primary: a write, or a transaction. */
  readonly needsPrimary: boolean;
  readonly kind: KindConfig;
  /** What the caller must see; undefined when it came without a token. */
  readonly floor: Position | undefined;
  /** True while only a session token vouches for the floor. */
  readonly unproved?: boolean;
  /** When it arrived, monotonic milliseconds. */
  readonly arrivedAt: number;
  /** When it is to be given up, monotonic milliseconds. */
  readonly deadline: number;
  /** Size of the request's messages. */
  readonly bytes: number;
  /** Endpoints that failed it already. */
  readonly avoid: readonly string[];
}

/** Why a request went where it went; the word in the log line. */
export const Reason = {
  Write: 'write',
  ReplicaFresh: 'replica-fresh',
  NoReplicaAtFloor: 'no-replica-at-floor',
  NoReplicaYoungEnough: 'no-replica-young-enough',
  NoReplicaFree: 'no-replica-free',
  NoReplicaUp: 'no-replica-up',
} as const;

/** One of the values of `Reason`. */
export type Reason = (typeof Reason)[keyof typeof Reason];

/** Why a request was refused before it ran. */
export const RefusalReason = {
  Deadline: 'deadline passed before it was sent',
  QueueFull: 'too many requests are waiting',
  Shed: 'overloaded; reads that may be older are refused first',
  TokenAhead:
    'the session token is ahead of the group; open a connection without it',
  Stopping: 'the instance is stopping',
} as const;

/** One of the values of `RefusalReason`. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A place on an endpoint, to be released after use. */
export interface Grant {
  readonly endpoint: string;
  readonly role: 'primary' | 'replica';
  /** Term of the group when it was granted. */
  readonly term: number;
  /** The floor that held, found by asking a majority if there was none. */
  readonly floor: Position;
  /** Last known position of the endpoint. */
  readonly position: Position;
  readonly reason: Reason;
}
