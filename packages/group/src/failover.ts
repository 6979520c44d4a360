/**
 * The change of primary as one instance runs it. The endpoints decide: a
 * majority must promise a term before anyone is promoted in it, so of two
 * instances that try, one at most succeeds.
 */
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {comparePositions, majorityOf, isAtLeast} from '@quetzalreel/position';
import {
  type FailoverContext,
  type FailoverEffect,
  type FailoverInput,
  type FailoverResult,
  type FailoverState,
  isCurrentAttempt,
  applyInput,
} from './failover-state.js';
import {
  isConfirmed,
  isPrimarySuspect,
  isFailoverUnfinished,
} from './suspicion.js';
import {
  type EndpointView,
  type GroupView,
  Reach,
  highestTerm,
  primaryOf,
  writablePrimary,
} from './view.js';

/** Moves on as time passes and statuses arrive. */
export function advanceFailover(
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
    case 'promoting':
      return awaitPromotion(state, context);
    default:
      return expire(state, context);
  }
}

function watchPrimary(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const {view, limits, now} = context;
  if (now < state.notBefore || !isPrimarySuspect(view, limits, now)) {
    return {state, effects: []};
  }
  const started = {
    ...state,
    seenTerm: highestTerm(view),
    suspicionSentAt: -Infinity,
  };
  const why = 'no primary that can take writes';
  const moved = applyInput(started, 'SUSPECT', context, why);
  return {state: moved.state, effects: [...moved.effects, {type: 'poll'}]};
}

function weighSuspicion(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const {view, limits, now} = context;
  if (!isPrimarySuspect(view, limits, now)) {
    return applyInput(state, 'HEARD', context, 'the primary answers');
  }
  const seenTerm = highestTerm(view);
  if (seenTerm > state.seenTerm) {
    // Another instance is at work: its attempt gets the time to end.
    return {state: {...state, seenTerm, since: now}, effects: []};
  }
  const waited = now - state.since >= waitOf(state, context);
  if (!waited || !isConfirmed({...state, view, limits, now})) {
    return tellPeers(state, context);
  }
  return startFencing(state, 'AGREED', context, 'others miss it too');
}

/** How long the suspicion has to stand before this instance acts on it. */
function waitOf(state: FailoverState, context: FailoverContext): number {
  const {startDelayMs, unfinishedAfterMs, stepMs} = context.limits;
  const turn = state.rank * startDelayMs;
  if (!isFailoverUnfinished(context.view)) return turn;
  // A fenced primary that answers means a planned change, which may wait for
  // its target for a whole step.
  const isAlive = primaryOf(context.view)?.reach === Reach.Up;
  return turn + unfinishedAfterMs + (isAlive ? stepMs : 0);
}

function tellPeers(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const {now, limits, view} = context;
  const term = primaryOf(view)?.status?.term;
  if (
    term === undefined ||
    now - state.suspicionSentAt < limits.suspectAfterMs
  ) {
    return {state, effects: []};
  }
  return {
    state: {...state, suspicionSentAt: now},
    effects: [{type: 'suspect', term}],
  };
}

/** Another instance says that it has lost the primary of `term`. */
export function recordPeerSuspicion(
  state: FailoverState,
  instance: string,
  term: number,
  context: FailoverContext,
): FailoverResult {
  const told = {term, heardAt: context.now};
  const peers = new Map(state.peers).set(instance, told);
  return {state: {...state, peers}, effects: []};
}

/** Starts a planned change towards `target`. */
export function startPlannedFailover(
  state: FailoverState,
  target: string,
  context: FailoverContext,
): FailoverResult {
  const primary = writablePrimary(context.view);
  if (!primary || primary.cfg.name === target) return {state, effects: []};
  const attempt = nextAttempt(state, context);
  const ordered = {
    ...state,
    target,
    attempt,
    attempts: state.attempts + 1,
    denials: new Set<string>(),
  };
  const moved = applyInput(ordered, 'PLANNED', context, `ordered to ${target}`);
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
  if (final && target?.status && isAtLeast(target.status.last, final)) {
    return continueFencing(state, 'CAUGHT_UP', context, 'target caught up');
  }
  if (context.now - state.since < context.limits.stepMs) {
    return {state, effects: []};
  }
  const given = {...state, target: undefined};
  return continueFencing(given, 'EXPIRED', context, 'target too far behind');
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
    denials: new Set<string>(),
  };
  return continueFencing(started, input, context, why);
}

