/**
 * The decisions about one group: a function from a state and an event to the
 * next state and what is to be done. No clock, socket or log is used here.
 */
import type {GroupConfig} from '@quetzalreel/config';
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import type {Position} from '@quetzalreel/position';
import {type HeldAck, settleAcks} from './acks.js';
import {
  type AttemptCall,
  advance,
  orderChange,
  peerSuspects,
  promoted,
  promised,
  refused,
  strays,
  unanswered,
} from './failover.js';
import {
  type FailoverContext,
  type FailoverEffect,
  type FailoverLimits,
  type FailoverResult,
  type FailoverState,
  initialFailover,
} from './failover-state.js';
import {floorOf} from './floor.js';
import {
  type QueueLimits,
  type RequestQueue,
  dequeue,
  drain,
  emptyQueue,
  enqueue,
} from './queue.js';
import {
  type LeavingState,
  isShut,
  noneLeaving,
  noteLeaving,
  successorOf,
  vacate,
} from './leaving.js';
import {isHopeless} from './prospects.js';
import {type Grant, type GroupRequest, RefusalReason} from './request.js';
import {choose} from './routing.js';
import {boundsFor, shareOf} from './shedding.js';
import {
  type GroupView,
  Reach,
  attemptOf,
  primaryOf,
  viewOf,
  withEndpoint,
  withFailure,
  withLatency,
  withStatus,
} from './view.js';

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
  readonly held: readonly HeldAck[];
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

/** A group that nothing is known of. */
export function initialGroup(
  cfg: GroupConfig,
  instance: string,
  limits: GroupLimits,
  dataCentre = '',
): GroupState {
  return {
    instance,
    dataCentre,
    limits,
    view: viewOf(cfg),
    failover: initialFailover(),
    waiting: emptyQueue(),
    held: [],
    leaving: noneLeaving(),
  };
}

/** The next state of a group. `now` is monotonic milliseconds. */
export function stepGroup(
  state: GroupState,
  event: GroupEvent,
  now: number,
): GroupResult {
  switch (event.type) {
    case 'configured':
      return configured(state, event.cfg, now);
    case 'requested':
      return accept(state, event.req, now);
    case 'cancelled':
      return {
        state: {...state, waiting: dequeue(state.waiting, event.id)},
        effects: [],
      };
    case 'released':
      return placeWaiting(released(state, event, now), now);
    case 'capacity': {
      const {endpoint, capacity} = event;
      const view = withEndpoint(state.view, endpoint, {capacity});
      return placeWaiting({...state, view}, now);
    }
    case 'written':
      return hold(state, event, now);
    case 'status': {
      const {endpoint, status, askedAt} = event;
      const view = withStatus(state.view, endpoint, status, askedAt);
      return settle({...state, view}, now);
    }
    case 'failed': {
      const {endpoint, reach, askedAt} = event;
      const view = withFailure(state.view, endpoint, reach, askedAt);
      return settle({...state, view}, now);
    }
    case 'readOnly': {
      const view = withEndpoint(state.view, event.endpoint, {
        readOnlyAt: event.at,
      });
      return {state: {...state, view}, effects: [{type: 'poll'}]};
    }
    case 'ranked': {
      const {rank, watchers} = event;
      return {
        state: {...state, failover: {...state.failover, rank, watchers}},
        effects: [],
      };
    }
    case 'tick':
      return settle(state, now);
    default:
      return stepFailover(state, event, now);
  }
}

function configured(
  state: GroupState,
  cfg: GroupConfig,
  now: number,
): GroupResult {
  const view = viewOf(cfg, state.view);
  const leaving = noteLeaving(state.leaving, cfg, now);
  return settle({...state, view, leaving}, now);
}

type FailoverEvent = Extract<
  GroupEvent,
  {
    type:
      | 'promised'
      | 'promoted'
      | 'refused'
      | 'unanswered'
      | 'suspected'
      | 'ordered';
  }
>;

