/**
 * Requests that wait for a place on an endpoint, bounded by their number,
 * their bytes and their deadlines. The work for one event doesn't grow with
 * the number of requests that wait: requests of one need stand in one lane, a
 * lane is left as soon as nothing in it can be placed, and few are looked at.
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

/** Bounds of the requests that wait. */
export interface QueueLimits {
  /** Requests that may wait at a time. */
  readonly maxWaiting: number;
  /** Bytes of requests that may wait at a time. */
  readonly maxWaitingBytes: number;
}

/** What the requests of a lane wait for. */
export const Need = {
  /** A majority's report after the arrival, which gives the floor. */
  Floor: 'floor',
  /** A place on the primary. */
  Primary: 'primary',
  /** A place on any endpoint that keeps the read's promises. */
  Read: 'read',
} as const;

/** One of the values of `Need`. */
export type Need = (typeof Need)[keyof typeof Need];

interface Lane {
  /** Not looked at yet. */
  readonly fresh: Fifo<GroupRequest>;
  /** Looked at and passed over; they take turns in being looked at again. */
  readonly passed: Fifo<GroupRequest>;
}

/** Requests without a place. */
export interface RequestQueue {
  readonly lanes: Readonly<Record<Need, Lane>>;
  readonly length: number;
  readonly bytes: number;
  /** No request has an earlier deadline, monotonic milliseconds. */
  readonly nextDeadline: number;
  /** When all deadlines were last checked, monotonic milliseconds. */
  readonly checkedAt: number;
}

/** What became of an offer of a place. */
export type OfferResult<State> =
  | {readonly placed: State}
  /** This one can't be placed now, a later one of the lane may. */
  | 'pass'
  /** Nothing in the lane can be placed now. */
  | 'stop';

/** What `drain` did. */
export interface DrainOutcome<State> {
  readonly queue: RequestQueue;
  readonly state: State;
  /** Requests whose deadline has passed. */
  readonly expired: readonly GroupRequest[];
}

/** Requests of one lane that one event may pass over. */
const MAX_PASSES = 16;
/** Least time between two checks of all deadlines, in milliseconds. */
const CHECK_PERIOD_MS = 10;

const EMPTY_LANE: Lane = {fresh: emptyFifo(), passed: emptyFifo()};
const NEEDS: readonly Need[] = [Need.Floor, Need.Primary, Need.Read];

/** A queue with nothing in it. */
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
export function needOf(req: GroupRequest): Need {
  if (!req.floor) return Need.Floor;
  return req.needsPrimary ? Need.Primary : Need.Read;
}

/** The queue with a request more; undefined when a bound is reached. */
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
  const longer = {...lane, fresh: append(lane.fresh, req)};
  return {
    ...queue,
    lanes: {...queue.lanes, [need]: longer},
    length: queue.length + 1,
    bytes,
    nextDeadline: Math.min(queue.nextDeadline, req.deadline),
  };
}

/** The queue without one request. */
export function dequeue(queue: RequestQueue, id: number): RequestQueue {
  return select(queue, req => req.id !== id);
}

/** All requests of a queue, lane by lane. */
export function* queuedRequests(queue: RequestQueue): Generator<GroupRequest> {
  for (const need of NEEDS) {
    yield* itemsOf(queue.lanes[need].passed);
    yield* itemsOf(queue.lanes[need].fresh);
  }
}

/** The queue with only the requests that `isKept` keeps. */
function select(
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
    fresh: keep(lane.fresh),
    passed: keep(lane.passed),
  });
  const {floor, primary, read} = queue.lanes;
  const lanes = {
    floor: keepLane(floor),
    primary: keepLane(primary),
    read: keepLane(read),
  };
  return {...queue, lanes, length, bytes, nextDeadline};
}

/** Offers places; the lane whose first request came first goes first. */
export function drain<State>(
  queue: RequestQueue,
  state: State,
  now: number,
  offer: (state: State, req: GroupRequest) => OfferResult<State>,
): DrainOutcome<State> {
  const expired: GroupRequest[] = [];
  let left = dropExpired(queue, now, expired);
  let current = state;
  const tryOne = (req: GroupRequest): 'gone' | 'pass' | 'stop' => {
    if (now >= req.deadline) {
      expired.push(req);
      return 'gone';
    }
    const answer = offer(current, req);
    if (typeof answer === 'string') return answer;
    current = answer.placed;
    return 'gone';
  };
  for (const need of byFirstArrival(left)) left = drainLane(left, need, tryOne);
  if (left.length === 0) left = emptyQueue();
  return {queue: left, state: current, expired};
}

/** Refuses what is too late, unless all deadlines were checked just now. */
function dropExpired(
  queue: RequestQueue,
  now: number,
  expired: GroupRequest[],
): RequestQueue {
  if (now < queue.nextDeadline) return queue;
  if (now < queue.checkedAt + CHECK_PERIOD_MS) return queue;
  const left = select(queue, req => {
    if (now < req.deadline) return true;
    expired.push(req);
    return false;
  });
  return {...left, checkedAt: now};
}

function byFirstArrival(queue: RequestQueue): Need[] {
  const arrival = (need: Need) => {
    const {fresh, passed} = queue.lanes[need];
    const first = firstOf(passed) ?? firstOf(fresh);
    return first ? first.id : Infinity;
  };
  const used = NEEDS.filter(need => arrival(need) < Infinity);
  return used.sort((a, b) => arrival(a) - arrival(b));
}

function drainLane(
  queue: RequestQueue,
  need: Need,
  tryOne: (req: GroupRequest) => 'gone' | 'pass' | 'stop',
): RequestQueue {
  let {fresh, passed} = queue.lanes[need];
  let {length, bytes} = queue;
  let stopped = false;
  /** Tries the first of a list; gives back the list without it. */
  const tryFirst = (list: Fifo<GroupRequest>): Fifo<GroupRequest> => {
    const req = firstOf(list)!;
    const result = tryOne(req);
    if (result === 'stop') {
      stopped = true;
      return list;
    }
    if (result === 'pass') {
      again.push(req);
    } else {
      length--;
      bytes -= req.bytes;
    }
    return rest(list);
  };
  const again: GroupRequest[] = [];
  let looks = Math.min(passed.length, MAX_PASSES);
  for (; looks > 0 && !stopped; looks--) passed = tryFirst(passed);
  const most = again.length + MAX_PASSES;
  while (fresh.length > 0 && !stopped && again.length < most) {
    fresh = tryFirst(fresh);
  }
  for (const req of again) passed = append(passed, req);
  const lanes = {...queue.lanes, [need]: {fresh, passed}};
  return {...queue, lanes, length, bytes};
}
