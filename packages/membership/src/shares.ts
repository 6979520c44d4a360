/**
 * Divides the connections of each endpoint among the live members, and lends
 * unused connections of one member to another whose requests wait. A smaller
 * share applies at once. A larger one applies only after `growthDelayMs`, when
 * the other members have learned of the change and reduced theirs, so that the
 * sum stays within the limit of the endpoint. The functions are pure: they use
 * no clock, socket or log.
 */

/** Hash function for strings that gives the same result on every instance. */
export type StringHash = (text: string) => number;

/** An endpoint and its connection limit. */
export interface SharedEndpoint {
  readonly name: string;
  /** Maximum number of connections from all instances together. */
  readonly connections: number;
}

/** Delays and intervals of connection shares, in milliseconds. */
export interface ShareLimits {
  /** Delay before a larger share applies. */
  readonly growthDelayMs: number;
  /** Duration of a loan; the lender counts it from the grant. */
  readonly loanDurationMs: number;
  /** Minimum interval between two loan requests for the same endpoint. */
  readonly loanRequestIntervalMs: number;
}

/** A number of connections lent or borrowed until a time. */
export interface Loan {
  readonly endpoint: string;
  readonly count: number;
  readonly until: number;
}

/** The share of this instance in one endpoint. */
export interface EndpointShare {
  readonly endpoint: SharedEndpoint;
  /** Share that applies now, in connections. */
  readonly held: number;
  /** Share that follows from the currently known members, in connections. */
  readonly target: number;
  /** Time since which `target` is larger than `held`. */
  readonly growthPendingSince: number | undefined;
  /** Number of connections in use. */
  readonly busy: number;
  /** Number of requests that wait for a connection. */
  readonly waiting: number;
  /** Time of the last loan request; -Infinity before the first. */
  readonly loanRequestedAt: number;
}

/** All connection shares of one instance. */
export interface ShareState {
  readonly self: string;
  readonly limits: ShareLimits;
  /**
   * Fleet size from the settings: minimum divisor for the share of a new
   * endpoint, and the divisor while no peer is known.
   */
  readonly expectedInstances: number;
  readonly members: readonly string[];
  readonly shares: ReadonlyMap<string, EndpointShare>;
  readonly lent: readonly Loan[];
  readonly borrowed: readonly Loan[];
}

/** Input of the state machine. */
export type ShareEvent =
  | {readonly type: 'members'; readonly ids: readonly string[]}
  | {readonly type: 'endpoints'; readonly list: readonly SharedEndpoint[]}
  /** The number of connections in use or of waiting requests changed. */
  | {
      readonly type: 'use';
      readonly endpoint: string;
      readonly busy: number;
      readonly waiting: number;
    }
  /** A peer requests a loan. */
  | {
      readonly type: 'wanted';
      readonly from: string;
      readonly endpoint: string;
      readonly count: number;
    }
  /** A peer granted the loan that this instance requested. */
  | {
      readonly type: 'granted';
      readonly endpoint: string;
      readonly count: number;
    }
  | {readonly type: 'tick'};

/** Actions for the caller of `stepShares`. */
export type ShareEffect =
  /** Set the maximum number of open connections to an endpoint. */
  | {
      readonly type: 'allowed';
      readonly endpoint: string;
      readonly connections: number;
    }
  /** Request a loan from a few peers. */
  | {
      readonly type: 'want';
      readonly endpoint: string;
      readonly count: number;
    }
  /** Grant a loan to the peer `to`. */
  | {
      readonly type: 'grant';
      readonly to: string;
      readonly endpoint: string;
      readonly count: number;
    };

/** The new state and the actions that the event requires. */
export interface ShareResult {
  readonly state: ShareState;
  readonly effects: readonly ShareEffect[];
}

/**
 * The initial state, with no endpoints and this instance as the only member.
 */
export function initialShares(
  self: string,
  expectedInstances: number,
  limits: ShareLimits,
): ShareState {
  return {
    self,
    limits,
    expectedInstances,
    members: [self],
    shares: new Map(),
    lent: [],
    borrowed: [],
  };
}

