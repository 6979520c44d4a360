/**
 * Requests that wait for a place on an endpoint, the first to be served first,
 * bounded by their number and by their bytes.
 */
import type {GroupRequest} from './request.js';

/** Bounds of the requests that wait. */
export interface QueueLimits {
  /** Requests that may wait at a time. */
  readonly maxWaiting: number;
  /** Bytes of requests that may wait at a time. */
  readonly maxWaitingBytes: number;
}

/** Requests without a place. */
export interface RequestQueue {
  /** The first to be served first. */
  readonly requests: readonly GroupRequest[];
  readonly length: number;
  readonly bytes: number;
}

/** What `drain` did. */
export interface DrainOutcome<State> {
  readonly queue: RequestQueue;
  readonly state: State;
  /** Requests whose deadline has passed. */
  readonly expired: readonly GroupRequest[];
}

/** A queue with nothing in it. */
export function emptyQueue(): RequestQueue {
  return {requests: [], length: 0, bytes: 0};
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
  return queueOf([...queue.requests, req]);
}

/** The queue without one request. */
export function dequeue(queue: RequestQueue, id: number): RequestQueue {
  return queueOf(queue.requests.filter(req => req.id !== id));
}

/**
 * Offers each request to `place`, the first first. It gives back the state
 * after it was placed, or undefined when it has to wait on.
 */
export function drain<State>(
  queue: RequestQueue,
  state: State,
  now: number,
  place: (state: State, req: GroupRequest) => State | undefined,
): DrainOutcome<State> {
  const expired: GroupRequest[] = [];
  const left: GroupRequest[] = [];
  let current = state;
  for (const req of queue.requests) {
    if (now >= req.deadline) {
      expired.push(req);
      continue;
    }
    const after = place(current, req);
    if (after) current = after;
    else left.push(req);
  }
  return {queue: queueOf(left), state: current, expired};
}

function queueOf(requests: readonly GroupRequest[]): RequestQueue {
  let bytes = 0;
  for (const req of requests) bytes += req.bytes;
  return {requests, length: requests.length, bytes};
}
