/** State, events and effects of a group in one instance. */
import type {GroupConfig} from '@quetzalreel/config';
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import type {Position} from '@quetzalreel/position';
import type {PendingAck} from './acks.js';
import type {AttemptCall} from './failover.js';
import type {
  FailoverEffect,
  FailoverLimits,
  FailoverState,
} from './failover-state.js';
import type {LeavingState} from './leaving.js';
import type {QueueLimits, RequestQueue} from './queue.js';
import type {Grant, GroupRequest, RefusalReason} from './request.js';
import type {GroupView} from './view.js';

/** Limits of a group in one instance. */
export interface GroupLimits extends FailoverLimits, QueueLimits {}

/** State of a group in one instance. */
export interface GroupState {
  readonly instance: string;
  /** Data centre of this instance; empty if unknown. */
  readonly dataCentre: string;
  readonly limits: GroupLimits;
  readonly view: GroupView;
  readonly failover: FailoverState;
  /** Requests that wait for a slot on an endpoint. */
  readonly waiting: RequestQueue;
  readonly pendingAcks: readonly PendingAck[];
  readonly leaving: LeavingState;
}

/** Event that the group reacts to. */
export type GroupEvent =
  | {readonly type: 'configured'; readonly cfg: GroupConfig}
  | {readonly type: 'requested'; readonly req: GroupRequest}
  | {readonly type: 'cancelled'; readonly id: number}
  | {
      readonly type: 'released';
      readonly endpoint: string;
      /**
       * Duration of the statement; undefined if it should not count for the
       * endpoint's latency.
       */
      readonly elapsedMs?: number | undefined;
    }
  | {
      readonly type: 'capacity';
      readonly endpoint: string;
      readonly capacity: number;
    }
  | {
      readonly type: 'written';
      readonly id: number;
      readonly position: Position;
      readonly deadline: number;
    }
  | {
      readonly type: 'status';
      readonly endpoint: string;
      readonly status: EndpointStatus;
      readonly askedAt: number;
    }
  | {
      readonly type: 'failed';
      readonly endpoint: string;
      readonly reach: 'silent' | 'down';
      /** When the failed call was sent. */
      readonly askedAt: number;
    }
  | {
      readonly type: 'promised' | 'promoted';
      readonly endpoint: string;
      readonly attempt: Attempt;
      readonly status: EndpointStatus;
      readonly askedAt: number;
    }
  /** An endpoint refused a call of an attempt, or did not respond to it. */
  | (AttemptCall & {readonly type: 'refused' | 'unanswered'})
  /**
   * An endpoint rejected a write with a read-only error; the write was sent at
   * `at`.
   */
  | {readonly type: 'readOnly'; readonly endpoint: string; readonly at: number}
  /** A peer has lost contact with the primary of a term. */
  | {
      readonly type: 'suspected';
      readonly instance: string;
      readonly term: number;
    }
  /**
   * Rank of this instance, and the number of instances that monitor the group.
   */
  | {
      readonly type: 'ranked';
      readonly rank: number;
      readonly watchers: number;
    }
  | {readonly type: 'ordered'; readonly target: string}
  | {readonly type: 'tick'};

/** Effect to carry out after an event. */
export type GroupEffect =
  | FailoverEffect
  | {readonly type: 'grant'; readonly id: number; readonly grant: Grant}
  | {
      readonly type: 'refuse';
      readonly id: number;
      readonly reason: RefusalReason;
    }
  | {readonly type: 'acknowledge'; readonly id: number}
  | {readonly type: 'unknown'; readonly id: number; readonly why: string}
  /** Request a status from every endpoint now. */
  | {readonly type: 'poll'}
  /**
   * End the transactions that are still open on an endpoint that is leaving.
   */
  | {readonly type: 'vacate'; readonly endpoint: string};

/** State after an event, and the effects to carry out. */
export interface GroupResult {
  readonly state: GroupState;
  readonly effects: readonly GroupEffect[];
}
