/**
 * Divides the connections of each endpoint among the live members, and lends
 * what one member does not use to another that waits. A smaller share holds
 * at once, a larger one only after `settleMs`, when the others have learned of
 * it too; so the sum stays under the endpoint's limit. No clock, socket or
 * log is used here.
 */

/** Hash of a text, the same on every instance. */
export type StringHash = (text: string) => number;

/** An endpoint's limit. */
export interface SharedEndpoint {
  readonly name: string;
  /** Connections that it accepts from all instances together. */
  readonly connections: number;
}

/** Times of the shares, in milliseconds. */
export interface ShareLimits {
  /** Wait before a larger share is used. */
  readonly growthDelayMs: number;
  /** Time that a loan holds, counted by the lender from its grant. */
  readonly loanDurationMs: number;
  /** Wait between two questions for the same endpoint. */
  readonly loanRequestIntervalMs: number;
}

/** Connections lent or borrowed. */
export interface Loan {
  readonly endpoint: string;
  readonly count: number;
  readonly until: number;
}

/** One endpoint as this instance uses it. */
export interface EndpointShare {
  readonly endpoint: SharedEndpoint;
  /** Share in use. */
  readonly held: number;
  /** Share by the members known now. */
  readonly target: number;
  /** Since when the target is larger than what is held. */
  readonly growthPendingSince: number | undefined;
  /** Connections in use. */
  readonly busy: number;
  /** Requests that wait for one. */
  readonly waiting: number;
  readonly loanRequestedAt: number;
}

/** All shares of one instance. */
export interface ShareState {
  readonly self: string;
  readonly limits: ShareLimits;
  /** Size of the fleet by settings, for the share of a new endpoint. */
  readonly expectedInstances: number;
  readonly members: readonly string[];
  readonly shares: ReadonlyMap<string, EndpointShare>;
  readonly lent: readonly Loan[];
  readonly borrowed: readonly Loan[];
}

/** What can happen. */
export type ShareEvent =
  | {readonly type: 'members'; readonly ids: readonly string[]}
  | {readonly type: 'endpoints'; readonly list: readonly SharedEndpoint[]}
  | {
      readonly type: 'use';
      readonly endpoint: string;
      readonly busy: number;
      readonly waiting: number;
    }
  | {
      readonly type: 'wanted';
      readonly from: string;
      readonly endpoint: string;
      readonly count: number;
    }
  | {
      readonly type: 'granted';
      readonly endpoint: string;
      readonly count: number;
    }
  | {readonly type: 'tick'};

/** What is to be done. */
export type ShareEffect =
  /** Connections that may be open from now on. */
  | {
      readonly type: 'allowed';
      readonly endpoint: string;
      readonly connections: number;
    }
  | {
      readonly type: 'want';
      readonly endpoint: string;
      readonly count: number;
    }
  | {
      readonly type: 'grant';
      readonly to: string;
      readonly endpoint: string;
      readonly count: number;
    };

/** A state and what is to be done on the way to it. */
export interface ShareResult {
  readonly state: ShareState;
  readonly effects: readonly ShareEffect[];
}

/** No endpoints, and no members but this instance. */
export function initialShares(
  self: string,
  expected: number,
  limits: ShareLimits,
): ShareState {
  return {
    self,
    limits,
    expectedInstances: expected,
    members: [self],
    shares: new Map(),
    lent: [],
    borrowed: [],
  };
}

/**
 * The share of `self` in an endpoint: an equal part, and one more for those
 * whom rendezvous hashing ranks first, as many as the remainder.
 */
export function shareOf(
  endpoint: SharedEndpoint,
  members: readonly string[],
  self: string,
  hash: StringHash,
): number {
  const count = Math.max(1, members.length);
  const part = Math.floor(endpoint.connections / count);
  const remainder = endpoint.connections % count;
  const own = hash(`${endpoint.name}/${self}`);
  let ahead = 0;
  for (const member of members) {
    const weight = hash(`${endpoint.name}/${member}`);
    if (weight > own || (weight === own && member < self)) ahead++;
  }
  return part + (ahead < remainder ? 1 : 0);
}

/**
 * The share by what is known now. An instance that knows no other may be cut
 * off, so it keeps to the size of the fleet by settings.
 */
function targetOf(
  state: ShareState,
  endpoint: SharedEndpoint,
  hash: StringHash,
): number {
  const {members, self, expectedInstances: expected} = state;
  if (members.length > 1) return shareOf(endpoint, members, self, hash);
  return Math.max(1, Math.floor(endpoint.connections / expected));
}

/** Connections that this instance may have open on an endpoint now. */
export function allowedConnections(
  state: ShareState,
  endpoint: string,
): number {
  const held = state.shares.get(endpoint)?.held ?? 0;
  const lent = sumOf(state.lent, endpoint);
  return Math.max(0, held - lent + sumOf(state.borrowed, endpoint));
}

function sumOf(loans: readonly Loan[], endpoint: string): number {
  let sum = 0;
  for (const loan of loans) if (loan.endpoint === endpoint) sum += loan.count;
  return sum;
}