function stepFailover(
  state: GroupState,
  event: FailoverEvent,
  now: number,
): GroupResult {
  let view = state.view;
  if (event.type === 'promised' || event.type === 'promoted') {
    view = withStatus(view, event.endpoint, event.status, event.askedAt);
  }
  const context = failoverContext({...state, view}, now);
  const result = failoverResult(state.failover, event, context);
  const settled = settle({...state, view, failover: result.state}, now);
  return {
    state: settled.state,
    effects: [...result.effects, ...settled.effects],
  };
}

function failoverResult(
  state: FailoverState,
  event: FailoverEvent,
  context: FailoverContext,
): FailoverResult {
  switch (event.type) {
    case 'promised': {
      const {endpoint, attempt, status} = event;
      return promised(state, endpoint, attempt, status, context);
    }
    case 'promoted':
      return promoted(state, event.endpoint, event.attempt, context);
    case 'refused':
      return refused(state, event, context);
    case 'unanswered':
      return unanswered(state, event, context);
    case 'suspected':
      return peerSuspects(state, event.instance, event.term, context);
    case 'ordered':
      return orderChange(state, event.target, context);
  }
}

function failoverContext(state: GroupState, now: number): FailoverContext {
  const {view, limits, instance} = state;
  return {view, limits, instance, now};
}

/** Takes in a request: gives it a place, lets it wait, or refuses it. */
function accept(
  state: GroupState,
  req: GroupRequest,
  now: number,
): GroupResult {
  const placed = place(state, req, now);
  if (placed) return placed;
  const waiting = enqueue(state.waiting, req, boundsFor(req, state.limits));
  if (!waiting) {
    const isShed = shareOf(req) < 1;
    const reason = isShed ? RefusalReason.Shed : RefusalReason.QueueFull;
    return {state, effects: [{type: 'refuse', id: req.id, reason}]};
  }
  const effects: GroupEffect[] = awaitsStatus(state, req)
    ? [{type: 'poll'}]
    : [];
  return {state: {...state, waiting}, effects};
}

/** Whether a request waits for news of the endpoints, not for a free place. */
function awaitsStatus(state: GroupState, req: GroupRequest): boolean {
  if (!req.floor || req.unproved) return true;
  if (req.needsPrimary) return false;
  const primary = primaryOf(state.view);
  return primary !== undefined && primary.busy < primary.capacity;
}

/** Gives a request a place; undefined when there is none now. */
function place(
  state: GroupState,
  req: GroupRequest,
  now: number,
): GroupResult | undefined {
  const found = floorOf(state.view, req);
  if ('pending' in found) return undefined;
  if ('ahead' in found) {
    const reason = RefusalReason.TokenAhead;
    return {state, effects: [{type: 'refuse', id: req.id, reason}]};
  }
  const {floor} = found;
  if (req.needsPrimary && state.failover.step === 'draining') return undefined;
  const choice = choose(state.view, {...req, floor}, now, state.dataCentre);
  if (!choice) return undefined;
  const {endpoint, reason} = choice;
  const name = endpoint.cfg.name;
  if (isShut(state.leaving, name, now)) return undefined;
  const view = withEndpoint(state.view, name, {busy: endpoint.busy + 1});
  const grant: Grant = {
    endpoint: name,
    role: endpoint.status!.role,
    term: primaryOf(state.view)?.status?.term ?? endpoint.status!.term,
    floor,
    position: endpoint.status!.last,
    reason,
  };
  return {
    state: {...state, view},
    effects: [{type: 'grant', id: req.id, grant}],
  };
}

function released(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'released'}>,
  now: number,
): GroupState {
  const {endpoint: name, elapsedMs} = event;
  const busy = state.view.endpoints.get(name)?.busy ?? 0;
  const view = withEndpoint(state.view, name, {busy: Math.max(0, busy - 1)});
  if (elapsedMs === undefined) return {...state, view};
  // An answered statement is a sign of life, however slow it was.
  const heard = withEndpoint(view, name, {heardAt: now});
  return {...state, view: withLatency(heard, name, elapsedMs, now)};
}

