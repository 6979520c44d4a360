/**
 * What one instance knows of a group: the last status of each endpoint, when
 * it was asked for, and who the primary is.
 */
import type {EndpointConfig, GroupConfig} from '@quetzalreel/config';
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {type Position, majorityOf} from '@quetzalreel/position';
import {
  type PrimarySample,
  addSample,
  oldestSampleReaching,
  newestReachedSample,
} from './samples.js';

/** Whether an endpoint answers its control calls. */
export const Reach = {
  /** Nothing was heard yet. */
  Unknown: 'unknown',
  /** The last call was answered. */
  Up: 'up',
  /** The last call got no answer in time. */
  Silent: 'silent',
  /** The last call was refused or its connection broke. */
  Down: 'down',
} as const;

/** One of the values of `Reach`. */
export type Reach = (typeof Reach)[keyof typeof Reach];

/** What is known of one endpoint. Times are monotonic milliseconds. */
export interface EndpointView {
  readonly cfg: EndpointConfig;
  readonly status: EndpointStatus | undefined;
  /** When the call that gave the status was sent. */
  readonly askedAt: number;
  /** When a statement's answer last came from it. */
  readonly heardAt: number;
  /** When it last refused a write as read-only. */
  readonly readOnlyAt: number;
  readonly reach: Reach;
  /** Since when calls have failed; undefined while they are answered. */
  readonly failingSince: number | undefined;
  /** How long it applied records after the primary held them; smoothed. */
  readonly lagMs: number | undefined;
  /** Time that statements took on it; smoothed. */
  readonly latencyMs: number | undefined;
  /** When a statement was last timed on it. */
  readonly timedAt: number;
  /** Requests of this instance that are on it now. */
  readonly busy: number;
  /** Requests that this instance may have on it at a time. */
  readonly capacity: number;
}

