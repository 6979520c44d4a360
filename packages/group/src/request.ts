/** Requests to a group and their outcomes. */
import type {KindConfig} from '@quetzalreel/config';
import type {Position} from '@quetzalreel/position';

/** A caller's request as the group sees it. */
export interface GroupRequest {
  /** ID, unique within this instance. */
  readonly id: number;
  /** True for writes and transactions. */
  readonly needsPrimary: boolean;
  readonly kind: KindConfig;
  /**
   * Lowest position that the request must see; undefined if the caller has no
   * session token.
   */
  readonly floor: Position | undefined;
  /**
   * True while the floor comes from a session token and no endpoint has
   * confirmed it.
   */
  readonly unproved?: boolean;
  /** Arrival time in monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Deadline in monotonic milliseconds. */
  readonly deadline: number;
  /** Size of the request's protocol messages. */
  readonly bytes: number;
  /** Endpoints on which it has already failed. */
  readonly avoid: readonly string[];
}

/** Why a request was routed to its endpoint; the value that is logged. */
export const RoutingReason = {
  Write: 'write',
  ReplicaFresh: 'replica-fresh',
  NoReplicaAtFloor: 'no-replica-at-floor',
  NoReplicaYoungEnough: 'no-replica-young-enough',
  NoReplicaFree: 'no-replica-free',
  NoReplicaUp: 'no-replica-up',
} as const;

/** One of the values of `Reason`. */
export type RoutingReason = (typeof RoutingReason)[keyof typeof RoutingReason];

/** Why a request was refused before it was sent to an endpoint. */
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

/** A slot on an endpoint; must be released after use. */
export interface Grant {
  readonly endpoint: string;
  readonly role: 'primary' | 'replica';
  /** Term of the group's primary when the slot was granted. */
  readonly term: number;
  /**
   * Floor of the request; determined from the statuses of a majority if the
   * request had none.
   */
  readonly floor: Position;
  /** Last known position of the endpoint. */
  readonly position: Position;
  readonly reason: RoutingReason;
}