/** Gives places to waiting requests, the first of each need first. */
function placeWaiting(state: GroupState, now: number): GroupResult {
  if (state.waiting.length === 0) return {state, effects: []};
  const effects: GroupEffect[] = [];
  const drained = drain(state.waiting, state, now, (current, req) => {
    const {view, failover} = current;
    if (isHopeless(view, failover.step, req)) return 'stop';
    const placed = place(current, req, now);
    if (!placed) return 'pass';
    effects.push(...placed.effects);
    return {placed: placed.state};
  });
  for (const {id} of drained.expired) {
    effects.push({type: 'refuse', id, reason: RefusalReason.Deadline});
  }
  return {state: {...drained.state, waiting: drained.queue}, effects};
}

/** Holds a committed write until a majority has it. */
function hold(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'written'}>,
  now: number,
): GroupResult {
  const {id, position, deadline} = event;
  const held = [...state.held, {id, position, deadline}];
  const settled = settleHeld({...state, held}, now);
  const effects = [...settled.effects];
  if (settled.state.held.length > 0) effects.push({type: 'poll'});
  return {state: settled.state, effects};
}

function settleHeld(state: GroupState, now: number): GroupResult {
  const outcome = settleAcks(state.held, state.view, now);
  const effects: GroupEffect[] = [];
  for (const {id} of outcome.done) effects.push({type: 'acknowledge', id});
  for (const {id} of outcome.unknown) {
    const why = 'a later term began, or no majority held it in time';
    effects.push({type: 'unknown', id, why});
  }
  return {state: {...state, held: outcome.held}, effects};
}

/** Draws every conclusion from what is known now. */
function settle(state: GroupState, now: number): GroupResult {
  const acks = settleHeld(state, now);
  const change = advance(acks.state.failover, failoverContext(acks.state, now));
  const advanced = {...acks.state, failover: change.state};
  const left = leave(advanced, now);
  const changed = left.state;
  const placed = placeWaiting(changed, now);
  const follows = followStrays(placed.state, now);
  const failover =
    follows.length > 0
      ? {...placed.state.failover, followedAt: now}
      : placed.state.failover;
  return {
    state: {...placed.state, failover},
    effects: [
      ...acks.effects,
      ...change.effects,
      ...left.effects,
      ...follows,
      ...placed.effects,
    ],
  };
}

/** Changes a primary that is leaving, and ends what is open at the bound. */
function leave(state: GroupState, now: number): GroupResult {
  if (state.leaving.since.size === 0) return {state, effects: []};
  const {view, failover, instance} = state;
  const done = vacate(state.leaving, now);
  const effects: GroupEffect[] = [];
  for (const endpoint of done.endpoints) {
    effects.push({type: 'vacate', endpoint});
  }
  const vacated = {...state, leaving: done.state};
  const mayOrder = failover.step === 'steady' && now >= failover.notBefore;
  const target = mayOrder && successorOf(done.state, view, instance, now);
  if (!target) return {state: vacated, effects};
  const change = orderChange(failover, target, failoverContext(vacated, now));
  effects.push(...change.effects);
  return {state: {...vacated, failover: change.state}, effects};
}

/** Tells endpoints that missed a change to follow the primary. */
function followStrays(state: GroupState, now: number): GroupEffect[] {
  const {failover, limits} = state;
  if (failover.step !== 'steady') return [];
  if (now - failover.followedAt < limits.retryMs) return [];
  const primary = primaryOf(state.view);
  const attempt = primary && attemptOf(primary);
  if (!attempt || primary.reach !== Reach.Up) return [];
  const upstream = primary.cfg.name;
  return strays(state.view).map(({cfg}) => ({
    type: 'follow',
    endpoint: cfg.name,
    attempt,
    upstream,
  }));
}