/** The next state. `now` is monotonic milliseconds. */
export function stepShares(
  state: ShareState,
  event: ShareEvent,
  now: number,
  hash: StringHash,
): ShareResult {
  switch (event.type) {
    case 'members':
      return told(state, retarget({...state, members: event.ids}, now, hash));
    case 'endpoints':
      return told(state, configured(state, event.list, now, hash));
    case 'use':
      return used(state, event, now);
    case 'wanted':
      return wanted(state, event, now);
    case 'granted':
      return told(state, granted(state, event, now));
    case 'tick':
      return told(state, expired(state, now));
  }
}

/** Tells what has become of each endpoint's limit. */
function told(before: ShareState, state: ShareState): ShareResult {
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

function configured(
  state: ShareState,
  list: readonly SharedEndpoint[],
  now: number,
  hash: StringHash,
): ShareState {
  const shares = new Map<string, EndpointShare>();
  for (const endpoint of list) {
    const target = targetOf(state, endpoint, hash);
    const known = state.shares.get(endpoint.name);
    const size = Math.max(state.expectedInstances, state.members.length);
    const atStart = Math.floor(endpoint.connections / size);
    shares.set(endpoint.name, {
      endpoint,
      held: known?.held ?? Math.max(1, atStart),
      target,
      growthPendingSince: known?.growthPendingSince,
      busy: known?.busy ?? 0,
      waiting: known?.waiting ?? 0,
      loanRequestedAt: known?.loanRequestedAt ?? -Infinity,
    });
  }
  return retarget({...state, shares}, now, hash);
}

/** Shrinks shares at once, and notes since when others could grow. */
function retarget(
  state: ShareState,
  now: number,
  hash: StringHash,
): ShareState {
  const shares = new Map<string, EndpointShare>();
  for (const [name, share] of state.shares) {
    const target = targetOf(state, share.endpoint, hash);
    const held = Math.min(share.held, target);
    // The wait begins anew with each change: others may know less than this.
    const isSame =
      target === share.target && share.growthPendingSince !== undefined;
    const since = isSame ? share.growthPendingSince : now;
    const largerSince = target > held ? since : undefined;
    shares.set(name, {...share, held, target, growthPendingSince: largerSince});
  }
  return {...state, shares};
}

/** Lets shares grow whose wait is over, and drops loans that ran out. */
function expired(state: ShareState, now: number): ShareState {
  const lent = state.lent.filter(loan => loan.until > now);
  const borrowed = state.borrowed.filter(loan => loan.until > now);
  const shares = new Map(state.shares);
  for (const [name, share] of shares) {
    const {growthPendingSince: largerSince, target} = share;
    if (largerSince === undefined) continue;
    if (now - largerSince < state.limits.growthDelayMs) continue;
    shares.set(name, {...share, held: target, growthPendingSince: undefined});
  }
  return {...state, shares, lent, borrowed};
}

/** Asks others when requests wait and every allowed connection is in use. */
function used(
  state: ShareState,
  event: Extract<ShareEvent, {type: 'use'}>,
  now: number,
): ShareResult {
  const {endpoint, busy, waiting} = event;
  const share = state.shares.get(endpoint);
  if (!share) return {state, effects: []};
  const isShort = waiting > 0 && busy >= allowedConnections(state, endpoint);
  const asks =
    isShort &&
    now - share.loanRequestedAt >= state.limits.loanRequestIntervalMs;
  const askedAt = asks ? now : share.loanRequestedAt;
  const shares = new Map(state.shares);
  shares.set(endpoint, {...share, busy, waiting, loanRequestedAt: askedAt});
  const want = {type: 'want', endpoint, count: 1} as const;
  return {state: {...state, shares}, effects: asks ? [want] : []};
}

/** Lends what is not in use, unless requests wait here too. */
function wanted(
  state: ShareState,
  event: Extract<ShareEvent, {type: 'wanted'}>,
  now: number,
): ShareResult {
  const {endpoint, from: to} = event;
  const share = state.shares.get(endpoint);
  if (!share || share.waiting > 0) return {state, effects: []};
  const own = share.held - sumOf(state.lent, endpoint);
  const count = Math.min(event.count, own - share.busy);
  if (count <= 0) return {state, effects: []};
  const until = now + state.limits.loanDurationMs;
  const lent = [...state.lent, {endpoint, count, until}];
  const result = told(state, {...state, lent});
  const grant = {type: 'grant', to, endpoint, count} as const;
  return {state: result.state, effects: [...result.effects, grant]};
}

/** Uses a loan, counted from the question so that it ends before the lender's. */
function granted(
  state: ShareState,
  event: Extract<ShareEvent, {type: 'granted'}>,
  now: number,
): ShareState {
  const {endpoint, count} = event;
  const askedAt = state.shares.get(endpoint)?.loanRequestedAt;
  if (askedAt === undefined) return state;
  const until = askedAt + state.limits.loanDurationMs;
  if (until <= now) return state;
  return {...state, borrowed: [...state.borrowed, {endpoint, count, until}]};
}
