/**
 * Decides how many statements this instance may have in flight at one endpoint.
 * An endpoint has a full limit while it is well. After a start, a promotion or a
 * return, when it becomes slow against its own calm times, when its reads fail
 * or its connections are lost, only a share of the full limit is in force: it is
 * lowered at once and raised step by step while the answers are good.
 * Independently, the full limit falls when the endpoint refuses statements as
 * busy, since its own queue ignores priorities and deadlines.
 *
 * Pure functions of a state; times are monotonic milliseconds.
 */
import type {PaceReport} from '@quetzalreel/requests';
import {
  type AnswerBaseline,
  NO_BASELINE,
  afterNoAnswer,
  afterSample,
  baselineOnly,
  slownessOf,
} from './answer-baseline.js';
import {
  type ConcurrencyLimit,
  afterBusy as limitAfterBusy,
  afterRun as limitAfterRun,
  initialLimit,
} from './concurrency.js';
import {
  type FailingShare,
  NONE_FAILED,
  afterRead,
  failingShareAt,
} from './failing-share.js';

/** Why the limit last changed. */
export const PaceReason = {
  /** Nothing is known to be wrong. */
  Well: 'well',
  Started: 'started',
  Promoted: 'promoted',
  /** It answers again after silence. */
  Returned: 'returned',
  Busy: 'busy',
  Slow: 'slow',
  Failing: 'failing',
  /** Connections with statements in flight were lost. */
  Lost: 'lost',
  /** The holder that relays reported it. */
  Reported: 'reported',
  /** A step of a limit on its way back to the full one. */
  Raised: 'raised',
} as const;

/** One of the values of `PaceReason`. */
export type PaceReason = (typeof PaceReason)[keyof typeof PaceReason];

/** Which endpoints could have run a statement. */
export const StatementKind = {
  /** A read that any endpoint can run. */
  Read: 'read',
  PrimaryOnly: 'primaryOnly',
} as const;

/** One of the values of `StatementKind`. */
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];

/** What is known of how one endpoint responds. */
export interface EndpointPace {
  /** Full limit, which follows refusals. */
  readonly concurrency: ConcurrencyLimit;
  /** Share of the full limit that is in force; 1 while the endpoint is well. */
  readonly share: number;
  readonly reason: PaceReason;
  /** Time of the last change of `share`. */
  readonly changedAt: number;
  /**
   * Whether it is on its way back after a start, a promotion or a return; its
   * times are not calm ones then.
   */
  readonly isRecovering: boolean;
  readonly baselines: Readonly<Record<StatementKind, AnswerBaseline>>;
  readonly failing: FailingShare;
}

/** Share in force after a start or a return. */
const START_SHARE = 1 / 8;
/** Share after a promotion: the endpoint is warm, and its work is new. */
const PROMOTED_SHARE = 1 / 2;
/** Lowest share; the limit is at least one statement all the same. */
const MIN_SHARE = START_SHARE;
/**
 * Lowest share for slowness. Instances don't know each other's load: if each may
 * have only one statement in flight, slots are idle while statements wait at
 * another instance.
 */
const MIN_SLOW_SHARE = 1 / 4;
const LOWER_FACTOR = 0.5;
const RAISE_FACTOR = 1.5;
/** Time in which the effect of a lower limit shows in the answers. */
const LOWER_INTERVAL_MS = 200;
/** Least time between two steps upwards. */
const RAISE_INTERVAL_MS = 400;
/**
 * Answer times, as multiples of the calm ones, from which the endpoint is slow,
 * and up to which the limit may rise. The averages of an endpoint that is busy
 * inside its capacity, or cold after a start, stay below the first.
 */
const SLOW_FROM = 4;
const GOOD_UP_TO = 2.2;
/** Share of failing reads, beyond that of other endpoints, that is a fault. */
const FAILING_FROM = 0.2;

/** The state of an endpoint of which nothing is known. */
export function initialPace(slots: number): EndpointPace {
  return {
    concurrency: initialLimit(slots),
    share: 1,
    reason: PaceReason.Well,
    changedAt: -Infinity,
    isRecovering: false,
    baselines: {read: NO_BASELINE, primaryOnly: NO_BASELINE},
    failing: NONE_FAILED,
  };
}

/** Statements that may be in flight where the plan allows up to `most`. */
export function limitOf(
  {concurrency, share}: EndpointPace,
  most: number,
): number {
  const full = Math.min(concurrency.limit, most);
  if (share >= 1) return full;
  return Math.max(1, Math.floor(full * share));
}

function recoveringFrom(
  pace: EndpointPace,
  share: number,
  reason: PaceReason,
  now: number,
): EndpointPace {
  const lowered = Math.min(pace.share, share);
  return {...pace, share: lowered, reason, changedAt: now, isRecovering: true};
}

/** After a start; `known` is what is known of it before, or of its siblings. */
export function afterStart(
  slots: number,
  known: EndpointPace | undefined,
  now: number,
): EndpointPace {
  const initial = initialPace(slots);
  const before = known?.baselines ?? initial.baselines;
  const baselines = {
    read: baselineOnly(before.read),
    primaryOnly: baselineOnly(before.primaryOnly),
  };
  const pace = {...initial, baselines};
  return recoveringFrom(pace, START_SHARE, PaceReason.Started, now);
}

/** After it has become the primary of a group that had another one. */
export function afterPromotion(pace: EndpointPace, now: number): EndpointPace {
  return recoveringFrom(pace, PROMOTED_SHARE, PaceReason.Promoted, now);
}

