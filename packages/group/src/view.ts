/**
 * What one instance knows about a group: the last status of each endpoint, when
 * it was requested, and which endpoint is the primary.
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

/** Whether an endpoint responds to control calls. */
export const Responsiveness = {
  /** No call has completed yet. */
  Unknown: 'unknown',
  /** The last call was answered. */
  Up: 'up',
  /** The last call timed out. */
  Silent: 'silent',
  /** The last call was refused or its connection broke. */
  Down: 'down',
} as const;

/** One of the values of `Reach`. */
export type Responsiveness =
  (typeof Responsiveness)[keyof typeof Responsiveness];

/**
 * State of one endpoint as known to this instance. Times are in monotonic
 * milliseconds.
 */
export interface EndpointView {
  readonly cfg: EndpointConfig;
  readonly status: EndpointStatus | undefined;
  /** When the call that returned `status` was sent. */
  readonly askedAt: number;
  /** When the last response to a statement arrived. */
  readonly heardAt: number;
  /** When the last write that it rejected as read-only was sent. */
  readonly readOnlyAt: number;
  readonly reach: Responsiveness;
  /**
   * When the first of the current run of failed calls was sent; undefined if
   * the last call succeeded.
   */
  readonly failingSince: number | undefined;
  /**
   * Smoothed delay with which it applies records after the primary has them.
   */
  readonly lagMs: number | undefined;
  /** Smoothed duration of statements. */
  readonly latencyMs: number | undefined;
  /** When `latencyMs` was last updated. */
  readonly timedAt: number;
  /** Requests of this instance in flight on it. */
  readonly busy: number;
  /** Maximum number of requests that this instance may have in flight on it. */
  readonly capacity: number;
}

/** The latest time at which a primary is known not to have been replaced. */
export interface Confirmation {
  /** Term of the primary; 0 if there is none. */
  readonly term: number;
  /** Time in monotonic milliseconds. */
  readonly at: number;
}

/** State of a group as known to this instance. */
export interface GroupView {
  readonly name: string;
  readonly endpoints: ReadonlyMap<string, EndpointView>;
  /** Samples of the primary's position, oldest first. */
  readonly samples: readonly PrimarySample[];
  readonly confirmed: Confirmation;
}

const UNCONFIRMED: Confirmation = {term: 0, at: -Infinity};
/** Weight of a new measurement in the exponential moving average. */
const SMOOTHING_FACTOR = 0.3;

/**
 * A view of `cfg` that keeps the data of endpoints that `before` already has.
 */
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
    reach: Responsiveness.Unknown,
    failingSince: undefined,
    lagMs: undefined,
    latencyMs: undefined,
    timedAt: -Infinity,
    busy: 0,
    capacity: cfg.slots,
  };
}

/**
 * The view with one endpoint changed; the same view if the endpoint is unknown.
 */
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

/** The view after an endpoint has returned a status. */
export function withStatus(
  view: GroupView,
  name: string,
  status: EndpointStatus,
  askedAt: number,
): GroupView {
  const known = view.endpoints.get(name);
  if (!known || askedAt < known.askedAt) return view;
  const lagMs = updatedLag(view, known, status, askedAt);
  const next = withEndpoint(view, name, {
    status,
    askedAt,
    reach: Responsiveness.Up,
    failingSince: undefined,
    lagMs,
  });
  const primary = primaryOf(next);
  if (!primary) return next;
  const confirmed = confirmationOf(next, primary);
  // Samples of a replaced primary from after its last confirmation don't count
  // for staleness.
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

/** The smoothed lag of a replica, updated if the replica has advanced. */
function updatedLag(
  view: GroupView,
  known: EndpointView,
  status: EndpointStatus,
  askedAt: number,
): number | undefined {
  const before = known.status?.last;
  const hasAdvanced = before && before.offset < status.last.offset;
  if (status.role === 'primary' || !hasAdvanced) return known.lagMs;
  const reached = oldestSampleReaching(view.samples, status.last);
  if (!reached) return known.lagMs;
  return smoothed(known.lagMs, Math.max(0, askedAt - reached.askedAt));
}

function smoothed(before: number | undefined, measured: number): number {
  if (before === undefined) return measured;
  return before + SMOOTHING_FACTOR * (measured - before);
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
 * If a majority of endpoints had promised no higher term when their statuses
 * were requested, no other endpoint can have been promoted before that time.
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

/** The view after a call to an endpoint failed. */
export function withFailure(
  view: GroupView,
  name: string,
  reach: Responsiveness,
  askedAt: number,
): GroupView {
  const failingSince = view.endpoints.get(name)?.failingSince ?? askedAt;
  return withEndpoint(view, name, {reach, failingSince});
}

/** The endpoint that is primary in the highest term, if one is known. */
export function primaryOf(view: GroupView): EndpointView | undefined {
  let found: EndpointView | undefined;
  for (const endpoint of view.endpoints.values()) {
    const status = endpoint.status;
    if (status?.role !== 'primary') continue;
    if (!found || status.term > found.status!.term) found = endpoint;
  }
  return found;
}

/** The highest term that any endpoint serves, follows or has promised. */
export function highestTerm(view: GroupView): number {
  let highest = 0;
  for (const {status} of view.endpoints.values()) {
    if (!status) continue;
    highest = Math.max(highest, status.term, status.promisedTerm);
  }
  return highest;
}

/**
 * The primary, unless some endpoint has promised a higher term: its writes
 * might then not be acknowledged any more, and a failover is in progress.
 */
export function writablePrimary(view: GroupView): EndpointView | undefined {
  const primary = primaryOf(view);
  if (!primary || primary.status!.term < highestTerm(view)) return undefined;
  return primary;
}

/**
 * The attempt that promoted a primary; needed for `follow` calls to other
 * endpoints.
 */
export function attemptOf(primary: EndpointView): Attempt | undefined {
  const status = primary.status;
  if (!status || status.promisedTerm !== status.term) return undefined;
  return {term: status.term, holder: status.promisedTo};
}

/**
 * The time, in monotonic milliseconds, at which a log at `position` was up to
 * date with the primary: the time of the newest sample that it has reached, but
 * no later than the primary's confirmation. Minus infinity if there is no such
 * sample.
 */
export function currentAsOf(view: GroupView, position: Position): number {
  const sample = newestReachedSample(view.samples, position);
  if (!sample) return -Infinity;
  return Math.min(sample.askedAt, view.confirmed.at);
}
