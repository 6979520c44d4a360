/**
 * Model of an unplanned change of primary on a platform that does not check
 * fences: the replaced primary goes on acknowledging. One instance changes the
 * primary, one uses the old one, and one is a further witness. Any of them may
 * be cut off from the others or from the store at some time, the user may be
 * suspended, and the store may be restored from a copy without the change. Time
 * is counted in ticks. When the order may be sent, and how long permission lasts,
 * is computed by the production code.
 */
import {
  type Permission,
  type PermissionLimits,
  isMajority,
  orderTime,
  permittedUntil,
} from '@quetzalreel/failover';
import type {ModelStep} from './search.js';

/**
 * Rules that can be disabled, to check that an invariant then breaks. Each text
 * says what happens without the rule.
 */
export const ChangeOmission = {
  Permission: 'a primary is used without permission',
  Lapse: 'the order does not wait until permissions have lapsed',
  Majority: 'the order needs no majority of the witnesses',
  WrittenLease: 'without the store not every instance must confirm',
  Suspension: 'permission outlives a suspension',
  Answer: 'an answer is passed on though permission has lapsed',
  LostLease: 'a lease that a restored store shows gives permission',
} as const;

/** One of the values of `ChangeOmission`. */
export type ChangeOmission =
  (typeof ChangeOmission)[keyof typeof ChangeOmission];

/** Bounds of the search. */
export interface ChangeBounds {
  readonly ticks: number;
  readonly omit?: ChangeOmission;
}

/** Invariants, by the texts that are printed when one is broken. */
export const CHANGE_INVARIANTS = {
  LateCommit:
    'a commit of the replaced primary is acknowledged after the promotion',
} as const;

const CHANGER = 'changer';
const USER = 'user';
const WITNESS = 'witness';
const WITNESSES = [CHANGER, USER, WITNESS] as const;

/** Lengths of permission in ticks. */
const LIMITS: PermissionLimits = {witnessMs: 2, storeMs: 1};
/** Stands for a time before the start; -Infinity has no JSON form. */
const NEVER = -99;

/** Cuts, one of which may happen at any time, for good. */
const CUTS: Readonly<Record<string, readonly string[]>> = {
  'the user is cut off from the changer': ['changer-user'],
  'the user is cut off from the instances': ['changer-user', 'user-witness'],
  'the user is cut off from all': [
    'changer-user',
    'user-witness',
    'user-store',
  ],
  'the changer is cut off from the instances': [
    'changer-user',
    'changer-witness',
  ],
  'the changer is cut off from the user and the store': [
    'changer-user',
    'changer-store',
  ],
};

/** Number of suspensions in a run. */
const MAX_SUSPENSIONS = 1;

/** An answered question of the user, with the answer on its way. */
interface Question {
  /** By the user's clock, which a suspension stops. */
  readonly sentAt: number;
  readonly suspensions: number;
  /** Whether the answer contains the change. */
  readonly tells: boolean;
  /** Whether a restored store gave it. */
  readonly isOfRestored: boolean;
}

/** A state of the model. */
export interface ChangeState {
  readonly now: number;
  /** The cut that has happened; '' for none. */
  readonly cut: string;
  /** Ticks for which the user was suspended. */
  readonly suspended: number;
  /** Number of suspensions that the user has noticed. */
  readonly noticed: number;
  readonly suspensions: number;
  readonly permission: Permission;
  readonly userKnows: boolean;
  readonly witnessKnows: boolean;
  /** When the witness last confirmed the user's records. */
  readonly renewedAt: number;
  readonly toWitness: Question | null;
  readonly toStore: Question | null;
  /** When the change was written to the lease; `NEVER` if it was not. */
  readonly writtenAt: number;
  /** Whether the store was restored and lacks the change. */
  readonly isRestored: boolean;
  readonly confirmed: readonly string[];
  readonly renewed: boolean;
  /** When the order may be sent; null until that is decided. */
  readonly orderAt: number | null;
  readonly isPromoted: boolean;
  /** State of the user's write at the old primary. */
  readonly write: 'none' | 'sent' | 'committed' | 'committedLate' | 'answered';
  readonly broken: string | null;
}

