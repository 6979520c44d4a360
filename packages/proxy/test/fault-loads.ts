/**
 * Loads on a group of which an endpoint is disturbed for some seconds, with the
 * figures of a deployment of small instances.
 */
import {ReadRule} from '../src/routes.js';
import type {EndpointFault} from './simulated-endpoint.js';
import {
  type CallerClass,
  type EndpointSpan,
  type LoadOptions,
  type LoadResult,
  type SecondOutcome,
  SPAN_MS,
} from './simulated-load.js';

const ENDPOINTS = {
  slots: 4,
  queueLength: 32,
  openingMs: 12,
  maxConnections: 56,
  lagMs: 90,
  transitMs: 1,
};

/**
 * The usual load, which takes less than half of the slots of the group: two
 * endpoints of three can carry it.
 */
const CLASSES: readonly CallerClass[] = [
  {
    name: 'corrections',
    rule: ReadRule.Primary,
    perSecond: 50,
    workMs: 3,
    maxWorkMs: 60,
    tailShare: 0.01,
    writes: 0.3,
    transactions: 0.1,
    objectiveMs: 101,
    deadlineMs: 606,
    statementTimeoutMs: 400,
    maxStalenessMs: 0,
    priority: 0,
  },
  {
    name: 'statements',
    rule: ReadRule.OwnWrites,
    perSecond: 237,
    workMs: 9,
    maxWorkMs: 180,
    tailShare: 0.01,
    writes: 0.1,
    transactions: 0.06,
    objectiveMs: 201,
    deadlineMs: 603,
    statementTimeoutMs: 400,
    maxStalenessMs: 2500,
    priority: 1,
  },
  {
    name: 'lookups',
    rule: ReadRule.Bounded,
    perSecond: 88,
    workMs: 15,
    maxWorkMs: 300,
    tailShare: 0.01,
    writes: 0,
    transactions: 0.1,
    objectiveMs: 601,
    deadlineMs: 1503,
    statementTimeoutMs: 1000,
    maxStalenessMs: 1500,
    priority: 2,
  },
];

/** The disturbed endpoint, and the other replica. */
export const DISTURBED = 'e-1';
const OTHER_REPLICA = 'e-2';
export const PRIMARY = 'e-0';
const COLD_FACTOR = 1.6;
const SLOW_FACTOR = 8;
/** With it the primary can't run all that only it may run. */
const PRIMARY_SLOW_FACTOR = 3;
const FAILING_SHARE = 0.45;
export const FAULT_AT_MS = 2000;
export const FAULT_END_MS = 5000;
export const COLD_END_MS = 8000;
const LENGTH_MS = 16_000;

function goneAndCold(endpoint: string): readonly EndpointFault[] {
  const during = {endpoint, fromMs: FAULT_AT_MS, untilMs: FAULT_END_MS};
  const after = {endpoint, fromMs: FAULT_END_MS, untilMs: COLD_END_MS};
  return [
    {...during, isGone: true},
    {...after, slowFactor: COLD_FACTOR},
  ];
}

const DURING = {
  endpoint: DISTURBED,
  fromMs: FAULT_AT_MS,
  untilMs: COLD_END_MS,
};

/** A disturbance with the load that it meets. */
export interface Disturbance {
  readonly faults: readonly EndpointFault[];
  /** From when the endpoint could carry its share again. */
  readonly backAtMs: number;
  /** Factor on the usual load. */
  readonly load: number;
}

/** A load that takes most of the slots of the group. */
const BUSY_LOAD = 2;
/** A load that two of three endpoints can just carry. */
const HIGH_LOAD = 1.5;

