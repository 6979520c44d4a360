/**
 * The change of primary as one instance runs it. The endpoints decide: a
 * majority must promise a term before anyone is promoted in it, so of two
 * instances that try, one at most succeeds.
 */
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {comparePositions, majorityOf, reaches} from '@quetzalreel/position';
import {readChart} from './chart.js';
import {
  type EndpointView,
  type GroupView,
  Reach,
  highestTerm,
  primaryOf,
  writablePrimary,
} from './view.js';

/** States of `charts/failover.json`. */
export type FailoverStep =
  'steady' | 'suspecting' | 'draining' | 'fencing' | 'promoting';

type FailoverInput =
  | 'SUSPECT'
  | 'HEARD'
  | 'AGREED'
  | 'PLANNED'
  | 'CAUGHT_UP'
  | 'PROMISED'
  | 'PROMOTED'
  | 'REFUSED'
  | 'EXPIRED';

const chart = readChart<FailoverStep, FailoverInput>('failover');

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
  /** Wait of this instance before it tries, so that few try at once. */
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

/** Moves on as time passes and statuses arrive. */
export function advance(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  switch (state.step) {
    case 'steady':
      return watchPrimary(state, context);
    case 'suspecting':
      return weighSuspicion(state, context);
    case 'draining':
      return awaitTarget(state, context);
    default:
      return expire(state, context);
  }
}

function watchPrimary(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  if (context.now < state.notBefore || !isSuspect(context)) {
    return {state, effects: []};
  }
  return move(state, 'SUSPECT', context, 'no primary that can take writes');
}

function weighSuspicion(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  if (!isSuspect(context)) {
    return move(state, 'HEARD', context, 'the primary answers');
  }
  const {startDelayMs, unfinishedAfterMs} = context.limits;
  const unfinished = isUnfinished(context.view);
  const wait = startDelayMs + (unfinished ? unfinishedAfterMs : 0);
  const waited = context.now - state.since >= wait;
  if (!waited || !isConfirmed(context)) return {state, effects: []};
  return startFencing(state, 'AGREED', context, 'its replicas miss it too');
}

/** Whether this instance sees no primary that could take a write. */
function isSuspect(context: FailoverContext): boolean {
  const primary = primaryOf(context.view);
  if (!primary) return knowsMajority(context.view);
  if (!writablePrimary(context.view)) return true;
  if (primary.reach === Reach.Down) return true;
  const since = primary.failingSince;
  return (
    since !== undefined && context.now - since >= context.limits.suspectAfterMs
  );
}

/** Whether a majority of endpoints, without the primary, misses it too. */
function isConfirmed(context: FailoverContext): boolean {
  const {view, limits} = context;
  const primary = primaryOf(view);
  if (isUnfinished(view)) return true;
  let missing = 0;
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary || endpoint.reach !== Reach.Up) continue;
    const silence = endpoint.status?.upstreamSilenceMs ?? 0;
    if (!primary || silence >= limits.replicaSilenceMs) missing++;
  }
  return missing >= majorityOf(view.endpoints.size);
}

/** Whether a higher term was promised than the one that is served. */
function isUnfinished(view: GroupView): boolean {
  return primaryOf(view) !== undefined && !writablePrimary(view);
}

function knowsMajority(view: GroupView): boolean {
  let known = 0;
  for (const {status} of view.endpoints.values()) if (status) known++;
  return known >= majorityOf(view.endpoints.size);
}

/** Starts a planned change towards `target`. */
export function orderChange(
  state: FailoverState,
  target: string,
  context: FailoverContext,
): FailoverResult {
  const primary = writablePrimary(context.view);
  if (!primary || primary.cfg.name === target) return {state, effects: []};
  const attempt = nextAttempt(state, context);
  const ordered = {...state, target, attempt, attempts: state.attempts + 1};
  const moved = move(ordered, 'PLANNED', context, `ordered to ${target}`);
  if (moved.state.step !== 'draining') return {state, effects: []};
  const fence: FailoverEffect = {
    type: 'fence',
    endpoint: primary.cfg.name,
    attempt,
  };
  return {state: moved.state, effects: [...moved.effects, fence]};
}

/** Waits until the target holds all that the fenced primary has. */
function awaitTarget(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const final = [...state.promises.values()][0]?.last;
  const target = context.view.endpoints.get(state.target ?? '');
  if (final && target?.status && reaches(target.status.last, final)) {
    return continueFencing(state, 'CAUGHT_UP', context, 'target caught up');
  }
  if (context.now - state.since < context.limits.stepMs) {
    return {state, effects: []};
  }
  return continueFencing(state, 'EXPIRED', context, 'target too far behind');
}