/** The initial state: the user has just got permission from the witnesses. */
export function initialChangeState(): ChangeState {
  return {
    now: 0,
    cut: '',
    suspended: 0,
    noticed: 0,
    suspensions: 0,
    permission: {byWitnessesAt: 0, byStoreAt: NEVER},
    userKnows: false,
    witnessKnows: false,
    renewedAt: 0,
    toWitness: null,
    toStore: null,
    writtenAt: NEVER,
    isRestored: false,
    confirmed: [],
    renewed: true,
    orderAt: null,
    isPromoted: false,
    write: 'none',
    broken: null,
  };
}

/** The user's clock. */
function clockOf({now, suspended}: ChangeState): number {
  return now - suspended;
}

function mayUse(state: ChangeState, {omit}: ChangeBounds): boolean {
  if (state.userKnows) return false;
  if (omit === ChangeOmission.Permission) return true;
  const isVoid =
    state.noticed < state.suspensions && omit !== ChangeOmission.Suspension;
  if (isVoid) return false;
  return clockOf(state) < permittedUntil(state.permission, LIMITS);
}

/** Takes the answer to a question of the user. */
function takeAnswer(
  state: ChangeState,
  source: keyof Permission,
  question: Question,
  {omit}: ChangeBounds,
): ChangeState {
  const isOld =
    question.suspensions < state.suspensions &&
    omit !== ChangeOmission.Suspension;
  if (question.tells) return {...state, userKnows: true};
  if (isOld) return state;
  // Nobody has written the lease again as complete.
  if (question.isOfRestored && omit !== ChangeOmission.LostLease) return state;
  const permission = {...state.permission, [source]: question.sentAt};
  return {...state, permission};
}

/** Decides when the order may be sent, from the confirmations so far. */
function decide(state: ChangeState, {omit}: ChangeBounds): ChangeState {
  const isWritten =
    state.writtenAt !== NEVER || omit === ChangeOmission.WrittenLease;
  const told = [USER, WITNESS];
  const confirmed = new Set(state.confirmed);
  if (omit === ChangeOmission.Majority) confirmed.add(WITNESS);
  const answers = {
    confirmedBy: state.now,
    told,
    confirmed,
    isOutdated: false,
    witnesses: WITNESSES,
    renewed: new Set(state.renewed ? [USER] : []),
  };
  const writtenAt = isWritten ? Math.max(0, state.writtenAt) : undefined;
  const order = orderTime(CHANGER, answers, writtenAt, LIMITS);
  if (order.type === 'never') return state;
  const orderAt = omit === ChangeOmission.Lapse ? state.now : order.at;
  return {...state, orderAt};
}

