/**
 * Reads on replicas by samples of the confirmed primary, as a transition
 * system: a primary that is replaced answers on, replicas receive late or,
 * paused, nothing, a term may be rolled back, and the instance may be
 * suspended between any two steps. The decision is the product's own.
 */
import {noSamples, requiredPosition, withSample} from '@quetzalreel/freshness';
import type {Position} from '@quetzalreel/position';
import type {ModelStep} from './search.js';

/** Rules that can be taken out. */
export const ReadOmission = {
  Confirm: 'any answer counts as a sample',
  SleepVoids: 'samples outlive a suspension',
  OldQuestions: 'answers to questions from before a suspension count',
  Floor: 'the session forgets its own commit',
} as const;

/** One of the values of `ReadOmission`. */
export type ReadOmission = (typeof ReadOmission)[keyof typeof ReadOmission];

/** Bounds of the search. */
export interface ReadBounds {
  readonly commits: number;
  /** Ticks of time; one is longer than the spacing of samples. */
  readonly ticks: number;
  readonly omit?: ReadOmission;
}

interface RecordOf {
  readonly term: number;
  readonly commit: number;
}

/** An acknowledged commit. */
interface Acknowledged {
  readonly commit: number;
  readonly at: number;
  /** Whether the reading session made it. */
  readonly isOwn: boolean;
  readonly rolledBack: boolean;
}

interface Question {
  readonly endpoint: number;
  /** By the monotonic clock. */
  readonly sentAt: number;
  /** Suspensions until then. */
  readonly sleeps: number;
  /** Taken at the endpoint; null before it answered. */
  readonly answer: {
    readonly position: Position;
    readonly isPrimary: boolean;
  } | null;
}

/** A state. */
export interface ReadState {
  readonly logs: ReadonlyArray<readonly RecordOf[]>;
  readonly leader: number;
  readonly term: number;
  readonly acknowledged: readonly Acknowledged[];
  readonly floor: Position | null;
  /** True time, and the time of the monotonic clock. */
  readonly now: number;
  readonly clock: number;
  readonly sleeps: number;
  readonly samples: ReadonlyArray<{
    readonly sentAt: number;
    readonly position: Position;
  }>;
  readonly question: Question | null;
  readonly broken: string | null;
}

/** What must hold in every state. */
export const READ_INVARIANTS = {
  Staleness: 'a read lacks a commit that is older than the staleness',
  OwnWrites: 'a read lacks a commit of its own session',
} as const;

/** Milliseconds of one tick. */
const TICK_MS = 100;
/** Staleness that the reads allow, in milliseconds. */
const STALENESS_MS = TICK_MS;
const ENDPOINTS = [0, 1] as const;

/** Endpoint 0 leads term 1. */
export function firstReads(): ReadState {
  return {
    logs: [[], []],
    leader: 0,
    term: 1,
    acknowledged: [],
    floor: null,
    now: 0,
    clock: 0,
    sleeps: 0,
    samples: [],
    question: null,
    broken: null,
  };
}

function positionOf(log: readonly RecordOf[]): Position {
  return {term: log[log.length - 1]?.term ?? 1, offset: log.length};
}

/** Whether a log has the record that a position names. */
function holds(log: readonly RecordOf[], {term, offset}: Position): boolean {
  if (offset === 0) return true;
  return log[offset - 1]?.term === term;
}

function commit(state: ReadState, isOwn: boolean): ReadState {
  const number = state.acknowledged.length;
  const logs = state.logs.map((log, i) =>
    i === state.leader ? [...log, {term: state.term, commit: number}] : log,
  );
  const acknowledged = [
    ...state.acknowledged,
    {commit: number, at: state.now, isOwn, rolledBack: false},
  ];
  const floor = isOwn ? positionOf(logs[state.leader]!) : state.floor;
  return {...state, logs, acknowledged, floor};
}

