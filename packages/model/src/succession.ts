/**
 * Model of an unplanned change of primary in a group whose acknowledged commits
 * must be kept. One instance changes the primary, another one uses the old primary
 * until it is told to stop. Endpoints fall behind, can't be asked, are too busy to
 * say how far their logs reach, lose their entries or leave; another change may
 * have taken effect unknown to the instance. Who is chosen is decided by the
 * production code.
 */
import {
  type Member,
  type Succession,
  Told,
  chooseSuccessor,
} from '@quetzalreel/failover';
import {
  EMPTY_LOG_POSITION,
  type Position,
  comparePositions,
  isAtLeast,
} from '@quetzalreel/position';
import type {ModelStep} from './search.js';

/**
 * Rules that can be disabled, to check that an invariant then breaks. Each text
 * says what happens without the rule.
 */
export const SuccessionOmission = {
  Quorum: 'the most advanced of those that were heard leads, however few',
  Busy: 'a busy endpoint counts by what it is known to have applied',
  Lapsed: 'an endpoint whose entry lapsed does not count',
  Leaving: 'an endpoint that leaves does not count',
  Again: 'positions that were read while the old primary was used decide',
  LastPrimary: 'the primary that is known here counts as the last one',
} as const;

/** One of the values of `SuccessionOmission`. */
export type SuccessionOmission =
  (typeof SuccessionOmission)[keyof typeof SuccessionOmission];

/** Bounds of the search. */
export interface SuccessionBounds {
  /** Endpoints beside the old primary. */
  readonly replicas: number;
  readonly syncReplicas: number;
  /** Commits in each term. */
  readonly commits: number;
  /** Whether another change may have taken effect before. */
  readonly hasEarlierChange: boolean;
  readonly omit?: SuccessionOmission;
}

/** How the list of endpoints shows one. */
const Entry = {
  Listed: 'listed',
  Leaving: 'leaving',
  Lapsed: 'lapsed',
  /** It has ended, with its log. */
  Gone: 'gone',
} as const;
type Entry = (typeof Entry)[keyof typeof Entry];

interface ModelEndpoint {
  readonly log: Position;
  readonly told: Told;
  readonly entry: Entry;
}

/** A state of the model; the endpoint at 0 is the primary that is replaced. */
export interface SuccessionState {
  readonly endpoints: readonly ModelEndpoint[];
  /** The endpoint that leads. */
  readonly leader: number;
  /** The last commit that a caller knows of. */
  readonly acknowledged: Position;
  /** Whether the other instance still uses the old primary. */
  readonly isUsed: boolean;
  /** The endpoint that was chosen before the announcement; -1 for none. */
  readonly chosen: number;
  readonly broken: string | null;
}

/** Invariants, by the texts that are printed when one is broken. */
export const SUCCESSION_INVARIANTS = {
  Lost: 'an acknowledged commit is not in the log of the new primary',
} as const;

const REPLACED = 0;
/** The endpoint that an earlier change makes the primary. */
const EARLIER = 1;
const FIRST_TERM = 1;

/** The initial state: all endpoints have the same log. */
export function initialSuccessionState({
  replicas,
}: SuccessionBounds): SuccessionState {
  const endpoint = {
    log: {term: FIRST_TERM, offset: 0},
    told: Told.Status,
    entry: Entry.Listed,
  };
  return {
    endpoints: Array.from({length: replicas + 1}, () => endpoint),
    leader: REPLACED,
    acknowledged: EMPTY_LOG_POSITION,
    isUsed: true,
    chosen: -1,
    broken: null,
  };
}

function withEndpoint(
  state: SuccessionState,
  at: number,
  change: Partial<ModelEndpoint>,
): SuccessionState {
  const endpoints = state.endpoints.map((endpoint, i) =>
    i === at ? {...endpoint, ...change} : endpoint,
  );
  return {...state, endpoints};
}

/** The members as the changing instance sees them. */
function membersOf(
  {endpoints}: SuccessionState,
  {omit}: SuccessionBounds,
): Member[] {
  const members: Member[] = [];
  for (const [at, {log, told, entry}] of endpoints.entries()) {
    if (entry === Entry.Gone) continue;
    if (entry === Entry.Lapsed && omit === SuccessionOmission.Lapsed) continue;
    if (entry === Entry.Leaving && omit === SuccessionOmission.Leaving)
      continue;
    const isAsked = entry !== Entry.Lapsed && at !== REPLACED;
    const seen = isAsked ? told : Told.Nothing;
    const isNothing = seen === Told.Nothing;
    if (isNothing && omit === SuccessionOmission.Quorum) continue;
    const counts = omit === SuccessionOmission.Busy && seen === Told.Busy;
    members.push({
      endpoint: String(at),
      isLeaving: entry === Entry.Leaving,
      told: counts ? Told.Status : seen,
      // One that is busy may have applied nothing of what it has received.
      position: seen === Told.Status ? log : EMPTY_LOG_POSITION,
      isPrimary: false,
    });
  }
  return members;
}

function elect(state: SuccessionState, bounds: SuccessionBounds): Succession {
  const {hasEarlierChange, syncReplicas, omit} = bounds;
  const knowsOther =
    hasEarlierChange && omit !== SuccessionOmission.LastPrimary;
  return chooseSuccessor({
    members: membersOf(state, bounds),
    replaced: String(REPLACED),
    syncReplicas,
    lastNamed: knowsOther ? String(EARLIER) : undefined,
  });
}

