/**
 * Failover as one instance runs it. A majority of endpoints must promise a term
 * before an endpoint is promoted in it, so at most one of two competing
 * instances succeeds.
 */
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {isAtLeast, majorityOf} from '@quetzalreel/position';
import {
  type FailoverContext,
  type FailoverEffect,
  type FailoverResult,
  type FailoverState,
  isCurrentAttempt,
  applyInput,
} from './failover-state.js';
import {
  continueFencing,
  mayTargetPromise,
  nextAttempt,
  promoteIfMajority,
  startFencing,
} from './fencing.js';
import {
  isConfirmed,
  isPrimarySuspect,
  isFailoverUnfinished,
} from './suspicion.js';
import {
  type EndpointView,
  type GroupView,
  Responsiveness,
  highestTerm,
  primaryOf,
  writablePrimary,
} from './view.js';

/** Advances the failover when time has passed or a status has arrived. */
export function advanceFailover(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  switch (state.step) {
    case 'steady':
      return checkPrimary(state, context);
    case 'suspecting':
      return reviewSuspicion(state, context);
    case 'draining':
      return waitForTarget(state, context);
    case 'promoting':
      return checkPromotion(state, context);
    default:
      return checkTimeout(state, context);
  }
}

function checkPrimary(
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
  const why = 'no primary accepts writes';
  const moved = applyInput(started, 'SUSPECT', context, why);
  return {state: moved.state, effects: [...moved.effects, {type: 'poll'}]};
}

function reviewSuspicion(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const {view, limits, now} = context;
  if (!isPrimarySuspect(view, limits, now)) {
    return applyInput(state, 'HEARD', context, 'the primary responds again');
  }
  const seenTerm = highestTerm(view);
  if (seenTerm > state.seenTerm) {
    // Another instance has started an attempt; restart the wait so that it can
    // finish.
    return {state: {...state, seenTerm, since: now}, effects: []};
  }
  const waited = now - state.since >= failoverDelayMs(state, context);
  if (!waited || !isConfirmed({...state, view, limits, now})) {
    return sendSuspicion(state, context);
  }
  return startFencing(
    state,
    'AGREED',
    context,
    'replicas or peers lost the primary too',
  );
}

/** How long the suspicion must last before this instance starts a failover. */
function failoverDelayMs(
  state: FailoverState,
  context: FailoverContext,
): number {
  const {startDelayMs, unfinishedAfterMs, stepMs} = context.limits;
  const rankDelayMs = state.rank * startDelayMs;
  if (!isFailoverUnfinished(context.view)) return rankDelayMs;
  // A fenced primary that still responds indicates a planned failover, which
  // may wait up to one step for its target to catch up.
  const isAlive = primaryOf(context.view)?.reach === Responsiveness.Up;
  return rankDelayMs + unfinishedAfterMs + (isAlive ? stepMs : 0);
}

function sendSuspicion(
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

/** Records that a peer has lost contact with the primary of `term`. */
export function recordPeerSuspicion(
  state: FailoverState,
  instance: string,
  term: number,
  context: FailoverContext,
): FailoverResult {
  const suspicion = {term, heardAt: context.now};
  const peers = new Map(state.peers).set(instance, suspicion);
  return {state: {...state, peers}, effects: []};
}

/** Starts a planned failover to `target` by fencing the primary. */
export function startPlannedFailover(
  state: FailoverState,
  target: string,
  context: FailoverContext,
): FailoverResult {
  const primary = writablePrimary(context.view);
  if (!primary || primary.cfg.name === target) return {state, effects: []};
  const attempt = nextAttempt(state, context);
  const planned = {
    ...state,
    target,
    attempt,
    attempts: state.attempts + 1,
    denials: new Set<string>(),
  };
  const moved = applyInput(
    planned,
    'PLANNED',
    context,
    `planned failover to ${target}`,
  );
  if (moved.state.step !== 'draining') return {state, effects: []};
  const fence: FailoverEffect = {
    type: 'fence',
    endpoint: primary.cfg.name,
    attempt,
  };
  return {state: moved.state, effects: [...moved.effects, fence]};
}

/**
 * Waits until the target has every record of the fenced primary. On timeout,
 * the failover continues without a target.
 */
function waitForTarget(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const primaryPosition = [...state.promises.values()][0]?.last;
  const target = context.view.endpoints.get(state.target ?? '');
  if (
    primaryPosition &&
    target?.status &&
    isAtLeast(target.status.last, primaryPosition)
  ) {
    return continueFencing(
      state,
      'CAUGHT_UP',
      context,
      'the target has caught up',
    );
  }
  if (context.now - state.since < context.limits.stepMs) {
    return {state, effects: []};
  }
  const withoutTarget = {...state, target: undefined};
  return continueFencing(
    withoutTarget,
    'EXPIRED',
    context,
    'the target did not catch up in time',
  );
}

/** Handles an endpoint's promise to an attempt. */
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
  if (next.step === 'draining') return waitForTarget(next, context);
  if (next.step !== 'fencing' || mayTargetPromise(next, context)) {
    return {state: next, effects: []};
  }
  return promoteIfMajority(next, context);
}