/** The other endpoint takes over with what it holds, and nothing more. */
function promote(state: ReadState): ReadState {
  const leader = 1 - state.leader;
  const log = state.logs[leader]!;
  const acknowledged = state.acknowledged.map(item => ({
    ...item,
    rolledBack:
      item.rolledBack || !log.some(({commit: held}) => held === item.commit),
  }));
  return {...state, leader, term: state.term + 1, acknowledged};
}

function replicate(state: ReadState): ReadState {
  const logs = state.logs.map(() => state.logs[state.leader]!);
  return {...state, logs};
}

function takeAnswer(state: ReadState, {omit}: ReadBounds): ReadState {
  const {question} = state;
  const {answer, sentAt, sleeps} = question!;
  const rest = {...state, question: null};
  const {position, isPrimary} = answer!;
  if (!isPrimary && omit !== ReadOmission.Confirm) return rest;
  const isOld = sleeps !== state.sleeps;
  const oldCounts =
    omit === ReadOmission.OldQuestions || omit === ReadOmission.SleepVoids;
  if (isOld && !oldCounts) return rest;
  const {items} = withSample({items: state.samples}, {sentAt, position});
  return {...rest, samples: items};
}

function suspend(state: ReadState, {omit}: ReadBounds): ReadState {
  const keeps = omit === ReadOmission.SleepVoids;
  return {
    ...state,
    now: state.now + 2,
    sleeps: state.sleeps + 1,
    samples: keeps ? state.samples : noSamples().items,
  };
}

/** A read at an endpoint, where the endpoint checks the position. */
function read(
  state: ReadState,
  endpoint: number,
  {omit}: ReadBounds,
): ReadState | undefined {
  const floor =
    omit === ReadOmission.Floor ? undefined : (state.floor ?? undefined);
  const atLeast = requiredPosition(
    {items: state.samples},
    STALENESS_MS,
    floor,
    state.clock * TICK_MS,
  );
  const log = state.logs[endpoint]!;
  if (!atLeast || !holds(log, atLeast)) return undefined;
  const lacks = state.acknowledged.filter(
    item =>
      !item.rolledBack && !log.some(({commit: held}) => held === item.commit),
  );
  const staleAt = state.now - STALENESS_MS / TICK_MS;
  if (lacks.some(({at}) => at < staleAt)) {
    return {...state, broken: READ_INVARIANTS.Staleness};
  }
  if (lacks.some(({isOwn}) => isOwn)) {
    return {...state, broken: READ_INVARIANTS.OwnWrites};
  }
  return undefined;
}

/** All steps from a state. */
export function readSteps(
  state: ReadState,
  bounds: ReadBounds,
): Array<ModelStep<ReadState>> {
  const steps: Array<ModelStep<ReadState>> = [];
  const add = (name: string, next: ReadState | undefined) => {
    if (next) steps.push({name, state: next});
  };
  if (state.acknowledged.length < bounds.commits) {
    add('another session commits', commit(state, false));
    add('the session commits', commit(state, true));
  }
  if (state.term === 1) add('the replica is promoted', promote(state));
  add('the replica receives', replicate(state));
  if (state.now < bounds.ticks) {
    const {now, clock} = state;
    add('time passes', {...state, now: now + 1, clock: clock + 1});
    if (state.sleeps === 0) add('the instance sleeps', suspend(state, bounds));
  }
  for (const endpoint of ENDPOINTS) {
    if (!state.question) {
      const sentAt = state.clock * TICK_MS;
      const {sleeps} = state;
      add(`e${endpoint} is asked`, {
        ...state,
        question: {endpoint, sentAt, sleeps, answer: null},
      });
    }
    add(`a read at e${endpoint}`, read(state, endpoint, bounds));
  }
  const {question} = state;
  if (question && !question.answer) {
    const {endpoint} = question;
    const position = positionOf(state.logs[endpoint]!);
    const answer = {position, isPrimary: endpoint === state.leader};
    add(`e${endpoint} answers`, {...state, question: {...question, answer}});
  }
  if (question?.answer) add('the answer comes', takeAnswer(state, bounds));
  return steps;
}
