/** Gives requests their places on endpoints, or lets them wait. */
import {floorOf} from './floor.js';
import type {
  GroupEffect,
  GroupEvent,
  GroupResult,
  GroupState,
} from './group-events.js';
import {isClosed} from './leaving.js';
import {isLaneBlocked} from './lane-blocked.js';
import {drain, enqueue} from './queue.js';
import {type Grant, type GroupRequest, RefusalReason} from './request.js';
import {chooseEndpoint} from './routing.js';
import {queueLimitsFor, queueShareOf} from './shedding.js';
import {primaryOf, withEndpoint, withLatency} from './view.js';

/** Takes in a request: gives it a place, lets it wait, or refuses it. */
export function admit(
  state: GroupState,
  req: GroupRequest,
  now: number,
): GroupResult {
  const placed = place(state, req, now);
  if (placed) return placed;
  const waiting = enqueue(
    state.waiting,
    req,
    queueLimitsFor(req, state.limits),
  );
  if (!waiting) {
    const isShed = queueShareOf(req) < 1;
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
  const choice = chooseEndpoint(
    state.view,
    {...req, floor},
    now,
    state.dataCentre,
  );
  if (!choice) return undefined;
  const {endpoint, reason} = choice;
  const name = endpoint.cfg.name;
  if (isClosed(state.leaving, name, now)) return undefined;
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

/** Takes back the place of a request that is done. */
export function releaseSlot(
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
export function placeQueued(state: GroupState, now: number): GroupResult {
  if (state.waiting.length === 0) return {state, effects: []};
  const effects: GroupEffect[] = [];
  const drained = drain(state.waiting, state, now, (current, req) => {
    const {view, failover} = current;
    if (isLaneBlocked(view, failover.step, req)) return 'stop';
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