function startFencing(
  state: FailoverState,
  input: FailoverInput,
  context: FailoverContext,
  why: string,
): FailoverResult {
  const attempt = nextAttempt(state, context);
  const started = {
    ...state,
    attempt,
    attempts: state.attempts + 1,
    promises: new Map<string, EndpointStatus>(),
  };
  return continueFencing(started, input, context, why);
}

function continueFencing(
  state: FailoverState,
  input: FailoverInput,
  context: FailoverContext,
  why: string,
): FailoverResult {
  const moved = move(state, input, context, why);
  const effects = [...moved.effects];
  for (const name of context.view.endpoints.keys()) {
    if (state.promises.has(name)) continue;
    effects.push({type: 'fence', endpoint: name, attempt: state.attempt!});
  }
  return {state: moved.state, effects};
}

function nextAttempt(state: FailoverState, context: FailoverContext): Attempt {
  return {
    term: highestTerm(context.view) + 1,
    holder: `${context.instance}.${state.attempts + 1}`,
  };
}

/** An endpoint promised the attempt. */
export function promised(
  state: FailoverState,
  endpoint: string,
  attempt: Attempt,
  status: EndpointStatus,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrent(state, attempt)) return {state, effects: []};
  const promises = new Map(state.promises).set(endpoint, status);
  const next = {...state, promises};
  if (next.step === 'draining') return awaitTarget(next, context);
  if (next.step !== 'fencing') return {state: next, effects: []};
  if (promises.size < majorityOf(context.view.endpoints.size)) {
    return {state: next, effects: []};
  }
  return promoteBest(next, context);
}

function promoteBest(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const candidate = bestCandidate(state, context.view);
  if (!candidate) return {state, effects: []};
  const chosen = {...state, candidate};
  const moved = move(chosen, 'PROMISED', context, `${candidate} holds most`);
  const effect: FailoverEffect = {
    type: 'promote',
    endpoint: candidate,
    attempt: state.attempt!,
  };
  return {state: moved.state, effects: [...moved.effects, effect]};
}

/** The endpoint that holds most; the operator's wish decides among equals. */
function bestCandidate(
  state: FailoverState,
  view: GroupView,
): string | undefined {
  let best: string | undefined;
  for (const [name, status] of state.promises) {
    if (!best) {
      best = name;
      continue;
    }
    const order = comparePositions(status.last, state.promises.get(best)!.last);
    if (order < 0) continue;
    if (order > 0 || isPreferred(name, best, state, view)) best = name;
  }
  return best;
}

function isPreferred(
  name: string,
  other: string,
  state: FailoverState,
  view: GroupView,
): boolean {
  if (name === state.target || other === state.target) {
    return name === state.target;
  }
  const isLeaving = (of: string) => view.endpoints.get(of)?.cfg.leaving ?? true;
  return isLeaving(other) && !isLeaving(name);
}

/** The candidate serves the new term; the others are told to follow. */
export function promoted(
  state: FailoverState,
  endpoint: string,
  attempt: Attempt,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrent(state, attempt)) return {state, effects: []};
  const moved = move(state, 'PROMOTED', context, `${endpoint} serves`);
  const effects = [...moved.effects];
  for (const name of context.view.endpoints.keys()) {
    if (name === endpoint) continue;
    effects.push({type: 'follow', endpoint: name, attempt, upstream: endpoint});
  }
  return {state: moved.state, effects};
}

/** An endpoint refused the attempt because it promised another. */
export function refused(
  state: FailoverState,
  attempt: Attempt,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrent(state, attempt)) return {state, effects: []};
  return move(state, 'REFUSED', context, 'another attempt is ahead');
}

function expire(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  if (context.now - state.since < context.limits.stepMs) {
    return {state, effects: []};
  }
  return move(state, 'EXPIRED', context, 'no answer in time');
}

function isCurrent(state: FailoverState, attempt: Attempt): boolean {
  return (
    state.attempt?.term === attempt.term &&
    state.attempt.holder === attempt.holder
  );
}

function move(
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
      notBefore: failed ? context.now + context.limits.retryMs : 0,
    },
    effects: [effect],
  };
}

/** Endpoints that should follow the primary and do not. */
export function strays(view: GroupView): readonly EndpointView[] {
  const primary = writablePrimary(view);
  if (!primary) return [];
  const term = primary.status!.term;
  const found: EndpointView[] = [];
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary || endpoint.reach !== Reach.Up) continue;
    if (endpoint.status && endpoint.status.term < term) found.push(endpoint);
  }
  return found;
}