function continueFencing(
  state: FailoverState,
  input: FailoverInput,
  context: FailoverContext,
  why: string,
): FailoverResult {
  const moved = applyInput(state, input, context, why);
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
export function handlePromise(
  state: FailoverState,
  endpoint: string,
  attempt: Attempt,
  status: EndpointStatus,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrentAttempt(state, attempt)) return {state, effects: []};
  const promises = new Map(state.promises).set(endpoint, status);
  const next = {...state, promises};
  if (next.step === 'draining') return awaitTarget(next, context);
  if (next.step !== 'fencing' || awaitsTarget(next, context)) {
    return {state: next, effects: []};
  }
  return promoteBest(next, context);
}

/** Whether the endpoint that an operator wants may still promise. */
function awaitsTarget(state: FailoverState, context: FailoverContext): boolean {
  const {target, promises, denials} = state;
  if (target === undefined || promises.has(target)) return false;
  return context.view.endpoints.has(target) && !denials.has(target);
}

function promoteBest(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const size = context.view.endpoints.size;
  const candidate = bestCandidate(state, context.view);
  if (!candidate || state.promises.size < majorityOf(size)) {
    return {state, effects: []};
  }
  const chosen = {...state, candidate};
  const moved = applyInput(
    chosen,
    'PROMISED',
    context,
    `${candidate} holds most`,
  );
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
export function handlePromotion(
  state: FailoverState,
  endpoint: string,
  attempt: Attempt,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrentAttempt(state, attempt)) return {state, effects: []};
  const moved = applyInput(state, 'PROMOTED', context, `${endpoint} serves`);
  const effects = [...moved.effects];
  for (const name of context.view.endpoints.keys()) {
    if (name === endpoint) continue;
    effects.push({type: 'follow', endpoint: name, attempt, upstream: endpoint});
  }
  return {state: {...moved.state, followSentAt: context.now}, effects};
}

/** A call of an attempt, and the endpoint that it was made on. */
export interface AttemptCall {
  readonly call: 'fence' | 'promote' | 'follow';
  readonly endpoint: string;
  readonly attempt: Attempt;
}

/** An endpoint refused the attempt because it promised another. */
export function handleRefusal(
  state: FailoverState,
  on: AttemptCall,
  context: FailoverContext,
): FailoverResult {
  return denied(state, on, 'REFUSED', 'another attempt is ahead', context);
}

/** A call of the attempt got no answer; it may have taken effect. */
export function handleUnanswered(
  state: FailoverState,
  on: AttemptCall,
  context: FailoverContext,
): FailoverResult {
  return denied(state, on, 'EXPIRED', 'no answer to a call', context);
}

/** Gives the attempt up once it can't succeed any more, and not before. */
function denied(
  state: FailoverState,
  on: AttemptCall,
  input: 'REFUSED' | 'EXPIRED',
  why: string,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrentAttempt(state, on.attempt)) return {state, effects: []};
  if (on.call === 'promote') return applyInput(state, input, context, why);
  if (on.call !== 'fence') return {state, effects: []};
  if (state.step === 'draining' && input === 'REFUSED') {
    return applyInput(state, input, context, why);
  }
  const denials = new Set(state.denials).add(on.endpoint);
  const next = {...state, denials};
  const size = context.view.endpoints.size;
  const isPossible = size - denials.size >= majorityOf(size);
  if (state.step !== 'fencing') return {state: next, effects: []};
  if (isPossible && awaitsTarget(next, context)) {
    return {state: next, effects: []};
  }
  if (isPossible) return promoteBest(next, context);
  return applyInput(next, input, context, why);
}

/** Waits for the candidate; its status tells as much as a lost answer. */
function awaitPromotion(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const {attempt, candidate} = state;
  const status = context.view.endpoints.get(candidate ?? '')?.status;
  const serves =
    status?.role === 'primary' &&
    status.term === attempt!.term &&
    status.promisedTo === attempt!.holder;
  if (serves) return handlePromotion(state, candidate!, attempt!, context);
  return expire(state, context);
}

function expire(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  if (context.now - state.since < context.limits.stepMs) {
    return {state, effects: []};
  }
  if (state.step === 'fencing') {
    const chosen = promoteBest(state, context);
    if (chosen.effects.length > 0) return chosen;
  }
  return applyInput(state, 'EXPIRED', context, 'no answer in time');
}

/** Endpoints that should follow the primary and do not. */
export function replicasNotFollowing(view: GroupView): readonly EndpointView[] {
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
