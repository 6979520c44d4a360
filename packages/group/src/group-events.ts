/** The state of a group in one instance, and what happens to it. */
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

/** Bounds of a group in one instance. */
export interface GroupLimits extends FailoverLimits, QueueLimits {}

/** All that one instance decides on for a group. */
export interface GroupState {
  readonly instance: string;
  /** Data centre of this instance; empty when it is not known. */
  readonly dataCentre: string;
  readonly limits: GroupLimits;
  readonly view: GroupView;
  readonly failover: FailoverState;
  /** Requests without a place. */
  readonly waiting: RequestQueue;
  readonly pendingAcks: readonly PendingAck[];
  readonly leaving: LeavingState;
}

/** What can happen to a group. */
export type GroupEvent =
  | {readonly type: 'configured'; readonly cfg: GroupConfig}
  | {readonly type: 'requested'; readonly req: GroupRequest}
  | {readonly type: 'cancelled'; readonly id: number}
  | {
      readonly type: 'released';
      readonly endpoint: string;
      /** Time that the statement took; undefined when it tells nothing. */
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
      /** When the call that failed was sent. */
      readonly askedAt: number;
    }
  | {
      readonly type: 'promised' | 'promoted';
      readonly endpoint: string;
      readonly attempt: Attempt;
      readonly status: EndpointStatus;
      readonly askedAt: number;
    }
  /** An endpoint refused a call of an attempt, or gave no answer to it. */
  | (AttemptCall & {readonly type: 'refused' | 'unanswered'})
  /** An endpoint refused a write that was sent at `at` as read-only. */
  | {readonly type: 'readOnly'; readonly endpoint: string; readonly at: number}
  /** Another instance has lost the primary of a term. */
  | {
      readonly type: 'suspected';
      readonly instance: string;
      readonly term: number;
    }
  /** The rank of this instance, and how many watch the group. */
  | {
      readonly type: 'ranked';
      readonly rank: number;
      readonly watchers: number;
    }
  | {readonly type: 'ordered'; readonly target: string}
  | {readonly type: 'tick'};

/** What is to be done after an event. */
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
  /** Ask every endpoint for its status now. */
  | {readonly type: 'poll'}
  /** End the transactions that are still open on a leaving endpoint. */
  | {readonly type: 'vacate'; readonly endpoint: string};

/** A state and what is to be done on the way to it. */
export interface GroupResult {
  readonly state: GroupState;
  readonly effects: readonly GroupEffect[];
}
