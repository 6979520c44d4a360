/**
 * The decisions about the connections to one endpoint: how many to open, which
 * to check, who gets one. A function from a state and an event to the next
 * state and what is to be done; no clock or socket is used here. All times are
 * monotonic milliseconds.
 */

/** Bounds of a pool, in milliseconds. */
export interface PoolLimits {
  /** Idleness after which a connection is checked before a write. */
  readonly checkBeforeWriteMs: number;
  /** Time between two checks of an idle connection. */
  readonly checkIdleMs: number;
  /** Longest wait for a connection. */
  readonly waitMs: number;
  /** First pause after a refusal; each further one is twice as long. */
  readonly retryMs: number;
  /** Longest pause after a refusal. */
  readonly maxRetryMs: number;
}

/** What a connection does. */
export const Use = {
  /** Free to be lent. */
  Idle: 'idle',
  /** A request is on it. */
  Lent: 'lent',
  /** It is asked for a sign of life. */
  Checking: 'checking',
  /** The state that its last request left in it is discarded. */
  Resetting: 'resetting',
} as const;

/** One of the values of `Use`. */
export type Use = (typeof Use)[keyof typeof Use];

/** One open connection. */
export interface PooledConnection {
  readonly id: number;
  readonly use: Use;
  /** When it last gave a sign of life; -Infinity when that is doubted. */
  readonly soundAt: number;
}

/** A request that wants a connection. */
export interface PoolRequest {
  readonly id: number;
  /** A write is sent once, so its connection has to be sound. */
  readonly isWrite: boolean;
  /** When it is given up. */
  readonly until: number;
}

/** Connections to one endpoint and who waits for them. */
export interface PoolState {
  readonly limits: PoolLimits;
  /** Connections to keep open: this instance's share. */
  readonly size: number;
  /** The last used first. */
  readonly connections: readonly PooledConnection[];
  /** Connections that are being opened. */
  readonly opening: number;
  /** The first to be served first. */
  readonly waiting: readonly PoolRequest[];
  /** Attempts that failed since the last that did not. */
  readonly failures: number;
  /** No connection is opened before this time. */
  readonly retryAt: number;
}

/** What can happen to a pool. */
export type PoolEvent =
  | {readonly type: 'wanted'; readonly req: PoolRequest}
  | {readonly type: 'opened'; readonly id: number}
  | {readonly type: 'notOpened'}
  | {
      readonly type: 'given';
      readonly id: number;
      /** What its last request left: nothing, state, or a broken stream. */
      readonly left: 'sound' | 'state' | 'broken';
      readonly heardAt: number;
    }
  /** An answer to a check or a reset came, or did not come in time. */
  | {readonly type: 'checked'; readonly id: number; readonly sound: boolean}
  | {readonly type: 'closed'; readonly id: number}
  /** A request got no answer: other connections may be silent too. */
  | {readonly type: 'suspected'}
  | {readonly type: 'resized'; readonly size: number}
  | {readonly type: 'tick'};

/** What is to be done after an event. */
export type PoolEffect =
  | {readonly type: 'open'}
  | {readonly type: 'lend'; readonly req: number; readonly id: number}
  | {readonly type: 'fail'; readonly req: number}
  | {readonly type: 'check'; readonly id: number}
  | {readonly type: 'reset'; readonly id: number}
  | {readonly type: 'close'; readonly id: number};

/** A state and what is to be done on the way to it. */
export interface PoolResult {
  readonly state: PoolState;
  readonly effects: readonly PoolEffect[];
}

/** A pool with nothing open. */
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

/** The next state of a pool. */
export function stepPool(
  state: PoolState,
  event: PoolEvent,
  now: number,
): PoolResult {
  const effects: PoolEffect[] = [];
  let next = take(state, event, now, effects);
  next = giveUp(next, now, effects);
  next = lendAll(next, now, effects);
  next = checkIdle(next, now, effects);
  next = shrink(next, effects);
  next = openMissing(next, now, effects);
  return {state: next, effects};
}

function take(
  state: PoolState,
  event: PoolEvent,
  now: number,
  effects: PoolEffect[],
): PoolState {
  switch (event.type) {
    case 'wanted':
      return {...state, waiting: [...state.waiting, event.req]};
    case 'opened': {
      const fresh = {id: event.id, use: Use.Idle, soundAt: now};
      return {
        ...state,
        opening: state.opening - 1,
        failures: 0,
        retryAt: -Infinity,
        connections: [fresh, ...state.connections],
      };
    }
    case 'notOpened':
      return backOff(state, now);
    case 'given':
      return takeBack(state, event, effects);
    case 'checked': {
      if (event.sound) {
        return withUse(state, event.id, {use: Use.Idle, soundAt: now});
      }
      if (!find(state, event.id)) return state;
      effects.push({type: 'close', id: event.id});
      // One silent connection makes the others doubtful.
      return doubted(without(state, event.id));
    }
    case 'closed':
      return without(state, event.id);
    case 'suspected':
      return doubted(state);
    case 'resized':
      return {...state, size: event.size};
    case 'tick':
      return state;
  }
}