function userSteps(
  state: ChangeState,
  bounds: ChangeBounds,
): Array<ModelStep<ChangeState>> {
  const {toWitness, toStore, write} = state;
  const isUp = (link: string) => !CUTS[state.cut]?.includes(link);
  const steps: Array<ModelStep<ChangeState>> = [];
  const add = (name: string, next: ChangeState) =>
    steps.push({name, state: next});
  const question = {
    sentAt: clockOf(state),
    suspensions: state.suspensions,
    isOfRestored: false,
  };
  if (!toWitness && isUp('user-witness')) {
    const toWitness = {...question, tells: state.witnessKnows};
    add('the witness is asked', {...state, toWitness, renewedAt: state.now});
  }
  // The user and the witness are a majority of the three.
  if (toWitness && isMajority(2, 3)) {
    const next = {...state, toWitness: null};
    const taken = takeAnswer(next, 'byWitnessesAt', toWitness, bounds);
    add('the user gets the answer', taken);
  }
  if (!toStore && isUp('user-store')) {
    const isOfRestored = state.isRestored;
    const tells = state.writtenAt !== NEVER && !isOfRestored;
    const toStore = {...question, tells, isOfRestored};
    add('the store is asked', {...state, toStore});
  }
  if (toStore) {
    const next = {...state, toStore: null};
    const taken = takeAnswer(next, 'byStoreAt', toStore, bounds);
    add('the user gets the lease', taken);
  }
  if (write === 'none' && mayUse(state, bounds))
    add('the user sends a write', {...state, write: 'sent'});
  if (write === 'sent') {
    const next = state.isPromoted ? 'committedLate' : 'committed';
    add('the old primary commits', {...state, write: next});
  }
  if (write === 'committedLate') {
    const passes =
      mayUse(state, bounds) ||
      (bounds.omit === ChangeOmission.Answer && !state.userKnows);
    add('the user gets the answer to the write', {
      ...state,
      write: 'answered',
      broken: passes ? CHANGE_INVARIANTS.LateCommit : state.broken,
    });
  }
  if (state.noticed < state.suspensions)
    add('the user notices the suspension', {
      ...state,
      noticed: state.suspensions,
      permission:
        bounds.omit === ChangeOmission.Suspension
          ? state.permission
          : {byWitnessesAt: NEVER, byStoreAt: NEVER},
    });
  return steps;
}

function changerSteps(
  state: ChangeState,
  bounds: ChangeBounds,
): Array<ModelStep<ChangeState>> {
  const {confirmed, now} = state;
  const isUp = (link: string) => !CUTS[state.cut]?.includes(link);
  const steps: Array<ModelStep<ChangeState>> = [];
  const add = (name: string, next: ChangeState) =>
    steps.push({name, state: next});
  if (state.isPromoted) return steps;
  if (state.writtenAt === NEVER && isUp('changer-store'))
    add('the changer writes the lease', {...state, writtenAt: now});
  if (!confirmed.includes(WITNESS) && isUp('changer-witness')) {
    const renewed = now - state.renewedAt <= LIMITS.witnessMs;
    add('the witness confirms', {
      ...state,
      witnessKnows: true,
      confirmed: [...confirmed, WITNESS].sort(),
      renewed,
    });
  }
  if (!confirmed.includes(USER) && isUp('changer-user')) {
    add('the user confirms', {
      ...state,
      userKnows: true,
      confirmed: [...confirmed, USER].sort(),
    });
  }
  if (state.writtenAt !== NEVER && !state.isRestored)
    add('the store is restored', {...state, isRestored: true});
  if (state.orderAt === null) {
    const decided = decide(state, bounds);
    if (decided !== state) add('the changer decides', decided);
  }
  if (state.orderAt !== null && now >= state.orderAt)
    add('the order takes effect', {...state, isPromoted: true});
  return steps;
}

/** Lists every step possible in a state. */
export function changeSteps(
  state: ChangeState,
  bounds: ChangeBounds,
): Array<ModelStep<ChangeState>> {
  // Nothing is left to break once the user knows of the change, or its write was
  // committed in time or answered.
  if (state.userKnows) return [];
  if (state.write === 'committed' || state.write === 'answered') return [];
  const steps = [...userSteps(state, bounds), ...changerSteps(state, bounds)];
  for (const cut of state.cut === '' ? Object.keys(CUTS) : []) {
    steps.push({name: cut, state: {...state, cut}});
  }
  if (state.now < bounds.ticks) {
    const now = state.now + 1;
    steps.push({name: 'time passes', state: {...state, now}});
    if (state.suspensions >= MAX_SUSPENSIONS) return steps;
    steps.push({
      name: 'the user is suspended',
      state: {
        ...state,
        now,
        suspended: state.suspended + 1,
        suspensions: state.suspensions + 1,
      },
    });
  }
  return steps;
}