/** The disturbances by what happens. */
export const DISTURBANCES = {
  none: {faults: [], backAtMs: FAULT_END_MS, load: 1},
  'none, busy': {faults: [], backAtMs: FAULT_END_MS, load: BUSY_LOAD},
  'returns cold': {
    faults: goneAndCold(DISTURBED),
    backAtMs: FAULT_END_MS,
    load: 1,
  },
  'returns cold, high load': {
    faults: goneAndCold(DISTURBED),
    backAtMs: FAULT_END_MS,
    load: HIGH_LOAD,
  },
  'slowed 8 times': {
    faults: [{...DURING, slowFactor: SLOW_FACTOR}],
    backAtMs: COLD_END_MS,
    load: 1,
  },
  'primary slowed 3 times': {
    faults: [{...DURING, endpoint: PRIMARY, slowFactor: PRIMARY_SLOW_FACTOR}],
    backAtMs: COLD_END_MS,
    load: 1,
  },
  'fails 45%': {
    faults: [{...DURING, failingShare: FAILING_SHARE}],
    backAtMs: COLD_END_MS,
    load: 1,
  },
  'all but one gone': {
    faults: [...goneAndCold(DISTURBED), ...goneAndCold(OTHER_REPLICA)],
    backAtMs: FAULT_END_MS,
    load: 1,
  },
} as const satisfies Record<string, Disturbance>;

/** The name of one of the disturbances. */
export type DisturbanceName = keyof typeof DISTURBANCES;

/** The load with one of the disturbances. */
export function disturbedLoad(
  name: DisturbanceName,
  instances: number,
  seed: number,
): LoadOptions {
  const {faults, load} = DISTURBANCES[name];
  const rest = {endpoints: ENDPOINTS, classes: CLASSES, lengthMs: LENGTH_MS};
  return {seed, instances, ...rest, faults, factorAt: () => load};
}

/** The spans of an endpoint between two times. */
export function spansOf(
  {endpointSpans}: LoadResult,
  endpoint: string,
  fromMs: number,
  untilMs: number,
): readonly EndpointSpan[] {
  const spans = endpointSpans.get(endpoint)!;
  return spans.slice(fromMs / SPAN_MS, untilMs / SPAN_MS);
}

/** Mean number of statements in a span. */
export function meanRan(spans: readonly EndpointSpan[]): number {
  return spans.reduce((sum, {ran}) => sum + ran, 0) / spans.length;
}

/** The time after a return in which it must not be flooded. */
export const FIRST_MS = 1000;
/** Share of its usual work with which an endpoint carries its share again. */
const CARRIES_SHARE = 0.7;

/**
 * Time from `sinceMs` until the disturbed endpoint carries its share again, as
 * before the disturbance, in milliseconds; Infinity if it doesn't.
 */
export function carriesAfterMs(result: LoadResult, sinceMs: number): number {
  const usual = meanRan(spansOf(result, DISTURBED, SPAN_MS, FAULT_AT_MS));
  const later = spansOf(result, DISTURBED, sinceMs, LENGTH_MS);
  const at = later.findIndex(({ran}) => ran >= usual * CARRIES_SHARE);
  return at < 0 ? Infinity : (at + 1) * SPAN_MS;
}

/** Most statements in flight at an endpoint between two times. */
export function mostInFlight(
  result: LoadResult,
  fromMs: number,
  untilMs: number,
  endpoint: string = DISTURBED,
): number {
  const spans = spansOf(result, endpoint, fromMs, untilMs);
  return Math.max(...spans.map(span => span.mostInFlight));
}

function outcomeText(name: string, outcome: SecondOutcome): string {
  const {asked, inTime, late, unserved} = outcome;
  const share = ((100 * inTime) / asked).toFixed(1);
  return `${name} ${share}% of ${asked} (late ${late}, not served ${unserved})`;
}

/** Describes a result in one line. */
export function resultText(name: DisturbanceName, result: LoadResult): string {
  const {byClass, endpoints} = result;
  const {backAtMs} = DISTURBANCES[name];
  const outcomes = [...byClass].map(([of, out]) => outcomeText(of, out));
  const back = carriesAfterMs(result, backAtMs);
  const first = mostInFlight(result, backAtMs, backAtMs + FIRST_MS);
  const cold = mostInFlight(result, FAULT_END_MS, COLD_END_MS);
  const disturbed = endpoints.find(({id}) => id === DISTURBED)!;
  return [
    ...outcomes,
    `share again after ${back} ms`,
    `most in flight ${first} in the first second, ${cold} while cold`,
    `refused ${disturbed.refused}, failed ${disturbed.failed}`,
  ].join('; ');
}
