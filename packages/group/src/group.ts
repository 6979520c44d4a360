/**
 * The decisions about one group: a function from a state and an event to the
 * next state and what is to be done. No clock, socket or log is used here.
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
  Reach,
  attemptOf,
  primaryOf,
  viewOf,
  withEndpoint,
  withFailure,
  withStatus,
} from './view.js';

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
    pendingAcks: [],
    leaving: initialLeaving(),
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
  const leaving = updateLeaving(state.leaving, cfg, now);
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

/** Holds a committed write until a majority has it. */
function hold(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'written'}>,
  now: number,
): GroupResult {
  const {id, position, deadline} = event;
  const held = [...state.pendingAcks, {id, position, deadline}];
  const settled = settleHeld({...state, pendingAcks: held}, now);
  const effects = [...settled.effects];
  if (settled.state.pendingAcks.length > 0) effects.push({type: 'poll'});
  return {state: settled.state, effects};
}

function settleHeld(state: GroupState, now: number): GroupResult {
  const outcome = settleAcks(state.pendingAcks, state.view, now);
  const effects: GroupEffect[] = [];
  for (const {id} of outcome.done) effects.push({type: 'acknowledge', id});
  for (const {id} of outcome.unknown) {
    const why = 'a later term began, or no majority held it in time';
    effects.push({type: 'unknown', id, why});
  }
  return {state: {...state, pendingAcks: outcome.held}, effects};
}

/** Draws every conclusion from what is known now. */
function settle(state: GroupState, now: number): GroupResult {
  const acks = settleHeld(state, now);
  const change = advanceFailover(
    acks.state.failover,
    failoverContext(acks.state, now),
  );
  const advanced = {...acks.state, failover: change.state};
  const left = leave(advanced, now);
  const changed = left.state;
  const placed = placeQueued(changed, now);
  const follows = followStrays(placed.state, now);
  const failover =
    follows.length > 0
      ? {...placed.state.failover, followSentAt: now}
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
  const done = closeOverdue(state.leaving, now);
  const effects: GroupEffect[] = [];
  for (const endpoint of done.endpoints) {
    effects.push({type: 'vacate', endpoint});
  }
  const vacated = {...state, leaving: done.state};
  const mayOrder = failover.step === 'steady' && now >= failover.notBefore;
  const target = mayOrder && plannedTarget(done.state, view, instance, now);
  if (!target) return {state: vacated, effects};
  const change = startPlannedFailover(
    failover,
    target,
    failoverContext(vacated, now),
  );
  effects.push(...change.effects);
  return {state: {...vacated, failover: change.state}, effects};
}

/** Tells endpoints that missed a change to follow the primary. */
function followStrays(state: GroupState, now: number): GroupEffect[] {
  const {failover, limits} = state;
  if (failover.step !== 'steady') return [];
  if (now - failover.followSentAt < limits.retryMs) return [];
  const primary = primaryOf(state.view);
  const attempt = primary && attemptOf(primary);
  if (!attempt || primary.reach !== Reach.Up) return [];
  const upstream = primary.cfg.name;
  return replicasNotFollowing(state.view).map(({cfg}) => ({
    type: 'follow',
    endpoint: cfg.name,
    attempt,
    upstream,
  }));
}
