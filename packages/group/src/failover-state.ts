/** Where a change of primary stands, and what it may ask to be done. */
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

/** The chart of a change of primary. */
export const chart = readChart<FailoverStep, FailoverInput>('failover');

/** Bounds of a change of primary, in milliseconds. */
export interface FailoverLimits {
  /** Silence of the primary before it is suspected. */
  readonly suspectAfterMs: number;
  /** Silence towards its replicas that confirms the suspicion. */
  readonly replicaSilenceMs: number;
  /** Longest time for each step. */
  readonly stepMs: number;
  /** Wait before trying again after an attempt that failed. */
  readonly retryMs: number;
  /** Age of an unfinished change before another instance takes it up. */
  readonly unfinishedAfterMs: number;
  /** Wait for each instance of a lower rank, so that few try at once. */
  readonly startDelayMs: number;
}

/** Where a change of primary stands. */
export interface FailoverState {
  readonly step: FailoverStep;
  /** When the step was entered, monotonic milliseconds. */
  readonly since: number;
  readonly attempt: Attempt | undefined;
  /** Statuses of the endpoints that promised the attempt. */
  readonly promises: ReadonlyMap<string, EndpointStatus>;
  /** The endpoint being promoted. */
  readonly candidate: string | undefined;
  /** The endpoint that an operator wants, in a planned change. */
  readonly target: string | undefined;
  /** No new attempt before this time, monotonic milliseconds. */
  readonly notBefore: number;
  /** Attempts made, so that each has a holder of its own. */
  readonly attempts: number;
  /** Endpoints that can't promise the attempt any more. */
  readonly denials: ReadonlySet<string>;
  /** Highest term seen when the suspicion was last weighed. */
  readonly seenTerm: number;
  /** When the suspicion was last told to other instances. */
  readonly suspicionSentAt: number;
  /** What other instances have told, by their names. */
  readonly peers: ReadonlyMap<string, PeerSuspicion>;
  /** When endpoints were last told to follow, monotonic milliseconds. */
  readonly followSentAt: number;
  /** Instances that try before this one. */
  readonly rank: number;
  /** Instances that watch the group, this one included. */
  readonly watchers: number;
}

/** What the change of primary asks to be done. */
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
  /** Ask every endpoint for its status now. */
  | {readonly type: 'poll'}
  /** Tell the instances that watch the group. */
  | {readonly type: 'suspect'; readonly term: number}
  | {
      readonly type: 'failoverStep';
      readonly from: FailoverStep;
      readonly to: FailoverStep;
      readonly term: number | undefined;
      readonly why: string;
    };

/** The state after an event, and what is to be done. */
export interface FailoverResult {
  readonly state: FailoverState;
  readonly effects: readonly FailoverEffect[];
}

/** No change under way. */
export function initialFailover(): FailoverState {
  return {
    step: chart.initial,
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

/** What the change of primary needs to know besides its own state. */
export interface FailoverContext {
  readonly view: GroupView;
  readonly limits: FailoverLimits;
  /** Identity of this instance. */
  readonly instance: string;
  readonly now: number;
}

/** Whether an answer belongs to the attempt under way. */
export function isCurrentAttempt(
  state: FailoverState,
  attempt: Attempt,
): boolean {
  return (
    state.attempt?.term === attempt.term &&
    state.attempt.holder === attempt.holder
  );
}

/** Moves along the chart; an input without effect changes nothing. */
export function applyInput(
  state: FailoverState,
  input: FailoverInput,
  context: FailoverContext,
  why: string,
): FailoverResult {
  const step = chart.next(state.step, input);
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