function backOff(state: PoolState, now: number): PoolState {
  const {retryMs, maxRetryMs} = state.limits;
  const pauseMs = Math.min(maxRetryMs, retryMs * 2 ** state.failures);
  return {
    ...state,
    opening: state.opening - 1,
    failures: state.failures + 1,
    retryAt: now + pauseMs,
  };
}

function takeBack(
  state: PoolState,
  event: Extract<PoolEvent, {type: 'given'}>,
  effects: PoolEffect[],
): PoolState {
  const {id, left, heardAt} = event;
  if (!find(state, id)) return state;
  if (left === 'broken') {
    effects.push({type: 'close', id});
    return without(state, id);
  }
  const rest = without(state, id).connections;
  const use = left === 'state' ? Use.Resetting : Use.Idle;
  if (left === 'state') effects.push({type: 'reset', id});
  const back = {id, use, soundAt: heardAt};
  return {...state, connections: [back, ...rest]};
}

/**
 * Fails requests that have waited for too long, and reads at once while the
 * endpoint takes no connection: they can go elsewhere, a write can't.
 */
function giveUp(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  const isShut = state.connections.length === 0 && state.failures > 0;
  const waiting: PoolRequest[] = [];
  for (const req of state.waiting) {
    if (now < req.until && (req.isWrite || !isShut)) waiting.push(req);
    else effects.push({type: 'fail', req: req.id});
  }
  return waiting.length === state.waiting.length ? state : {...state, waiting};
}

/** Lends to those who wait; doubtful connections are checked first. */
function lendAll(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  let current = state;
  for (const req of state.waiting) {
    const idle = current.connections.filter(({use}) => use === Use.Idle);
    if (idle.length === 0) break;
    const sound = idle.find(item => isSound(item, req, state.limits, now));
    if (sound) {
      effects.push({type: 'lend', req: req.id, id: sound.id});
      current = withUse(current, sound.id, {use: Use.Lent});
      const waiting = current.waiting.filter(other => other !== req);
      current = {...current, waiting};
      continue;
    }
    effects.push({type: 'check', id: idle[0]!.id});
    current = withUse(current, idle[0]!.id, {use: Use.Checking});
  }
  return current;
}

function isSound(
  {soundAt}: PooledConnection,
  req: PoolRequest,
  limits: PoolLimits,
  now: number,
): boolean {
  if (!req.isWrite) return soundAt > -Infinity;
  return now - soundAt < limits.checkBeforeWriteMs;
}

/** Checks idle connections off the path of requests. */
function checkIdle(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  let current = state;
  for (const {id, use, soundAt} of state.connections) {
    if (use !== Use.Idle || now - soundAt < state.limits.checkIdleMs) continue;
    effects.push({type: 'check', id});
    current = withUse(current, id, {use: Use.Checking});
  }
  return current;
}

/** Closes idle connections beyond the share; others as they come back. */
function shrink(state: PoolState, effects: PoolEffect[]): PoolState {
  let current = state;
  for (const {id, use} of [...state.connections].reverse()) {
    if (current.connections.length + current.opening <= state.size) break;
    if (use !== Use.Idle) continue;
    effects.push({type: 'close', id});
    current = without(current, id);
  }
  return current;
}

/** Keeps the whole share open, ahead of need. */
function openMissing(
  state: PoolState,
  now: number,
  effects: PoolEffect[],
): PoolState {
  if (now < state.retryAt) return state;
  const missing = state.size - state.connections.length - state.opening;
  // After a failure one attempt is enough to learn whether it has passed.
  const most = state.failures > 0 ? 1 - state.opening : missing;
  const count = Math.max(0, Math.min(missing, most));
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

function withUse(
  state: PoolState,
  id: number,
  change: Partial<PooledConnection>,
): PoolState {
  const connections = state.connections.map(item =>
    item.id === id ? {...item, ...change} : item,
  );
  return {...state, connections};
}

function doubted(state: PoolState): PoolState {
  const connections = state.connections.map(item =>
    item.use === Use.Idle ? {...item, soundAt: -Infinity} : item,
  );
  return {...state, connections};
}