/** Until when a primary is known to have been the only one. */
export interface Confirmation {
  /** Term of the primary; 0 for none. */
  readonly term: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** What is known of a group. */
export interface GroupView {
  readonly name: string;
  readonly endpoints: ReadonlyMap<string, EndpointView>;
  /** Samples of the primary, the oldest first. */
  readonly samples: readonly PrimarySample[];
  readonly confirmed: Confirmation;
}

const UNCONFIRMED: Confirmation = {term: 0, at: -Infinity};
/** Part of a new measurement in a smoothed one. */
const SMOOTHING = 0.3;

/** A view of `cfg` that keeps what `before` knew of the same endpoints. */
export function viewOf(cfg: GroupConfig, before?: GroupView): GroupView {
  const endpoints = new Map<string, EndpointView>();
  for (const endpoint of cfg.endpoints) {
    const known = before?.endpoints.get(endpoint.name);
    endpoints.set(endpoint.name, {
      ...(known ?? unknownEndpoint(endpoint)),
      cfg: endpoint,
    });
  }
  return {
    name: cfg.name,
    endpoints,
    samples: before?.samples ?? [],
    confirmed: before?.confirmed ?? UNCONFIRMED,
  };
}

function unknownEndpoint(cfg: EndpointConfig): EndpointView {
  return {
    cfg,
    status: undefined,
    askedAt: -Infinity,
    heardAt: -Infinity,
    readOnlyAt: -Infinity,
    reach: Reach.Unknown,
    failingSince: undefined,
    lagMs: undefined,
    latencyMs: undefined,
    timedAt: -Infinity,
    busy: 0,
    capacity: cfg.slots,
  };
}

/** The view with one endpoint changed; the same view when it is not there. */
export function withEndpoint(
  view: GroupView,
  name: string,
  change: Partial<EndpointView>,
): GroupView {
  const endpoint = view.endpoints.get(name);
  if (!endpoint) return view;
  const endpoints = new Map(view.endpoints);
  endpoints.set(name, {...endpoint, ...change});
  return {...view, endpoints};
}

/** The view after an endpoint answered. */
export function withStatus(
  view: GroupView,
  name: string,
  status: EndpointStatus,
  askedAt: number,
): GroupView {
  const known = view.endpoints.get(name);
  if (!known || askedAt < known.askedAt) return view;
  const lagMs = lagAfter(view, known, status, askedAt);
  const next = withEndpoint(view, name, {
    status,
    askedAt,
    reach: Reach.Up,
    failingSince: undefined,
    lagMs,
  });
  const primary = primaryOf(next);
  if (!primary) return next;
  const confirmed = confirmationOf(next, primary);
  // Of a primary that was replaced, only confirmed samples tell an age.
  const kept =
    confirmed.term === view.confirmed.term
      ? next.samples
      : next.samples.filter(({askedAt: at}) => at <= view.confirmed.at);
  const samples =
    primary.cfg.name === name
      ? addSample(kept, {askedAt, position: status.last})
      : kept;
  return {...next, samples, confirmed};
}

/** The smoothed lag of a replica that has just been seen to move on. */
function lagAfter(
  view: GroupView,
  known: EndpointView,
  status: EndpointStatus,
  askedAt: number,
): number | undefined {
  const before = known.status?.last;
  const moved = before && before.offset < status.last.offset;
  if (status.role === 'primary' || !moved) return known.lagMs;
  const held = oldestSampleReaching(view.samples, status.last);
  if (!held) return known.lagMs;
  return smoothed(known.lagMs, Math.max(0, askedAt - held.askedAt));
}

function smoothed(before: number | undefined, measured: number): number {
  if (before === undefined) return measured;
  return before + SMOOTHING * (measured - before);
}

/** The view after a statement took `elapsedMs` on an endpoint. */
export function withLatency(
  view: GroupView,
  name: string,
  elapsedMs: number,
  now: number,
): GroupView {
  const before = view.endpoints.get(name)?.latencyMs;
  const latencyMs = smoothed(before, elapsedMs);
  return withEndpoint(view, name, {latencyMs, timedAt: now});
}

/**
 * A majority that had promised no higher term when it was asked shows that
 * nobody else could have been promoted before.
 */
function confirmationOf(view: GroupView, primary: EndpointView): Confirmation {
  const {term} = primary.status!;
  const times: number[] = [];
  for (const {status, askedAt} of view.endpoints.values()) {
    if (status && status.promisedTerm <= term) times.push(askedAt);
  }
  times.sort((a, b) => b - a);
  const at = times[majorityOf(view.endpoints.size) - 1] ?? -Infinity;
  const before = view.confirmed;
  return {term, at: before.term === term ? Math.max(before.at, at) : at};
}

/** The view after an endpoint did not answer. */
export function withFailure(
  view: GroupView,
  name: string,
  reach: Reach,
  askedAt: number,
): GroupView {
  const failingSince = view.endpoints.get(name)?.failingSince ?? askedAt;
  return withEndpoint(view, name, {reach, failingSince});
}

/** The endpoint that serves the highest term as primary, if one is known. */
export function primaryOf(view: GroupView): EndpointView | undefined {
  let found: EndpointView | undefined;
  for (const endpoint of view.endpoints.values()) {
    const status = endpoint.status;
    if (status?.role !== 'primary') continue;
    if (!found || status.term > found.status!.term) found = endpoint;
  }
  return found;
}

/** The highest term that any endpoint serves, follows or promised. */
export function highestTerm(view: GroupView): number {
  let highest = 0;
  for (const {status} of view.endpoints.values()) {
    if (!status) continue;
    highest = Math.max(highest, status.term, status.promisedTerm);
  }
  return highest;
}

/**
 * The primary, unless some endpoint promised a higher term: then its writes
 * could not be acknowledged, and a change of primary is under way.
 */
export function writablePrimary(view: GroupView): EndpointView | undefined {
  const primary = primaryOf(view);
  if (!primary || primary.status!.term < highestTerm(view)) return undefined;
  return primary;
}

/** The attempt that made a primary, for telling others to follow it. */
export function attemptOf(primary: EndpointView): Attempt | undefined {
  const status = primary.status;
  if (!status || status.promisedTerm !== status.term) return undefined;
  return {term: status.term, holder: status.promisedTo};
}

/**
 * The time, in monotonic milliseconds, as of which `position` has all that the
 * primary had: that of the newest sample it has reached, but no later than the
 * primary's confirmation. Minus infinity when nothing tells.
 */
export function currentAsOf(view: GroupView, position: Position): number {
  const sample = newestReachedSample(view.samples, position);
  if (!sample) return -Infinity;
  return Math.min(sample.askedAt, view.confirmed.at);
}
