/**
 * Model of replica reads with bounded staleness, from samples of the confirmed
 * primary's position. A replaced primary keeps answering, a replica may lag or
 * receive nothing, commits of a term may be rolled back, and the instance may be
 * suspended between any two steps. The position that a read requires is computed
 * by the production code.
 */
import {noSamples, requiredPosition, withSample} from '@quetzalreel/freshness';
import type {Position} from '@quetzalreel/position';
import type {ModelStep} from './search.js';

/**
 * Rules that can be disabled, to check that an invariant then breaks. Each text
 * says what happens without the rule.
 */
export const ReadOmission = {
  ConfirmPrimary: 'any answer counts as a sample',
  DropSamplesOnSuspension: 'samples outlive a suspension',
  DropOldResponses: 'answers to questions from before a suspension count',
  Floor: 'the session forgets its own commit',
} as const;

/** One of the values of `ReadOmission`. */
export type ReadOmission = (typeof ReadOmission)[keyof typeof ReadOmission];

/** Bounds of the search. */
export interface ReadBounds {
  readonly commits: number;
  /** Maximum time in ticks. A tick is longer than the interval of samples. */
  readonly ticks: number;
  readonly omit?: ReadOmission;
}

interface LogRecord {
  readonly term: number;
  readonly commit: number;
}

/** A commit that was acknowledged to its session. */
interface AcknowledgedCommit {
  readonly commit: number;
  readonly at: number;
  /** Whether it was committed by the session that reads. */
  readonly isOwn: boolean;
  readonly rolledBack: boolean;
}

/** A query for an endpoint's position and role. */
interface Probe {
  readonly endpoint: number;
  /** Send time by the instance's monotonic clock, in milliseconds. */
  readonly sentAt: number;
  /** Number of suspensions of the instance before the probe was sent. */
  readonly suspensions: number;
  /** The endpoint's state when it answered; null until it has. */
  readonly response: {
    readonly position: Position;
    readonly isPrimary: boolean;
  } | null;
}

/** A state of the model. */
export interface ReadState {
  readonly logs: ReadonlyArray<readonly LogRecord[]>;
  readonly primary: number;
  readonly term: number;
  readonly acknowledged: readonly AcknowledgedCommit[];
  readonly floor: Position | null;
  /** Real time in ticks. */
  readonly now: number;
  /** Monotonic clock in ticks; it does not advance during a suspension. */
  readonly clock: number;
  readonly suspensions: number;
  readonly samples: ReadonlyArray<{
    readonly sentAt: number;
    readonly position: Position;
  }>;
  readonly probe: Probe | null;
  readonly broken: string | null;
}

/** Invariants, by the texts that are printed when one is broken. */
export const READ_INVARIANTS = {
  Staleness: 'a read lacks a commit that is older than the staleness',
  OwnWrites: 'a read lacks a commit of its own session',
} as const;

/** Duration of a tick, in milliseconds. */
const TICK_MS = 100;
/** Maximum staleness that the reads allow, in milliseconds. */
const STALENESS_MS = TICK_MS;
const ENDPOINTS = [0, 1] as const;

/** Initial state: endpoint 0 is the primary of term 1. */
export function initialReadState(): ReadState {
  return {
    logs: [[], []],
    primary: 0,
    term: 1,
    acknowledged: [],
    floor: null,
    now: 0,
    clock: 0,
    suspensions: 0,
    samples: [],
    probe: null,
    broken: null,
  };
}

function positionOf(log: readonly LogRecord[]): Position {
  return {term: log[log.length - 1]?.term ?? 1, offset: log.length};
}

/** Whether a log contains the record at a position, with the same term. */
function hasRecordAt(
  log: readonly LogRecord[],
  {term, offset}: Position,
): boolean {
  if (offset === 0) return true;
  return log[offset - 1]?.term === term;
}

function commit(state: ReadState, isOwn: boolean): ReadState {
  const number = state.acknowledged.length;
  const logs = state.logs.map((log, i) =>
    i === state.primary ? [...log, {term: state.term, commit: number}] : log,
  );
  const acknowledged = [
    ...state.acknowledged,
    {commit: number, at: state.now, isOwn, rolledBack: false},
  ];
  const floor = isOwn ? positionOf(logs[state.primary]!) : state.floor;
  return {...state, logs, acknowledged, floor};
}

/**
 * Promotes the other endpoint with the log that it has. Commits that it lacks
 * are rolled back.
 */
function promote(state: ReadState): ReadState {
  const primary = 1 - state.primary;
  const log = state.logs[primary]!;
  const acknowledged = state.acknowledged.map(item => ({
    ...item,
    rolledBack:
      item.rolledBack || !log.some(({commit: inLog}) => inLog === item.commit),
  }));
  return {...state, primary, term: state.term + 1, acknowledged};
}

function replicate(state: ReadState): ReadState {
  const logs = state.logs.map(() => state.logs[state.primary]!);
  return {...state, logs};
}

function receiveResponse(state: ReadState, {omit}: ReadBounds): ReadState {
  const {probe} = state;
  const {response, sentAt, suspensions} = probe!;
  const rest = {...state, probe: null};
  const {position, isPrimary} = response!;
  if (!isPrimary && omit !== ReadOmission.ConfirmPrimary) return rest;
  const isOld = suspensions !== state.suspensions;
  const acceptsOld =
    omit === ReadOmission.DropOldResponses ||
    omit === ReadOmission.DropSamplesOnSuspension;
  if (isOld && !acceptsOld) return rest;
  const {items} = withSample({items: state.samples}, {sentAt, position});
  return {...rest, samples: items};
}

function suspend(state: ReadState, {omit}: ReadBounds): ReadState {
  const keeps = omit === ReadOmission.DropSamplesOnSuspension;
  return {
    ...state,
    now: state.now + 2,
    suspensions: state.suspensions + 1,
    samples: keeps ? state.samples : noSamples().items,
  };
}

/**
 * Reads at an endpoint, which rejects the read if its log lacks the required
 * position. Returns a state only if the read breaks an invariant.
 */
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
  if (!atLeast || !hasRecordAt(log, atLeast)) return undefined;
  const missingCommits = state.acknowledged.filter(
    item =>
      !item.rolledBack && !log.some(({commit: inLog}) => inLog === item.commit),
  );
  const staleAt = state.now - STALENESS_MS / TICK_MS;
  if (missingCommits.some(({at}) => at < staleAt)) {
    return {...state, broken: READ_INVARIANTS.Staleness};
  }
  if (missingCommits.some(({isOwn}) => isOwn)) {
    return {...state, broken: READ_INVARIANTS.OwnWrites};
  }
  return undefined;
}

/** Lists every step possible in a state. */
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
    if (state.suspensions === 0)
      add('the instance sleeps', suspend(state, bounds));
  }
  for (const endpoint of ENDPOINTS) {
    if (!state.probe) {
      const sentAt = state.clock * TICK_MS;
      const {suspensions} = state;
      add(`e${endpoint} is asked`, {
        ...state,
        probe: {endpoint, sentAt, suspensions, response: null},
      });
    }
    add(`a read at e${endpoint}`, read(state, endpoint, bounds));
  }
  const {probe} = state;
  if (probe && !probe.response) {
    const {endpoint} = probe;
    const position = positionOf(state.logs[endpoint]!);
    const response = {position, isPrimary: endpoint === state.primary};
    add(`e${endpoint} answers`, {...state, probe: {...probe, response}});
  }
  if (probe?.response) add('the answer comes', receiveResponse(state, bounds));
  return steps;
}