/** After contact that ends a silence. */
export function afterReturn(pace: EndpointPace, now: number): EndpointPace {
  return recoveringFrom(pace, START_SHARE, PaceReason.Returned, now);
}

function lower(
  pace: EndpointPace,
  reason: PaceReason,
  now: number,
  least = MIN_SHARE,
): EndpointPace {
  if (now - pace.changedAt < LOWER_INTERVAL_MS || pace.share <= least)
    return pace;
  const share = Math.max(least, pace.share * LOWER_FACTOR);
  return {...pace, share, reason, changedAt: now};
}

/** The next step upwards, if it is due. */
function raise(pace: EndpointPace, now: number): EndpointPace {
  if (pace.share >= 1 || now - pace.changedAt < RAISE_INTERVAL_MS) return pace;
  const share = Math.min(1, pace.share * RAISE_FACTOR);
  if (share < 1)
    return {...pace, share, reason: PaceReason.Raised, changedAt: now};
  const reason = PaceReason.Well;
  return {...pace, share, reason, changedAt: now, isRecovering: false};
}

/** Share of failing reads beyond that of the group's other endpoints. */
export function excessFailing(
  {failing}: EndpointPace,
  others: number,
  now: number,
): number {
  return Math.max(0, failingShareAt(failing, now) - others);
}

/** Changes the share by what is known after new evidence. */
function adjust(pace: EndpointPace, others: number, now: number): EndpointPace {
  const {read, primaryOnly} = pace.baselines;
  if (excessFailing(pace, others, now) > FAILING_FROM)
    return lower(pace, PaceReason.Failing, now);
  const slowness = Math.max(
    slownessOf(read, now),
    slownessOf(primaryOnly, now),
  );
  if (slowness > SLOW_FROM)
    return lower(pace, PaceReason.Slow, now, MIN_SLOW_SHARE);
  return slowness > GOOD_UP_TO ? pace : raise(pace, now);
}

/** A statement that has ended, for the decision. */
export interface EndedStatement {
  readonly kind: StatementKind;
  readonly tookMs: number;
  /** Failing share of the reads at the group's other endpoints. */
  readonly othersFailing: number;
  readonly now: number;
}

function withBaseline(
  pace: EndpointPace,
  kind: StatementKind,
  baseline: AnswerBaseline,
): EndpointPace {
  return {...pace, baselines: {...pace.baselines, [kind]: baseline}};
}

/** After the endpoint ran a statement. */
export function afterRun(
  pace: EndpointPace,
  slots: number,
  {kind, tookMs, othersFailing, now}: EndedStatement,
): EndpointPace {
  const known = pace.baselines[kind];
  const baseline = afterSample(known, tookMs, now, !pace.isRecovering);
  const isRead = kind === StatementKind.Read;
  const next = {
    ...withBaseline(pace, kind, baseline),
    concurrency: limitAfterRun(pace.concurrency, slots),
    failing: isRead ? afterRead(pace.failing, false, now) : pace.failing,
  };
  return adjust(next, othersFailing, now);
}

/**
 * After the endpoint answered a statement with FAILED. What only the primary
 * runs has no other endpoint to compare with, so it doesn't count.
 */
export function afterFailed(
  pace: EndpointPace,
  {kind, othersFailing, now}: EndedStatement,
): EndpointPace {
  if (kind !== StatementKind.Read) return pace;
  const failing = afterRead(pace.failing, true, now);
  return adjust({...pace, failing}, othersFailing, now);
}

/** After the endpoint refused a statement as busy. */
export function afterBusy(pace: EndpointPace, now: number): EndpointPace {
  const next = {...pace, concurrency: limitAfterBusy(pace.concurrency)};
  return pace.share < 1 ? lower(next, PaceReason.Busy, now) : next;
}

/** After a connection with a statement in flight was lost at its end. */
export function afterLost(pace: EndpointPace, now: number): EndpointPace {
  return lower(pace, PaceReason.Lost, now);
}

/** After a statement without an answer in its time. */
export function afterTimeout(
  pace: EndpointPace,
  {kind, tookMs, othersFailing, now}: EndedStatement,
): EndpointPace {
  const baseline = afterNoAnswer(pace.baselines[kind], tookMs, now);
  if (baseline === pace.baselines[kind]) return pace;
  return adjust(withBaseline(pace, kind, baseline), othersFailing, now);
}

/** Failing share from which an endpoint with a full limit is reported. */
const REPORTED_FAILING = 0.05;

/** What requesters should know; undefined while the endpoint is well. */
export function reportOf(
  {share, failing, changedAt}: EndpointPace,
  now: number,
): PaceReport | undefined {
  const failingShare = failingShareAt(failing, now);
  if (share >= 1 && failingShare < REPORTED_FAILING) return undefined;
  const ageMs = Math.max(0, now - Math.max(changedAt, failing.at));
  return {share, failing: failingShare, ageMs};
}

/** Age from which a report is of no use, in milliseconds. */
const MAX_REPORT_AGE_MS = 2000;

/** After a report, which never raises the limit. */
export function afterReport(
  pace: EndpointPace,
  {share, failing, ageMs}: PaceReport,
  now: number,
): EndpointPace {
  const at = now - ageMs;
  if (ageMs > MAX_REPORT_AGE_MS) return pace;
  const isWorse = failing > failingShareAt(pace.failing, now);
  const next = isWorse ? {...pace, failing: {share: failing, at: now}} : pace;
  if (share >= pace.share || at <= pace.changedAt) return next;
  return {...next, share, reason: PaceReason.Reported, changedAt: at};
}
