/** A group as callers' sessions and the rest of the daemon use it. */
import type {Disposable} from '@quetzalreel/common';
import type {GroupConfig, KindConfig} from '@quetzalreel/config';
import type {EndpointConnection, EndpointStatus} from '@quetzalreel/endpoint';
import type {Grant, GroupState, RefusalReason} from '@quetzalreel/group';
import type {Position} from '@quetzalreel/position';

/** A request as a caller's session states it. */
export interface PlacementRequest {
  readonly needsPrimary: boolean;
  readonly kind: KindConfig;
  readonly floor: Position | undefined;
  /** True while only a session token vouches for the floor. */
  readonly unproved?: boolean;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly bytes: number;
  readonly avoid: readonly string[];
}

/** The answer to a request for a place. */
export type Placement =
  | {readonly grant: Grant; readonly id: number}
  | {readonly refused: RefusalReason};

/** What became of a committed write. */
export type AckResult = 'acknowledged' | 'unknown';

/** A group as callers' sessions use it. */
export interface GroupHandle extends Disposable {
  readonly name: string;
  /** Asks for a place; resolves when there is one or it is refused. */
  requestPlacement(input: PlacementRequest): Promise<Placement>;
  /** Gives a place back. */
  release(endpoint: string, elapsedMs?: number): void;
  /** Resolves when the write at `position` is safe, or at `deadline`. */
  waitForAck(
    id: number,
    position: Position,
    deadline: number,
  ): Promise<AckResult>;
  /**
   * A sound connection to `endpoint`, waited for until `until`. Throws
   * EndpointDownError.
   */
  takeConnection(
    endpoint: string,
    isWrite: boolean,
    until: number,
  ): Promise<EndpointConnection>;
  returnConnection(connection: EndpointConnection, reusable: boolean): void;
  /** Tells that a request got no answer from `endpoint`. */
  reportTimeout(endpoint: string): void;
  /** Sets this instance's share of the endpoint's connections. */
  resizePool(endpoint: string, share: number): void;
  /** Calls `listener` when work on `endpoint` is to end, until disposed. */
  onVacate(endpoint: string, listener: () => void): Disposable;
  configure(cfg: GroupConfig): void;
  /** Sets how many requests may be on an endpoint at a time. */
  setCapacity(endpoint: string, capacity: number): void;
  /** Asks again for the rank of this instance, as members have changed. */
  updateRank(): void;
  /** Another instance has lost the primary of `term`. */
  receiveSuspicion(instance: string, term: number): void;
  /** Closes a silent connection once a later term than `term` is served. */
  closeWhenSuperseded(term: number, connection: EndpointConnection): Disposable;
  /** Asks an endpoint for its status now. Throws EndpointDownError. */
  statusOf(endpoint: string): Promise<EndpointStatus>;
  /** An endpoint refused a write that was sent at `at` as read-only. */
  reportReadOnly(endpoint: string, at: number): void;
  /** Asks for a planned change of primary. */
  orderPrimaryChange(target: string): void;
  /** Reads placed so far, by the role of the endpoint. */
  readonly reads: Readonly<Record<'primary' | 'replica', number>>;
  /** Requests refused so far, by reason. */
  readonly refused: ReadonlyMap<RefusalReason, number>;
  /** The state as it is now, for operators. */
  readonly state: GroupState;
}
