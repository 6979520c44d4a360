/**
 * Queue of requests that wait for a slot on an endpoint, limited by count,
 * bytes and deadlines. It has one lane (sub-queue) per need. The work per event
 * doesn't grow with the length of the queue: a lane is abandoned as soon as
 * none of its requests can be placed, and only a limited number of requests is
 * skipped per lane.
 */
import {
  type Fifo,
  append,
  emptyFifo,
  fifoOf,
  firstOf,
  itemsOf,
  rest,
} from './fifo.js';
import type {GroupRequest} from './request.js';

/** Limits on the waiting requests. */
export interface QueueLimits {
  /** Maximum number of waiting requests. */
  readonly maxWaiting: number;
  /** Maximum total bytes of waiting requests. */
  readonly maxWaitingBytes: number;
}

/** What the requests of a lane wait for. */
export const WaitsFor = {
  /**
   * Statuses of a majority from after the request's arrival, which determine
   * its floor.
   */
  Floor: 'floor',
  /** A free slot on the primary. */
  Primary: 'primary',
  /**
   * A free slot on any endpoint that meets the read's consistency requirements.
   */
  Read: 'read',
} as const;

/** One of the values of `Need`. */
export type WaitsFor = (typeof WaitsFor)[keyof typeof WaitsFor];

interface Lane {
  /** Requests that have not been tried yet. */
  readonly untried: Fifo<GroupRequest>;
  /** Requests that were tried and skipped; they are retried in rotation. */
  readonly skipped: Fifo<GroupRequest>;
}

/** Requests that wait for a slot. */
export interface RequestQueue {
  readonly lanes: Readonly<Record<WaitsFor, Lane>>;
  readonly length: number;
  readonly bytes: number;
  /** Lower bound of all deadlines, in monotonic milliseconds. */
  readonly nextDeadline: number;
  /** When all deadlines were last checked, in monotonic milliseconds. */
  readonly checkedAt: number;
}

/** Result of offering a slot to a request. */
export type OfferResult<State> =
  | {readonly placed: State}
  /** This request can't be placed now, but a later one in the lane may. */
  | 'pass'
  /** No request in the lane can be placed now. */
  | 'stop';

/** Result of `drain`. */
export interface DrainOutcome<State> {
  readonly queue: RequestQueue;
  readonly state: State;
  /** Requests whose deadline has passed. */
  readonly expired: readonly GroupRequest[];
}

/**
 * Requests that one event may skip among the untried of a lane; as many skipped
 * ones are retried.
 */
const MAX_SKIPPED_PER_LANE = 16;
/** Minimum time between two checks of all deadlines. */
const DEADLINE_CHECK_PERIOD_MS = 10;

const EMPTY_LANE: Lane = {untried: emptyFifo(), skipped: emptyFifo()};
const NEEDS: readonly WaitsFor[] = [
  WaitsFor.Floor,
  WaitsFor.Primary,
  WaitsFor.Read,
];

/** An empty queue. */
export function emptyQueue(): RequestQueue {
  return {
    lanes: {floor: EMPTY_LANE, primary: EMPTY_LANE, read: EMPTY_LANE},
    length: 0,
    bytes: 0,
    nextDeadline: Infinity,
    checkedAt: -Infinity,
  };
}

/** What a request waits for. */
export function needOf(req: GroupRequest): WaitsFor {
  if (!req.floor) return WaitsFor.Floor;
  return req.needsPrimary ? WaitsFor.Primary : WaitsFor.Read;
}

/** The queue with `req` added; undefined if a limit would be exceeded. */
export function enqueue(
  queue: RequestQueue,
  req: GroupRequest,
  limits: QueueLimits,
): RequestQueue | undefined {
  const bytes = queue.bytes + req.bytes;
  if (queue.length >= limits.maxWaiting) return undefined;
  if (bytes > limits.maxWaitingBytes) return undefined;
  const need = needOf(req);
  const lane = queue.lanes[need];
  const extended = {...lane, untried: append(lane.untried, req)};
  return {
    ...queue,
    lanes: {...queue.lanes, [need]: extended},
    length: queue.length + 1,
    bytes,
    nextDeadline: Math.min(queue.nextDeadline, req.deadline),
  };
}

/** The queue without the request of this ID. */
export function dequeue(queue: RequestQueue, id: number): RequestQueue {
  return filterQueue(queue, req => req.id !== id);
}