/** Handles a promotion: the other endpoints get a `follow` call. */
export function handlePromotion(
  state: FailoverState,
  endpoint: string,
  attempt: Attempt,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrentAttempt(state, attempt)) return {state, effects: []};
  const moved = applyInput(
    state,
    'PROMOTED',
    context,
    `${endpoint} is primary`,
  );
  const effects = [...moved.effects];
  for (const name of context.view.endpoints.keys()) {
    if (name === endpoint) continue;
    effects.push({type: 'follow', endpoint: name, attempt, upstream: endpoint});
  }
  return {state: {...moved.state, followSentAt: context.now}, effects};
}

/** A control call of an attempt, and the endpoint that it was sent to. */
export interface AttemptCall {
  readonly call: 'fence' | 'promote' | 'follow';
  readonly endpoint: string;
  readonly attempt: Attempt;
}

/** Handles a refusal: the endpoint has promised another attempt. */
export function handleRefusal(
  state: FailoverState,
  failedCall: AttemptCall,
  context: FailoverContext,
): FailoverResult {
  return handleFailedCall(
    state,
    failedCall,
    'REFUSED',
    'endpoints promised a competing attempt',
    context,
  );
}

/** Handles a call without a response; the call may have taken effect. */
export function handleUnanswered(
  state: FailoverState,
  failedCall: AttemptCall,
  context: FailoverContext,
): FailoverResult {
  return handleFailedCall(
    state,
    failedCall,
    'EXPIRED',
    'a call got no response',
    context,
  );
}

/**
 * Handles a call that was refused or got no response. A failed `fence` call
 * aborts the attempt only when a majority can no longer promise it.
 */
function handleFailedCall(
  state: FailoverState,
  failedCall: AttemptCall,
  input: 'REFUSED' | 'EXPIRED',
  why: string,
  context: FailoverContext,
): FailoverResult {
  if (!isCurrentAttempt(state, failedCall.attempt)) return {state, effects: []};
  if (failedCall.call === 'promote') {
    return applyInput(state, input, context, why);
  }
  if (failedCall.call !== 'fence') return {state, effects: []};
  if (state.step === 'draining' && input === 'REFUSED') {
    return applyInput(state, input, context, why);
  }
  const denials = new Set(state.denials).add(failedCall.endpoint);
  const next = {...state, denials};
  const size = context.view.endpoints.size;
  const isPossible = size - denials.size >= majorityOf(size);
  if (state.step !== 'fencing') return {state: next, effects: []};
  if (isPossible && mayTargetPromise(next, context)) {
    return {state: next, effects: []};
  }
  if (isPossible) return promoteIfMajority(next, context);
  return applyInput(next, input, context, why);
}

/**
 * Waits for the promotion. A status that shows the candidate as primary in the
 * attempt's term replaces a lost response.
 */
function checkPromotion(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  const {attempt, candidate} = state;
  const status = context.view.endpoints.get(candidate ?? '')?.status;
  const isServing =
    status?.role === 'primary' &&
    status.term === attempt!.term &&
    status.promisedTo === attempt!.holder;
  if (isServing) return handlePromotion(state, candidate!, attempt!, context);
  return checkTimeout(state, context);
}

function checkTimeout(
  state: FailoverState,
  context: FailoverContext,
): FailoverResult {
  if (context.now - state.since < context.limits.stepMs) {
    return {state, effects: []};
  }
  if (state.step === 'fencing') {
    const chosen = promoteIfMajority(state, context);
    if (chosen.effects.length > 0) return chosen;
  }
  return applyInput(state, 'EXPIRED', context, 'the step timed out');
}

/** Reachable endpoints that still follow a lower term than the primary's. */
export function replicasNotFollowing(view: GroupView): readonly EndpointView[] {
  const primary = writablePrimary(view);
  if (!primary) return [];
  const term = primary.status!.term;
  const stale: EndpointView[] = [];
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary || endpoint.reach !== Responsiveness.Up) continue;
    if (endpoint.status && endpoint.status.term < term) stale.push(endpoint);
  }
  return stale;
}
