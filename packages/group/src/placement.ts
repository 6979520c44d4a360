/** Assigns requests to slots on endpoints, or queues them. */
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

/** Handles a new request: assigns it a slot, queues it, or refuses it. */
export function admit(
  state: GroupState,
  req: GroupRequest,
  now: number,
): GroupResult {
  const placed = tryPlace(state, req, now);
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

/**
 * Whether a queued request waits for a new status rather than for a free slot.
 */
function awaitsStatus(state: GroupState, req: GroupRequest): boolean {
  if (!req.floor || req.unproved) return true;
  if (req.needsPrimary) return false;
  const primary = primaryOf(state.view);
  return primary !== undefined && primary.busy < primary.capacity;
}

/** Assigns a slot to a request or refuses it; undefined if it has to wait. */
function tryPlace(
  state: GroupState,
  req: GroupRequest,
  now: number,
): GroupResult | undefined {
  const floorResult = floorOf(state.view, req);
  if ('pending' in floorResult) return undefined;
  if ('ahead' in floorResult) {
    const reason = RefusalReason.TokenAhead;
    return {state, effects: [{type: 'refuse', id: req.id, reason}]};
  }
  const {floor} = floorResult;
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

/** Frees the slot of a finished request. */
export function releaseSlot(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'released'}>,
  now: number,
): GroupState {
  const {endpoint: name, elapsedMs} = event;
  const busy = state.view.endpoints.get(name)?.busy ?? 0;
  const view = withEndpoint(state.view, name, {busy: Math.max(0, busy - 1)});
  if (elapsedMs === undefined) return {...state, view};
  // A response to a statement shows that the endpoint is alive, however slow it
  // was.
  const answered = withEndpoint(view, name, {heardAt: now});
  return {...state, view: withLatency(answered, name, elapsedMs, now)};
}

/**
 * Assigns free slots to waiting requests, in order of arrival within each need.
 */
export function placeQueued(state: GroupState, now: number): GroupResult {
  if (state.waiting.length === 0) return {state, effects: []};
  const effects: GroupEffect[] = [];
  const drained = drain(state.waiting, state, now, (current, req) => {
    const {view, failover} = current;
    if (isLaneBlocked(view, failover.step, req)) return 'stop';
    const placed = tryPlace(current, req, now);
    if (!placed) return 'pass';
    effects.push(...placed.effects);
    return {placed: placed.state};
  });
  for (const {id} of drained.expired) {
    effects.push({type: 'refuse', id, reason: RefusalReason.Deadline});
  }
  return {state: {...drained.state, waiting: drained.queue}, effects};
}
