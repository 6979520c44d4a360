/**
 * State machine of the connection pool of one endpoint. It decides how many
 * connections to open, which ones to check and which request gets one. Each
 * step is a pure function from a state and an event to the next state and a
 * list of effects; it uses no clock or socket. All times are monotonic
 * milliseconds.
 */

/** Time limits of a pool, in milliseconds. */
export interface PoolLimits {
  /**
   * A connection whose last response is at least this old is checked before a
   * write is sent on it.
   */
  readonly maxAgeForWriteMs: number;
  /** An idle connection whose last response is this old is checked. */
  readonly idleCheckAfterMs: number;
  /** Maximum time that a request waits for a connection. */
  readonly maxWaitMs: number;
  /** Delay after a failed attempt to connect; doubles with each further one. */
  readonly initialRetryDelayMs: number;
  /** Upper bound of the delay between attempts to connect. */
  readonly maxRetryDelayMs: number;
}

/** Current state of a pooled connection. */
export const ConnectionStatus = {
  /** Available to a request. */
  Idle: 'idle',
  /** In use by a request. */
  Lent: 'lent',
  /** Waiting for the response to a check. */
  Checking: 'checking',
  /** Waiting for DISCARD ALL to clear the session state of its last request. */
  Resetting: 'resetting',
} as const;

/** One of the values of `ConnectionStatus`. */
export type ConnectionStatus =
  (typeof ConnectionStatus)[keyof typeof ConnectionStatus];

/** One open connection. */
export interface PooledConnection {
  readonly id: number;
  readonly status: ConnectionStatus;
  /**
   * When the endpoint last responded on it; -Infinity when it has to be
   * checked before its next use.
   */
  readonly verifiedAt: number;
}

/** A request for a connection. */
export interface PoolRequest {
  readonly id: number;
  /**
   * Whether the request writes. A write is never sent twice, so its connection
   * must have responded within `maxAgeForWriteMs`.
   */
  readonly isWrite: boolean;
  /** Time at which the request fails if it has no connection yet. */
  readonly deadline: number;
}

/** Connections to one endpoint and the requests that wait for one. */
export interface PoolState {
  readonly limits: PoolLimits;
  /** Number of connections to keep open: this instance's share. */
  readonly size: number;
  /** Open connections, the most recently used first. */
  readonly connections: readonly PooledConnection[];
  /** Number of connections being opened. */
  readonly opening: number;
  /** Waiting requests in order of arrival. */
  readonly waiting: readonly PoolRequest[];
  /** Failed attempts to connect since the last successful one. */
  readonly failures: number;
  /** Earliest time of the next attempt to connect. */
  readonly retryAt: number;
}

/** An event that the pool reacts to. */
export type PoolEvent =
  /** A request asks for a connection. */
  | {readonly type: 'wanted'; readonly req: PoolRequest}
  /** An attempt to connect succeeded. */
  | {readonly type: 'opened'; readonly id: number}
  /** An attempt to connect failed. */
  | {readonly type: 'notOpened'}
  /** A request returned its connection. */
  | {
      readonly type: 'given';
      readonly id: number;
      /**
       * `sound` when it can be used at once, `state` when its session has to be
       * reset first, `broken` when it can't be used again.
       */
      readonly condition: 'sound' | 'state' | 'broken';
      /** When the endpoint last sent something on it. */
      readonly lastReceivedAt: number;
    }
  /** A check or a reset was answered, or it timed out or failed. */
  | {readonly type: 'checked'; readonly id: number; readonly answered: boolean}
  /** The connection was closed. */
  | {readonly type: 'closed'; readonly id: number}
  /**
   * A request got no response, so the idle connections may be dead too and
   * have to be checked.
   */
  | {readonly type: 'suspected'}
  /** The share changed. */
  | {readonly type: 'resized'; readonly size: number}
  /** Time has passed. */
  | {readonly type: 'tick'};

/** An action for the caller of `stepPool` to carry out. */
export type PoolEffect =
  | {readonly type: 'open'}
  | {readonly type: 'lend'; readonly req: number; readonly id: number}
  | {readonly type: 'fail'; readonly req: number}
  | {readonly type: 'check'; readonly id: number}
  | {readonly type: 'reset'; readonly id: number}
  | {readonly type: 'close'; readonly id: number};

/** The next state and the effects to carry out. */
export interface PoolResult {
  readonly state: PoolState;
  readonly effects: readonly PoolEffect[];
}

/** State of a pool without open connections. */
export function initialPool(size: number, limits: PoolLimits): PoolState {
  return {
    limits,
    size,
    connections: [],
    opening: 0,
    waiting: [],
    failures: 0,
    retryAt: -Infinity,
  };
}

/** Applies an event and returns the next state with its effects. */
export function stepPool(
  state: PoolState,
  event: PoolEvent,
  now: number,
): PoolResult {
  const effects: PoolEffect[] = [];
  let next = applyEvent(state, event, now, effects);
  next = failExpired(next, now, effects);
  next = serveWaiting(next, now, effects);
  next = checkIdle(next, now, effects);
  next = closeSurplus(next, effects);
  next = openToSize(next, now, effects);
  return {state: next, effects};
}

