/**
 * What one instance knows of a group: the last status of each endpoint, when
 * it was asked for, and who the primary is.
 */
import type {EndpointConfig, GroupConfig} from '@quetzalreel/config';
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import {type Position, reaches} from '@quetzalreel/position';

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
  /** Requests of this instance that are on it now. */
  readonly busy: number;
  /** Requests that this instance may have on it at a time. */
  readonly capacity: number;
}

/** The primary's position at a time, for telling a replica's age. */
export interface PrimarySample {
  /** When the status was asked for, monotonic milliseconds. */
  readonly askedAt: number;
  readonly position: Position;
}

/** What is known of a group. */
export interface GroupView {
  readonly name: string;
  readonly endpoints: ReadonlyMap<string, EndpointView>;
  /** Samples of the primary, the oldest first. */
  readonly samples: readonly PrimarySample[];
}

/** Samples kept; at one each 50 ms they reach 25 s back. */
const MAX_SAMPLES = 500;

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
  return {name: cfg.name, endpoints, samples: before?.samples ?? []};
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
  const next = withEndpoint(view, name, {
    status,
    askedAt,
    reach: Reach.Up,
    failingSince: undefined,
  });
  if (primaryOf(next)?.cfg.name !== name) return next;
  const sample = {askedAt, position: status.last};
  return {...next, samples: addSample(view.samples, sample)};
}

function addSample(
  samples: readonly PrimarySample[],
  sample: PrimarySample,
): readonly PrimarySample[] {
  const kept = samples.length >= MAX_SAMPLES ? samples.slice(1) : samples;
  return [...kept, sample];
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
 * How old the data at `position` may be, in milliseconds: the time since the
 * newest sample of the primary that the position has reached. Infinite when
 * no sample is old enough.
 */
export function ageOf(
  view: GroupView,
  position: Position,
  now: number,
): number {
  for (let i = view.samples.length - 1; i >= 0; i--) {
    const sample = view.samples[i]!;
    if (reaches(position, sample.position)) return now - sample.askedAt;
  }
  return Infinity;
}