/**
 * The share of `self` in an endpoint, in connections. The limit is divided
 * equally; the remainder goes one by one to the members with the highest
 * rendezvous hash.
 */
export function shareOf(
  endpoint: SharedEndpoint,
  members: readonly string[],
  self: string,
  hash: StringHash,
): number {
  const count = Math.max(1, members.length);
  const equalPart = Math.floor(endpoint.connections / count);
  const remainder = endpoint.connections % count;
  const ownWeight = hash(`${endpoint.name}/${self}`);
  let rankedHigher = 0;
  for (const member of members) {
    const weight = hash(`${endpoint.name}/${member}`);
    if (weight > ownWeight || (weight === ownWeight && member < self))
      rankedHigher++;
  }
  return equalPart + (rankedHigher < remainder ? 1 : 0);
}

/**
 * The share that follows from the known members. An instance that knows no peer
 * may be partitioned from the fleet, so it divides by the fleet size from the
 * settings.
 */
function targetOf(
  state: ShareState,
  endpoint: SharedEndpoint,
  hash: StringHash,
): number {
  const {members, self, expectedInstances} = state;
  if (members.length > 1) return shareOf(endpoint, members, self, hash);
  return Math.max(1, Math.floor(endpoint.connections / expectedInstances));
}

/**
 * Number of connections that this instance may have open to an endpoint now.
 */
export function allowedConnections(
  state: ShareState,
  endpoint: string,
): number {
  const held = state.shares.get(endpoint)?.held ?? 0;
  const lent = sumLoans(state.lent, endpoint);
  return Math.max(0, held - lent + sumLoans(state.borrowed, endpoint));
}

function sumLoans(loans: readonly Loan[], endpoint: string): number {
  let sum = 0;
  for (const loan of loans) if (loan.endpoint === endpoint) sum += loan.count;
  return sum;
}

/** Processes one event. `now` is monotonic time in milliseconds. */
export function stepShares(
  state: ShareState,
  event: ShareEvent,
  now: number,
  hash: StringHash,
): ShareResult {
  switch (event.type) {
    case 'members':
      return withAllowedEffects(
        state,
        updateTargets({...state, members: event.ids}, now, hash),
      );
    case 'endpoints':
      return withAllowedEffects(
        state,
        setEndpoints(state, event.list, now, hash),
      );
    case 'use':
      return handleUse(state, event, now);
    case 'wanted':
      return handleLoanRequest(state, event, now);
    case 'granted':
      return withAllowedEffects(state, handleGrant(state, event, now));
    case 'tick':
      return withAllowedEffects(state, applyTimeouts(state, now));
  }
}

/**
 * Adds an `allowed` effect for each endpoint whose number of allowed
 * connections changed.
 */
function withAllowedEffects(
  before: ShareState,
  state: ShareState,
): ShareResult {
  const effects: ShareEffect[] = [];
  for (const endpoint of state.shares.keys()) {
    const connections = allowedConnections(state, endpoint);
    const isNew = !before.shares.has(endpoint);
    if (!isNew && connections === allowedConnections(before, endpoint))
      continue;
    effects.push({type: 'allowed', endpoint, connections});
  }
  return {state, effects};
}

function setEndpoints(
  state: ShareState,
  list: readonly SharedEndpoint[],
  now: number,
  hash: StringHash,
): ShareState {
  const shares = new Map<string, EndpointShare>();
  for (const endpoint of list) {
    const target = targetOf(state, endpoint, hash);
    const known = state.shares.get(endpoint.name);
    const fleetSize = Math.max(state.expectedInstances, state.members.length);
    const initialShare = Math.floor(endpoint.connections / fleetSize);
    shares.set(endpoint.name, {
      endpoint,
      held: known?.held ?? Math.max(1, initialShare),
      target,
      growthPendingSince: known?.growthPendingSince,
      busy: known?.busy ?? 0,
      waiting: known?.waiting ?? 0,
      loanRequestedAt: known?.loanRequestedAt ?? -Infinity,
    });
  }
  return updateTargets({...state, shares}, now, hash);
}

