/**
 * Model of the tokens of one account with one owner at a time. An owner grants
 * tokens to a borrower, which may be suspended; the owner may die and start
 * again, be cut off from the other instances, leave, or be replaced by an
 * instance that joins. Time is counted in ticks; a bucket gets one token a tick.
 */
import type {ModelStep} from './search.js';

/**
 * Rules that can be disabled, to check that an invariant then breaks. Each text
 * says what happens without the rule.
 */
export const GrantOmission = {
  Expiry: 'tokens are spent after their time',
  Suspension: 'tokens outlive a suspension',
  Outstanding: 'the bucket fills up beside outstanding tokens',
  EmptyStart: 'an owner starts with a full bucket',
  StartDelay: 'a new bucket fills while tokens of an earlier one are valid',
  Confirmation: 'a joining owner waits for no confirmation',
  Wait: 'a successor does not wait for a silent owner',
  Listed: 'an owner grants though no instance lists it',
  Leaving: 'an owner grants after it has left',
} as const;

/** One of the values of `GrantOmission`. */
export type GrantOmission = (typeof GrantOmission)[keyof typeof GrantOmission];

/** Bounds of the search. */
export interface GrantBounds {
  readonly ticks: number;
  readonly omit?: GrantOmission;
}

/** Invariants, by the texts that are printed when one is broken. */
export const GRANT_INVARIANTS = {
  Window: 'more operations start in a window than its refills and one burst',
} as const;

const BURST = 2;
const WINDOW_TICKS = 2;
const MAX_STARTS = BURST + WINDOW_TICKS - 1;
/** A token is valid in this many ticks after the one in which it was asked for. */
const TOKEN_TICKS = 1;
/** How long an owner grants after most instances listed it. */
const LISTED_TICKS = 1;
/** When a successor replaces an owner that does not confirm. */
const TAKEOVER_TICKS = 2;
const MAX_SUSPENSIONS = 1;
/** Stands for a time that has not come. */
const NEVER = 99;

interface Owner {
  readonly isActive: boolean;
  readonly level: number;
  /** The last tick of each granted token that may still be spent. */
  readonly outstanding: readonly number[];
  /** The last tick without a refill. */
  readonly fillsAfter: number;
}

interface Tokens {
  /** By the borrower's clock, which a suspension stops. */
  readonly askedAt: number;
  readonly suspensions: number;
  readonly count: number;
}

interface Request extends Tokens {
  readonly owner: number;
  /** Whether `count` was granted and the answer is on its way. */
  readonly isGranted: boolean;
}

/** A state of the model. Owner 1 is to replace owner 0. */
export interface GrantState {
  readonly now: number;
  readonly suspensions: number;
  readonly owners: readonly Owner[];
  /** What has happened to owner 0, once. */
  readonly event: '' | 'joined' | 'died' | 'restarted' | 'cut' | 'left';
  readonly eventAt: number;
  readonly request: Request | null;
  readonly held: readonly Tokens[];
  /** Operations that started in each tick of the window, the last first. */
  readonly starts: readonly number[];
  readonly broken: string | null;
}

/** The initial state: owner 0 has a full bucket. */
export function initialGrantState(): GrantState {
  const owner = {outstanding: [], fillsAfter: -1};
  return {
    now: 0,
    suspensions: 0,
    owners: [
      {...owner, isActive: true, level: BURST},
      {...owner, isActive: false, level: 0},
    ],
    event: '',
    eventAt: NEVER,
    request: null,
    held: [],
    starts: new Array<number>(WINDOW_TICKS).fill(0),
    broken: null,
  };
}

/** The borrower's clock: each suspension stops it for a tick. */
function clockOf({now, suspensions}: GrantState): number {
  return now - suspensions;
}

function isValid(
  state: GrantState,
  {askedAt, suspensions}: Tokens,
  {omit}: GrantBounds,
): boolean {
  if (omit !== GrantOmission.Suspension && suspensions < state.suspensions)
    return false;
  if (omit === GrantOmission.Expiry) return true;
  return clockOf(state) - askedAt <= TOKEN_TICKS;
}

function withOwner(
  state: GrantState,
  i: number,
  change: Partial<Owner>,
): GrantState {
  const owners = state.owners.map((owner, at) =>
    at === i ? {...owner, ...change} : owner,
  );
  return {...state, owners};
}

/** Starts a bucket, for an owner that may follow another. */
function activate(
  state: GrantState,
  i: number,
  {omit}: GrantBounds,
): GrantState {
  const delay = omit === GrantOmission.StartDelay ? -1 : TOKEN_TICKS;
  return withOwner(state, i, {
    isActive: true,
    level: omit === GrantOmission.EmptyStart ? BURST : 0,
    outstanding: [],
    fillsAfter: state.now + delay,
  });
}

function mayGrant(state: GrantState, i: number, {omit}: GrantBounds): boolean {
  const {isActive} = state.owners[i]!;
  if (i === 0 && state.event === 'left' && omit === GrantOmission.Leaving)
    return true;
  if (!isActive) return false;
  const isCut = i === 0 && state.event === 'cut';
  if (!isCut || omit === GrantOmission.Listed) return true;
  return state.now - state.eventAt <= LISTED_TICKS;
}

