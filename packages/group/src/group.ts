/**
 * The state machine of one group: a pure function from a state and an event to
 * the next state and the effects to carry out. It uses no clock, socket or log.
 */
import type {GroupConfig} from '@quetzalreel/config';
import {settleAcks} from './acks.js';
import {
  advanceFailover,
  startPlannedFailover,
  recordPeerSuspicion,
  handlePromotion,
  handlePromise,
  handleRefusal,
  replicasNotFollowing,
  handleUnanswered,
} from './failover.js';
import {
  type FailoverContext,
  type FailoverResult,
  type FailoverState,
  initialFailover,
} from './failover-state.js';
import type {
  GroupEffect,
  GroupEvent,
  GroupLimits,
  GroupResult,
  GroupState,
} from './group-events.js';
import {
  initialLeaving,
  updateLeaving,
  plannedTarget,
  closeOverdue,
} from './leaving.js';
import {admit, placeQueued, releaseSlot} from './placement.js';
import {dequeue, emptyQueue} from './queue.js';
import {
  Responsiveness,
  attemptOf,
  primaryOf,
  viewOf,
  withEndpoint,
  withFailure,
  withStatus,
} from './view.js';

/** Initial state of a group, before any status has arrived. */
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
    pendingAcks: [],
    leaving: initialLeaving(),
  };
}

/** Applies an event to a group. `now` is in monotonic milliseconds. */
export function stepGroup(
  state: GroupState,
  event: GroupEvent,
  now: number,
): GroupResult {
  switch (event.type) {
    case 'configured':
      return configured(state, event.cfg, now);
    case 'requested':
      return admit(state, event.req, now);
    case 'cancelled':
      return {
        state: {...state, waiting: dequeue(state.waiting, event.id)},
        effects: [],
      };
    case 'released':
      return placeQueued(releaseSlot(state, event, now), now);
    case 'capacity': {
      const {endpoint, capacity} = event;
      const view = withEndpoint(state.view, endpoint, {capacity});
      return placeQueued({...state, view}, now);
    }
    case 'written':
      return addPendingAck(state, event, now);
    case 'status': {
      const {endpoint, status, askedAt} = event;
      const view = withStatus(state.view, endpoint, status, askedAt);
      return evaluate({...state, view}, now);
    }
    case 'failed': {
      const {endpoint, reach, askedAt} = event;
      const view = withFailure(state.view, endpoint, reach, askedAt);
      return evaluate({...state, view}, now);
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
      return evaluate(state, now);
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
  const leaving = updateLeaving(state.leaving, cfg, now);
  return evaluate({...state, view, leaving}, now);
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
  const evaluated = evaluate({...state, view, failover: result.state}, now);
  return {
    state: evaluated.state,
    effects: [...result.effects, ...evaluated.effects],
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
      return handlePromise(state, endpoint, attempt, status, context);
    }
    case 'promoted':
      return handlePromotion(state, event.endpoint, event.attempt, context);
    case 'refused':
      return handleRefusal(state, event, context);
    case 'unanswered':
      return handleUnanswered(state, event, context);
    case 'suspected':
      return recordPeerSuspicion(state, event.instance, event.term, context);
    case 'ordered':
      return startPlannedFailover(state, event.target, context);
  }
}

function failoverContext(state: GroupState, now: number): FailoverContext {
  const {view, limits, instance} = state;
  return {view, limits, instance, now};
}

/** Delays the answer to a committed write until the write is on a majority. */
function addPendingAck(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'written'}>,
  now: number,
): GroupResult {
  const {id, position, deadline} = event;
  const pendingAcks = [...state.pendingAcks, {id, position, deadline}];
  const evaluated = settlePending({...state, pendingAcks}, now);
  const effects = [...evaluated.effects];
  if (evaluated.state.pendingAcks.length > 0) effects.push({type: 'poll'});
  return {state: evaluated.state, effects};
}

function settlePending(state: GroupState, now: number): GroupResult {
  const outcome = settleAcks(state.pendingAcks, state.view, now);
  const effects: GroupEffect[] = [];
  for (const {id} of outcome.acknowledged) {
    effects.push({type: 'acknowledge', id});
  }
  for (const {id} of outcome.unknown) {
    const why =
      'a later term started, or the write did not reach a majority in time';
    effects.push({type: 'unknown', id, why});
  }
  return {state: {...state, pendingAcks: outcome.pending}, effects};
}

/**
 * Re-evaluates pending writes, failover, leaving endpoints, waiting requests
 * and replication sources, in this order.
 */
function evaluate(state: GroupState, now: number): GroupResult {
  const ackResult = settlePending(state, now);
  const failoverChange = advanceFailover(
    ackResult.state.failover,
    failoverContext(ackResult.state, now),
  );
  const advanced = {...ackResult.state, failover: failoverChange.state};
  const leavingResult = handleLeaving(advanced, now);
  const changed = leavingResult.state;
  const placed = placeQueued(changed, now);
  const follows = redirectReplicas(placed.state, now);
  const failover =
    follows.length > 0
      ? {...placed.state.failover, followSentAt: now}
      : placed.state.failover;
  return {
    state: {...placed.state, failover},
    effects: [
      ...ackResult.effects,
      ...failoverChange.effects,
      ...leavingResult.effects,
      ...follows,
      ...placed.effects,
    ],
  };
}

/**
 * Starts a planned failover if the primary is leaving, and ends open
 * transactions on leaving endpoints whose time is over.
 */
function handleLeaving(state: GroupState, now: number): GroupResult {
  if (state.leaving.since.size === 0) return {state, effects: []};
  const {view, failover, instance} = state;
  const overdue = closeOverdue(state.leaving, now);
  const effects: GroupEffect[] = [];
  for (const endpoint of overdue.endpoints) {
    effects.push({type: 'vacate', endpoint});
  }
  const leavingUpdated = {...state, leaving: overdue.state};
  const mayStart = failover.step === 'steady' && now >= failover.notBefore;
  const target = mayStart && plannedTarget(overdue.state, view, instance, now);
  if (!target) return {state: leavingUpdated, effects};
  const failoverChange = startPlannedFailover(
    failover,
    target,
    failoverContext(leavingUpdated, now),
  );
  effects.push(...failoverChange.effects);
  return {state: {...leavingUpdated, failover: failoverChange.state}, effects};
}

/** Sends `follow` calls to endpoints that missed a failover. */
function redirectReplicas(state: GroupState, now: number): GroupEffect[] {
  const {failover, limits} = state;
  if (failover.step !== 'steady') return [];
  if (now - failover.followSentAt < limits.retryMs) return [];
  const primary = primaryOf(state.view);
  const attempt = primary && attemptOf(primary);
  if (!attempt || primary.reach !== Responsiveness.Up) return [];
  const upstream = primary.cfg.name;
  return replicasNotFollowing(state.view).map(({cfg}) => ({
    type: 'follow',
    endpoint: cfg.name,
    attempt,
    upstream,
  }));
}
