/**
 * State of a failover in one instance, its transitions, and the effects that it
 * may request.
 */
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {readChart} from './chart.js';
import type {PeerSuspicion} from './suspicion.js';
import type {GroupView} from './view.js';

/** States of `charts/failover.json`. */
export type FailoverStep =
  'steady' | 'suspecting' | 'draining' | 'fencing' | 'promoting';

/** Inputs of `charts/failover.json`. */
export type FailoverInput =
  | 'SUSPECT'
  | 'HEARD'
  | 'AGREED'
  | 'PLANNED'
  | 'CAUGHT_UP'
  | 'PROMISED'
  | 'PROMOTED'
  | 'REFUSED'
  | 'EXPIRED';

/** State chart of a failover. */
export const failoverStateChart = readChart<FailoverStep, FailoverInput>(
  'failover',
);

/** Time limits of a failover, in milliseconds. */
export interface FailoverLimits {
  /** Time without a response after which the primary is suspected. */
  readonly suspectAfterMs: number;
  /**
   * Time without data from the primary after which a replica confirms the
   * suspicion.
   */
  readonly replicaSilenceMs: number;
  /** Timeout of each step. */
  readonly stepMs: number;
  /** Delay before a retry after a failed attempt. */
  readonly retryMs: number;
  /** Time after which another instance takes over an unfinished failover. */
  readonly unfinishedAfterMs: number;
  /**
   * Start delay per rank: staggers the instances so that few attempt a failover
   * at the same time.
   */
  readonly startDelayMs: number;
}

/** State of a failover in one instance. */
export interface FailoverState {
  readonly step: FailoverStep;
  /** When the step was entered, in monotonic milliseconds. */
  readonly since: number;
  readonly attempt: Attempt | undefined;
  /**
   * Statuses of the endpoints that promised the attempt's term, by endpoint
   * name.
   */
  readonly promises: ReadonlyMap<string, EndpointStatus>;
  /** Endpoint that is being promoted. */
  readonly candidate: string | undefined;
  /** Endpoint that a planned failover should promote. */
  readonly target: string | undefined;
  /** No new attempt starts before this time, in monotonic milliseconds. */
  readonly notBefore: number;
  /**
   * Number of attempts made; part of the holder ID, so that each attempt has a
   * unique one.
   */
  readonly attempts: number;
  /** Endpoints that refused the attempt's fence call or did not answer it. */
  readonly denials: ReadonlySet<string>;
  /** Highest term known when the suspicion was last reviewed. */
  readonly seenTerm: number;
  /**
   * When the suspicion was last sent to the peers, in monotonic milliseconds.
   */
  readonly suspicionSentAt: number;
  /** Suspicions received from peers, by instance name. */
  readonly peers: ReadonlyMap<string, PeerSuspicion>;
  /** When `follow` calls were last sent, in monotonic milliseconds. */
  readonly followSentAt: number;
  /** Number of instances that start a failover before this one. */
  readonly rank: number;
  /** Number of instances that monitor the group, including this one. */
  readonly watchers: number;
}

/** Effect that the failover requests. */
export type FailoverEffect =
  | {
      readonly type: 'fence';
      readonly endpoint: string;
      readonly attempt: Attempt;
    }
  | {
      readonly type: 'promote';
      readonly endpoint: string;
      readonly attempt: Attempt;
    }
  | {
      readonly type: 'follow';
      readonly endpoint: string;
      readonly attempt: Attempt;
      readonly upstream: string;
    }
  /** Request a status from every endpoint now. */
  | {readonly type: 'poll'}
  /** Send the suspicion to the peers that monitor the group. */
  | {readonly type: 'suspect'; readonly term: number}
  | {
      readonly type: 'failoverStep';
      readonly from: FailoverStep;
      readonly to: FailoverStep;
      readonly term: number | undefined;
      readonly why: string;
    };

/** State after an event, and the effects to carry out. */
export interface FailoverResult {
  readonly state: FailoverState;
  readonly effects: readonly FailoverEffect[];
}

/** State with no failover in progress. */
export function initialFailover(): FailoverState {
  return {
    step: failoverStateChart.initial,
    since: 0,
    attempt: undefined,
    promises: new Map(),
    candidate: undefined,
    target: undefined,
    notBefore: 0,
    attempts: 0,
    denials: new Set(),
    seenTerm: 0,
    suspicionSentAt: -Infinity,
    peers: new Map(),
    followSentAt: -Infinity,
    rank: 0,
    watchers: 1,
  };
}

/** Input of the failover functions besides the failover state. */
export interface FailoverContext {
  readonly view: GroupView;
  readonly limits: FailoverLimits;
  /** ID of this instance. */
  readonly instance: string;
  readonly now: number;
}

/** Whether a response belongs to the attempt in progress. */
export function isCurrentAttempt(
  state: FailoverState,
  attempt: Attempt,
): boolean {
  return (
    state.attempt?.term === attempt.term &&
    state.attempt.holder === attempt.holder
  );
}

/**
 * Applies an input to the state chart. An input that the step doesn't accept
 * changes nothing. Returning to `steady` clears the attempt; after a failure, a
 * retry delay starts.
 */
export function applyInput(
  state: FailoverState,
  input: FailoverInput,
  context: FailoverContext,
  why: string,
): FailoverResult {
  const step = failoverStateChart.next(state.step, input);
  if (step === state.step) return {state, effects: []};
  const effect: FailoverEffect = {
    type: 'failoverStep',
    from: state.step,
    to: step,
    term: state.attempt?.term,
    why,
  };
  const moved = {...state, step, since: context.now};
  if (step !== 'steady') return {state: moved, effects: [effect]};
  const failed = input === 'REFUSED' || input === 'EXPIRED';
  return {
    state: {
      ...moved,
      attempt: undefined,
      candidate: undefined,
      target: undefined,
      promises: new Map(),
      denials: new Set(),
      notBefore: failed ? context.now + context.limits.retryMs : 0,
    },
    effects: [effect],
  };
}