function grant(state: GrantState): GrantState {
  const request = state.request!;
  const {level, outstanding} = state.owners[request.owner]!;
  const until = state.now + TOKEN_TICKS;
  const granted = new Array<number>(level).fill(until);
  return withOwner(
    {...state, request: {...request, isGranted: true, count: level}},
    request.owner,
    {level: 0, outstanding: [...outstanding, ...granted]},
  );
}

/** Starts one operation with a held token. */
function spend(state: GrantState, tokens: Tokens): GrantState {
  const held = state.held
    .map(item => (item === tokens ? {...item, count: item.count - 1} : item))
    .filter(({count}) => count > 0);
  const [current, ...earlier] = state.starts;
  const starts = [current! + 1, ...earlier];
  const total = starts.reduce((sum, count) => sum + count, 0);
  const broken = total > MAX_STARTS ? GRANT_INVARIANTS.Window : null;
  return {...state, held, starts, broken};
}

function refill(owner: Owner, now: number, {omit}: GrantBounds): Owner {
  const outstanding = owner.outstanding.filter(until => until >= now);
  const counted = omit === GrantOmission.Outstanding ? 0 : outstanding.length;
  const added = now > owner.fillsAfter ? 1 : 0;
  const level = Math.min(owner.level + added, Math.max(0, BURST - counted));
  return {...owner, outstanding, level};
}

function passTime(
  state: GrantState,
  suspensions: number,
  bounds: GrantBounds,
): GrantState {
  const now = state.now + 1;
  const owners = state.owners.map(owner => refill(owner, now, bounds));
  const starts = [0, ...state.starts.slice(0, -1)];
  const next = {...state, now, suspensions, owners, starts};
  const held = state.held.filter(tokens => isValid(next, tokens, bounds));
  return {...next, held};
}

function borrowerSteps(
  state: GrantState,
  bounds: GrantBounds,
): Array<ModelStep<GrantState>> {
  const steps: Array<ModelStep<GrantState>> = [];
  const {request, suspensions} = state;
  for (const owner of request ? [] : [0, 1]) {
    const askedAt = clockOf(state);
    const asked = {askedAt, suspensions, count: 0, owner, isGranted: false};
    const next = {...state, request: asked};
    steps.push({name: `owner ${owner} is asked`, state: next});
  }
  if (request && !request.isGranted) {
    const isGranting = mayGrant(state, request.owner, bounds);
    if (isGranting && state.owners[request.owner]!.level > 0)
      steps.push({name: 'the owner grants', state: grant(state)});
    // Losing an answer has no other effect than a late one.
    steps.push({name: 'the request is lost', state: {...state, request: null}});
  }
  if (request?.isGranted) {
    const {askedAt, count} = request;
    const tokens = {askedAt, suspensions: request.suspensions, count};
    const held = isValid(state, tokens, bounds)
      ? [...state.held, tokens]
      : state.held;
    steps.push({
      name: 'the tokens arrive',
      state: {...state, request: null, held},
    });
  }
  for (const tokens of state.held) {
    if (isValid(state, tokens, bounds))
      steps.push({name: 'an operation starts', state: spend(state, tokens)});
  }
  return steps;
}

function ownerSteps(
  state: GrantState,
  bounds: GrantBounds,
): Array<ModelStep<GrantState>> {
  const {omit} = bounds;
  const {event, eventAt, now} = state;
  const steps: Array<ModelStep<GrantState>> = [];
  const add = (name: string, next: GrantState) =>
    steps.push({name, state: next});
  const stopped = withOwner(state, 0, {isActive: false});
  if (event === '') {
    add('owner 0 dies', {...stopped, event: 'died', eventAt: now});
    add('owner 0 leaves', {...stopped, event: 'left', eventAt: now});
    add('owner 0 is cut off', {...state, event: 'cut', eventAt: now});
    add('owner 1 joins', {...state, event: 'joined', eventAt: now});
  }
  if (event === 'died' && !state.owners[1]!.isActive) {
    const restarted = {...state, event: 'restarted'} as const;
    add('owner 0 starts again', activate(restarted, 0, bounds));
  }
  if (state.owners[1]!.isActive || event === '' || event === 'restarted')
    return steps;
  if (event === 'joined') {
    add('owner 0 confirms', activate(stopped, 1, bounds));
    if (omit === GrantOmission.Confirmation)
      add('owner 1 starts to grant', activate(state, 1, bounds));
    return steps;
  }
  const isOver = now - eventAt >= TAKEOVER_TICKS;
  if (event === 'left' || isOver || omit === GrantOmission.Wait)
    add('owner 1 takes over', activate(state, 1, bounds));
  return steps;
}

/** Lists every step possible in a state. */
export function grantSteps(
  state: GrantState,
  bounds: GrantBounds,
): Array<ModelStep<GrantState>> {
  const steps = [...borrowerSteps(state, bounds), ...ownerSteps(state, bounds)];
  if (state.now >= bounds.ticks) return steps;
  const {suspensions} = state;
  steps.push({
    name: 'time passes',
    state: passTime(state, suspensions, bounds),
  });
  if (suspensions < MAX_SUSPENSIONS)
    steps.push({
      name: 'the borrower is suspended',
      state: passTime(state, suspensions + 1, bounds),
    });
  return steps;
}