/** All queued requests, lane by lane. */
export function* queuedRequests(queue: RequestQueue): Generator<GroupRequest> {
  for (const need of NEEDS) {
    yield* itemsOf(queue.lanes[need].skipped);
    yield* itemsOf(queue.lanes[need].untried);
  }
}

/** The queue with only the requests that match `isKept`. */
function filterQueue(
  queue: RequestQueue,
  isKept: (req: GroupRequest) => boolean,
): RequestQueue {
  let length = 0;
  let bytes = 0;
  let nextDeadline = Infinity;
  const keep = (list: Fifo<GroupRequest>) => {
    const kept: GroupRequest[] = [];
    for (const req of itemsOf(list)) {
      if (!isKept(req)) continue;
      kept.push(req);
      length++;
      bytes += req.bytes;
      nextDeadline = Math.min(nextDeadline, req.deadline);
    }
    return fifoOf(kept);
  };
  const keepLane = (lane: Lane): Lane => ({
    untried: keep(lane.untried),
    skipped: keep(lane.skipped),
  });
  const {floor, primary, read} = queue.lanes;
  const lanes = {
    floor: keepLane(floor),
    primary: keepLane(primary),
    read: keepLane(read),
  };
  return {...queue, lanes, length, bytes, nextDeadline};
}

/**
 * Offers slots to the waiting requests. The lane whose first request arrived
 * earliest goes first.
 */
export function drain<State>(
  queue: RequestQueue,
  state: State,
  now: number,
  offer: (state: State, req: GroupRequest) => OfferResult<State>,
): DrainOutcome<State> {
  const expired: GroupRequest[] = [];
  let remaining = dropExpired(queue, now, expired);
  let current = state;
  const dispatch = (req: GroupRequest): 'gone' | 'pass' | 'stop' => {
    if (now >= req.deadline) {
      expired.push(req);
      return 'gone';
    }
    const result = offer(current, req);
    if (typeof result === 'string') return result;
    current = result.placed;
    return 'gone';
  };
  for (const need of lanesByFirstArrival(remaining)) {
    remaining = drainLane(remaining, need, dispatch);
  }
  if (remaining.length === 0) remaining = emptyQueue();
  return {queue: remaining, state: current, expired};
}

/**
 * Removes requests whose deadline has passed, at most once per
 * `DEADLINE_CHECK_PERIOD_MS`.
 */
function dropExpired(
  queue: RequestQueue,
  now: number,
  expired: GroupRequest[],
): RequestQueue {
  if (now < queue.nextDeadline) return queue;
  if (now < queue.checkedAt + DEADLINE_CHECK_PERIOD_MS) return queue;
  const remaining = filterQueue(queue, req => {
    if (now < req.deadline) return true;
    expired.push(req);
    return false;
  });
  return {...remaining, checkedAt: now};
}

function lanesByFirstArrival(queue: RequestQueue): WaitsFor[] {
  const arrival = (need: WaitsFor) => {
    const {untried, skipped} = queue.lanes[need];
    const first = firstOf(skipped) ?? firstOf(untried);
    return first ? first.id : Infinity;
  };
  const used = NEEDS.filter(need => arrival(need) < Infinity);
  return used.sort((a, b) => arrival(a) - arrival(b));
}

function drainLane(
  queue: RequestQueue,
  need: WaitsFor,
  dispatch: (req: GroupRequest) => 'gone' | 'pass' | 'stop',
): RequestQueue {
  let {untried, skipped} = queue.lanes[need];
  let {length, bytes} = queue;
  let stopped = false;
  /**
   * Offers a slot to the first request; returns the list without it, or
   * unchanged if the lane is blocked.
   */
  const dispatchFirst = (list: Fifo<GroupRequest>): Fifo<GroupRequest> => {
    const req = firstOf(list)!;
    const result = dispatch(req);
    if (result === 'stop') {
      stopped = true;
      return list;
    }
    if (result === 'pass') {
      skippedNow.push(req);
    } else {
      length--;
      bytes -= req.bytes;
    }
    return rest(list);
  };
  const skippedNow: GroupRequest[] = [];
  let retries = Math.min(skipped.length, MAX_SKIPPED_PER_LANE);
  for (; retries > 0 && !stopped; retries--) skipped = dispatchFirst(skipped);
  const limit = skippedNow.length + MAX_SKIPPED_PER_LANE;
  while (untried.length > 0 && !stopped && skippedNow.length < limit) {
    untried = dispatchFirst(untried);
  }
  for (const req of skippedNow) skipped = append(skipped, req);
  const lanes = {...queue.lanes, [need]: {untried, skipped}};
  return {...queue, lanes, length, bytes};
}