function applyEvent(
  state: PoolState,
  event: PoolEvent,
  now: number,
  effects: PoolEffect[],
): PoolState {
  switch (event.type) {
    case 'wanted':
      return {...state, waiting: [...state.waiting, event.req]};
    case 'opened': {
      const fresh = {
        id: event.id,
        status: ConnectionStatus.Idle,
        verifiedAt: now,
      };
      return {
        ...state,
        opening: state.opening - 1,
        failures: 0,
        retryAt: -Infinity,
        connections: [fresh, ...state.connections],
      };
    }
    case 'notOpened':
      return scheduleRetry(state, now);
    case 'given':
      return returnConnection(state, event, effects);
    case 'checked': {
      if (event.answered) {
        return updateConnection(state, event.id, {
          status: ConnectionStatus.Idle,
          verifiedAt: now,
        });
      }
      if (!find(state, event.id)) return state;
      effects.push({type: 'close', id: event.id});
      // When one connection is dead, the idle ones may be dead too.
      return markIdleUnverified(without(state, event.id));
    }
    case 'closed':
      return without(state, event.id);
    case 'suspected':
      return markIdleUnverified(state);
    case 'resized':
      return {...state, size: event.size};
    case 'tick':
      return state;
  }
}

function scheduleRetry(state: PoolState, now: number): PoolState {
  const {initialRetryDelayMs: retryMs, maxRetryDelayMs: maxRetryMs} =
    state.limits;
  const delayMs = Math.min(maxRetryMs, retryMs * 2 ** state.failures);
  return {
    ...state,
    opening: state.opening - 1,
    failures: state.failures + 1,
    retryAt: now + delayMs,
  };
}

function returnConnection(
  state: PoolState,
  event: Extract<PoolEvent, {type: 'given'}>,
  effects: PoolEffect[],
): PoolState {
  const {id, condition, lastReceivedAt} = event;
  if (!find(state, id)) return state;
  if (condition === 'broken') {
    effects.push({type: 'close', id});
    return without(state, id);
  }
  const rest = without(state, id).connections;
  const status =
    condition === 'state' ? ConnectionStatus.Resetting : ConnectionStatus.Idle;
  if (condition === 'state') effects.push({type: 'reset', id});
  const returned = {id, status, verifiedAt: lastReceivedAt};
  return {...state, connections: [returned, ...rest]};
}

/**
 * Fails requests whose deadline has passed. While the endpoint accepts no
 * connection it also fails waiting reads at once, because another endpoint can
 * serve them; a write has to wait for the primary.
 */
function failExpired(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  const isUnreachable = state.connections.length === 0 && state.failures > 0;
  const waiting: PoolRequest[] = [];
  for (const req of state.waiting) {
    if (now < req.deadline && (req.isWrite || !isUnreachable))
      waiting.push(req);
    else effects.push({type: 'fail', req: req.id});
  }
  return waiting.length === state.waiting.length ? state : {...state, waiting};
}

/** Serves waiting requests; checks idle connections that need it first. */
function serveWaiting(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  let current = state;
  for (const req of state.waiting) {
    const idle = current.connections.filter(
      ({status}) => status === ConnectionStatus.Idle,
    );
    if (idle.length === 0) break;
    const verified = idle.find(item =>
      isVerified(item, req, state.limits, now),
    );
    if (verified) {
      effects.push({type: 'lend', req: req.id, id: verified.id});
      current = updateConnection(current, verified.id, {
        status: ConnectionStatus.Lent,
      });
      const waiting = current.waiting.filter(other => other !== req);
      current = {...current, waiting};
      continue;
    }
    effects.push({type: 'check', id: idle[0]!.id});
    current = updateConnection(current, idle[0]!.id, {
      status: ConnectionStatus.Checking,
    });
  }
  return current;
}

function isVerified(
  {verifiedAt}: PooledConnection,
  req: PoolRequest,
  limits: PoolLimits,
  now: number,
): boolean {
  if (!req.isWrite) return verifiedAt > -Infinity;
  return now - verifiedAt < limits.maxAgeForWriteMs;
}

/** Checks idle connections in the background, so requests need not wait. */
function checkIdle(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  let current = state;
  for (const {id, status, verifiedAt} of state.connections) {
    if (
      status !== ConnectionStatus.Idle ||
      now - verifiedAt < state.limits.idleCheckAfterMs
    )
      continue;
    effects.push({type: 'check', id});
    current = updateConnection(current, id, {
      status: ConnectionStatus.Checking,
    });
  }
  return current;
}

/**
 * Closes idle connections in excess of the share. Connections in use are
 * closed after they are returned.
 */
function closeSurplus(state: PoolState, effects: PoolEffect[]): PoolState {
  let current = state;
  for (const {id, status} of [...state.connections].reverse()) {
    if (current.connections.length + current.opening <= state.size) break;
    if (status !== ConnectionStatus.Idle) continue;
    effects.push({type: 'close', id});
    current = without(current, id);
  }
  return current;
}

/** Opens connections up to the share, before requests need them. */
function openToSize(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  if (now < state.retryAt) return state;
  const missing = state.size - state.connections.length - state.opening;
  // After a failure, one attempt at a time shows whether the endpoint accepts
  // connections again.
  const limit = state.failures > 0 ? 1 - state.opening : missing;
  const count = Math.max(0, Math.min(missing, limit));
  for (let i = 0; i < count; i++) effects.push({type: 'open'});
  return count === 0 ? state : {...state, opening: state.opening + count};
}

function find(state: PoolState, id: number): PooledConnection | undefined {
  return state.connections.find(item => item.id === id);
}

function without(state: PoolState, id: number): PoolState {
  const connections = state.connections.filter(item => item.id !== id);
  return {...state, connections};
}

function updateConnection(
  state: PoolState,
  id: number,
  change: Partial<PooledConnection>,
): PoolState {
  const connections = state.connections.map(item =>
    item.id === id ? {...item, ...change} : item,
  );
  return {...state, connections};
}

function markIdleUnverified(state: PoolState): PoolState {
  const connections = state.connections.map(item =>
    item.status === ConnectionStatus.Idle
      ? {...item, verifiedAt: -Infinity}
      : item,
  );
  return {...state, connections};
}