/**
 * Applies smaller shares immediately, and starts the delay after which larger ones
 * are applied.
 */
function updateTargets(
  state: ShareState,
  now: number,
  hash: StringHash,
): ShareState {
  const shares = new Map<string, EndpointShare>();
  for (const [name, share] of state.shares) {
    const target = targetOf(state, share.endpoint, hash);
    const held = Math.min(share.held, target);
    // Each change of the target restarts the delay, because peers may not have
    // learned of the latest change yet.
    const isSame =
      target === share.target && share.growthPendingSince !== undefined;
    const since = isSame ? share.growthPendingSince : now;
    const growthPendingSince = target > held ? since : undefined;
    shares.set(name, {...share, held, target, growthPendingSince});
  }
  return {...state, shares};
}

/**
 * Applies larger shares after their growth delay, and removes expired loans.
 */
function applyTimeouts(state: ShareState, now: number): ShareState {
  const lent = state.lent.filter(loan => loan.until > now);
  const borrowed = state.borrowed.filter(loan => loan.until > now);
  const shares = new Map(state.shares);
  for (const [name, share] of shares) {
    const {growthPendingSince, target} = share;
    if (growthPendingSince === undefined) continue;
    if (now - growthPendingSince < state.limits.growthDelayMs) continue;
    shares.set(name, {...share, held: target, growthPendingSince: undefined});
  }
  return {...state, shares, lent, borrowed};
}

/** Requests a loan if requests wait and all allowed connections are in use. */
function handleUse(
  state: ShareState,
  event: Extract<ShareEvent, {type: 'use'}>,
  now: number,
): ShareResult {
  const {endpoint, busy, waiting} = event;
  const share = state.shares.get(endpoint);
  if (!share) return {state, effects: []};
  const isExhausted =
    waiting > 0 && busy >= allowedConnections(state, endpoint);
  const requestsLoan =
    isExhausted &&
    now - share.loanRequestedAt >= state.limits.loanRequestIntervalMs;
  const loanRequestedAt = requestsLoan ? now : share.loanRequestedAt;
  const shares = new Map(state.shares);
  shares.set(endpoint, {...share, busy, waiting, loanRequestedAt});
  const want = {type: 'want', endpoint, count: 1} as const;
  return {state: {...state, shares}, effects: requestsLoan ? [want] : []};
}

/** Lends unused connections, unless requests wait on this instance too. */
function handleLoanRequest(
  state: ShareState,
  event: Extract<ShareEvent, {type: 'wanted'}>,
  now: number,
): ShareResult {
  const {endpoint, from: to} = event;
  const share = state.shares.get(endpoint);
  if (!share || share.waiting > 0) return {state, effects: []};
  const unlent = share.held - sumLoans(state.lent, endpoint);
  const count = Math.min(event.count, unlent - share.busy);
  if (count <= 0) return {state, effects: []};
  const until = now + state.limits.loanDurationMs;
  const lent = [...state.lent, {endpoint, count, until}];
  const result = withAllowedEffects(state, {...state, lent});
  const grant = {type: 'grant', to, endpoint, count} as const;
  return {state: result.state, effects: [...result.effects, grant]};
}

/**
 * Adds a granted loan. Its duration counts from the loan request, so that it
 * ends for the borrower before it ends for the lender.
 */
function handleGrant(
  state: ShareState,
  event: Extract<ShareEvent, {type: 'granted'}>,
  now: number,
): ShareState {
  const {endpoint, count} = event;
  const loanRequestedAt = state.shares.get(endpoint)?.loanRequestedAt;
  if (loanRequestedAt === undefined) return state;
  const until = loanRequestedAt + state.limits.loanDurationMs;
  if (until <= now) return state;
  return {...state, borrowed: [...state.borrowed, {endpoint, count, until}]};
}
