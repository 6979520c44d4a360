/**
 * The fencing step of a failover: endpoints promise the term of an attempt, and the
 * one that has the latest position among a majority of them is promoted.
 */
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {comparePositions, majorityOf} from '@quetzalreel/position';
import {
  type FailoverContext,
  type FailoverEffect,
  type FailoverInput,
  type FailoverResult,
  type FailoverState,
  applyInput,
} from './failover-state.js';
import {type GroupView, highestTerm} from './view.js';

/** Starts an attempt: all endpoints are asked to promise its term. */
export function startFencing(
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

/** Asks the endpoints that have not promised the attempt yet. */
export function continueFencing(
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

/** An attempt with a term above all known ones. */
export function nextAttempt(
  state: FailoverState,
  context: FailoverContext,
): Attempt {
  return {
    term: highestTerm(context.view) + 1,
    holder: `${context.instance}.${state.attempts + 1}`,
  };
}

/** Whether a planned failover's target may still promise. */
export function mayTargetPromise(
  state: FailoverState,
  context: FailoverContext,
): boolean {
  const {target, promises, denials} = state;
  if (target === undefined || promises.has(target)) return false;
  return context.view.endpoints.has(target) && !denials.has(target);
}

/**
 * Promotes the best candidate once a majority has promised; else nothing changes.
 */
export function promoteIfMajority(
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
    `${candidate} has the latest position`,
  );
  const effect: FailoverEffect = {
    type: 'promote',
    endpoint: candidate,
    attempt: state.attempt!,
  };
  return {state: moved.state, effects: [...moved.effects, effect]};
}

/**
 * The promised endpoint with the highest position. Ties go to the target of a
 * planned failover, then to an endpoint that is not leaving.
 */
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