/** Number of endpoints beside the leader that hold the log up to `position`. */
function holdersOf(
  {endpoints, leader}: SuccessionState,
  position: Position,
): number {
  return endpoints.filter(
    ({log, entry}, at) =>
      at !== leader && entry !== Entry.Gone && isAtLeast(log, position),
  ).length;
}

function primarySteps(
  state: SuccessionState,
  bounds: SuccessionBounds,
): Array<ModelStep<SuccessionState>> {
  const steps: Array<ModelStep<SuccessionState>> = [];
  const {endpoints, leader, acknowledged} = state;
  const {log, entry} = endpoints[leader]!;
  if (entry === Entry.Gone) return steps;
  if (log.offset < bounds.commits * log.term) {
    const next = {...log, offset: log.offset + 1};
    steps.push({
      name: `${leader} commits`,
      state: withEndpoint(state, leader, {log: next}),
    });
  }
  for (const [at, endpoint] of endpoints.entries()) {
    if (at === leader || endpoint.entry === Entry.Gone) continue;
    if (comparePositions(endpoint.log, log) === 0) continue;
    const next = withEndpoint(state, at, {log});
    steps.push({name: `${at} receives`, state: next});
  }
  const isNew = comparePositions(log, acknowledged) > 0 && log.offset > 0;
  const isHeld = holdersOf(state, log) >= bounds.syncReplicas;
  // What an earlier change has made the primary is not used by the other instance
  // alone, so it is not told to stop.
  const isUsed = state.isUsed || leader !== REPLACED;
  if (isNew && isHeld && isUsed) {
    const next = {...state, acknowledged: log};
    steps.push({name: `${leader} acknowledges`, state: next});
  }
  return steps;
}

/** What befalls the endpoints, and what the instance hears of them. */
function endpointSteps(
  state: SuccessionState,
  {hasEarlierChange}: SuccessionBounds,
): Array<ModelStep<SuccessionState>> {
  const steps: Array<ModelStep<SuccessionState>> = [];
  for (const [at, {told, entry}] of state.endpoints.entries()) {
    if (entry === Entry.Gone) continue;
    if (at !== REPLACED) {
      for (const next of Object.values(Told)) {
        if (next === told) continue;
        const changed = withEndpoint(state, at, {told: next});
        steps.push({name: `${at} tells: ${next}`, state: changed});
      }
      for (const next of [Entry.Leaving, Entry.Lapsed]) {
        if (entry !== Entry.Listed) continue;
        const changed = withEndpoint(state, at, {entry: next});
        steps.push({name: `${at}: ${next}`, state: changed});
      }
    }
    // Only one ends: what two hold may be lost with both.
    const mayEnd = hasEarlierChange && at === state.leader && at === EARLIER;
    if (!mayEnd) continue;
    const ended = withEndpoint(state, at, {entry: Entry.Gone});
    steps.push({name: `${at} is gone`, state: ended});
  }
  return steps;
}

/** An earlier change takes effect: its target has all acknowledged commits. */
function earlierChange(
  state: SuccessionState,
  {hasEarlierChange}: SuccessionBounds,
): SuccessionState | undefined {
  const {log, entry} = state.endpoints[EARLIER]!;
  const isOpen = hasEarlierChange && state.leader === REPLACED;
  if (!isOpen || state.chosen >= 0 || entry === Entry.Gone) return undefined;
  if (!isAtLeast(log, state.acknowledged)) return undefined;
  const promoted = {term: FIRST_TERM + 1, offset: log.offset};
  return {...withEndpoint(state, EARLIER, {log: promoted}), leader: EARLIER};
}

/** The order takes effect: the target leads with what it has received. */
function promote(state: SuccessionState, target: number): SuccessionState {
  const {log} = state.endpoints[target]!;
  const isLost = !isAtLeast(log, state.acknowledged);
  const broken = isLost ? SUCCESSION_INVARIANTS.Lost : state.broken;
  return {...state, leader: target, broken};
}

function changerSteps(
  state: SuccessionState,
  bounds: SuccessionBounds,
): Array<ModelStep<SuccessionState>> {
  const steps: Array<ModelStep<SuccessionState>> = [];
  const {chosen, leader, endpoints} = state;
  // An endpoint that another change has made the primary is in use while it lives.
  const isReplaceable =
    leader === REPLACED || endpoints[leader]!.entry === Entry.Gone;
  if (!isReplaceable) return steps;
  const succession = elect(state, bounds);
  if (chosen < 0 && succession.type === 'chosen') {
    const next = {...state, chosen: Number(succession.endpoint)};
    steps.push({name: `${succession.endpoint} is chosen`, state: next});
  }
  if (chosen >= 0 && state.isUsed)
    steps.push({name: 'the user stops', state: {...state, isUsed: false}});
  if (chosen < 0 || state.isUsed) return steps;
  const isStill =
    succession.type === 'chosen' && succession.endpoint === String(chosen);
  if (isStill || bounds.omit === SuccessionOmission.Again)
    steps.push({
      name: `${chosen} is promoted`,
      state: promote(state, chosen),
    });
  return steps;
}

/** Lists every step possible in a state. */
export function successionSteps(
  state: SuccessionState,
  bounds: SuccessionBounds,
): Array<ModelStep<SuccessionState>> {
  // The change has taken effect.
  if (state.chosen >= 0 && state.leader === state.chosen) return [];
  const steps = [
    ...primarySteps(state, bounds),
    ...endpointSteps(state, bounds),
    ...changerSteps(state, bounds),
  ];
  const earlier = earlierChange(state, bounds);
  if (earlier)
    steps.push({name: 'an earlier change takes effect', state: earlier});
  return steps;
}
