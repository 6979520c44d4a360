/** Interface of a group to callers' sessions and the rest of the daemon. */
import type {Disposable} from '@quetzalreel/common';
import type {GroupConfig, KindConfig} from '@quetzalreel/config';
import type {EndpointConnection, EndpointStatus} from '@quetzalreel/endpoint';
import type {Grant, GroupState, RefusalReason} from '@quetzalreel/group';
import type {Position} from '@quetzalreel/position';

/** What a request requires of the endpoint that it runs on. */
export interface PlacementRequest {
  readonly needsPrimary: boolean;
  readonly kind: KindConfig;
  readonly floor: Position | undefined;
  /**
   * True while the floor comes from a token and no endpoint has confirmed it.
   */
  readonly unproved?: boolean;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly bytes: number;
  readonly avoid: readonly string[];
}

/** The endpoint granted to a request, or the reason for its refusal. */
export type Placement =
  | {readonly grant: Grant; readonly id: number}
  | {readonly refused: RefusalReason};

/** Whether a committed write met its acknowledgement rule in time. */
export type AckResult = 'acknowledged' | 'unknown';

/** A running group. */
export interface GroupHandle extends Disposable {
  readonly name: string;
  /** Requests an endpoint; resolves when it is granted or refused. */
  requestPlacement(input: PlacementRequest): Promise<Placement>;
  /** Ends the use of an endpoint that was granted to a request. */
  release(endpoint: string, elapsedMs?: number): void;
  /** Resolves when a majority has the write at `position`, or at `deadline`. */
  waitForAck(
    id: number,
    position: Position,
    deadline: number,
  ): Promise<AckResult>;
  /**
   * Takes a usable connection to `endpoint` from its pool and waits for one
   * until `until`, in monotonic milliseconds. Throws EndpointDownError.
   */
  takeConnection(
    endpoint: string,
    isWrite: boolean,
    until: number,
  ): Promise<EndpointConnection>;
  /** Returns a connection to its pool; one that is not reusable is closed. */
  returnConnection(connection: EndpointConnection, reusable: boolean): void;
  /** Reports that a request to `endpoint` got no answer in time. */
  reportTimeout(endpoint: string): void;
  /** Sets the size of the endpoint's pool to this instance's share. */
  resizePool(endpoint: string, share: number): void;
  /** Calls `listener`, until disposed, when work on `endpoint` must end. */
  onEndpointLeaving(endpoint: string, listener: () => void): Disposable;
  configure(cfg: GroupConfig): void;
  /** Sets how many requests may run on an endpoint at the same time. */
  setCapacity(endpoint: string, capacity: number): void;
  /** Recomputes the rank of this instance after a change of members. */
  updateRank(): void;
  /** Processes a peer's report that it suspects the primary of `term`. */
  receiveSuspicion(instance: string, term: number): void;
  /**
   * Closes `connection` if its endpoint is unresponsive once a primary of a
   * later term than `term` is known; until disposed.
   */
  closeWhenSuperseded(term: number, connection: EndpointConnection): Disposable;
  /** Requests the current status of an endpoint. Throws EndpointDownError. */
  statusOf(endpoint: string): Promise<EndpointStatus>;
  /**
   * Reports a read-only error of an endpoint for a write that was sent at `at`.
   */
  reportReadOnly(endpoint: string, at: number): void;
  /** Starts a planned change of primary to the endpoint `target`. */
  orderPrimaryChange(target: string): void;
  /** Number of reads so far, by the role of the endpoint that served them. */
  readonly reads: Readonly<Record<'primary' | 'replica', number>>;
  /** Number of refused requests so far, by reason. */
  readonly refused: ReadonlyMap<RefusalReason, number>;
  /** The current state. */
  readonly state: GroupState;
}
