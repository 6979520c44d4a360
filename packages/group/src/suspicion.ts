/**
 * Whether a primary is to be replaced. One instance's view is not enough: its
 * replicas must miss it too, or most instances that watch the group must.
 */
import {majorityOf} from '@quetzalreel/position';
import type {FailoverLimits} from './failover-state.js';
import {
  type EndpointView,
  type GroupView,
  Reach,
  primaryOf,
  writablePrimary,
} from './view.js';

/** Another instance has lost the primary of a term. */
export interface PeerSuspicion {
  readonly term: number;
  /** When it was heard, monotonic milliseconds. */
  readonly heardAt: number;
}

/** What a suspicion is weighed on. */
export interface SuspicionEvidence {
  readonly view: GroupView;
  readonly limits: FailoverLimits;
  readonly now: number;
  /** When this instance began to suspect, monotonic milliseconds. */
  readonly since: number;
  /** What other instances have told, by their names. */
  readonly peers: ReadonlyMap<string, PeerSuspicion>;
  /** Instances that watch the group, this one included. */
  readonly watchers: number;
}

/** Whether this instance sees no primary that could take a write. */
export function isPrimarySuspect(
  view: GroupView,
  limits: FailoverLimits,
  now: number,
): boolean {
  const primary = primaryOf(view);
  if (!primary) return knowsMajority(view);
  if (!writablePrimary(view)) return true;
  if (primary.reach === Reach.Down) return true;
  return silenceOf(primary, now) >= limits.suspectAfterMs;
}

/** Milliseconds since a question that the endpoint has answered. */
function silenceOf(endpoint: EndpointView, now: number): number {
  return now - Math.max(endpoint.askedAt, endpoint.heardAt);
}

/** Whether others agree that the primary is gone. */
export function isConfirmed(evidence: SuspicionEvidence): boolean {
  if (isFailoverUnfinished(evidence.view)) return true;
  return replicasMiss(evidence) || peersMiss(evidence);
}

/** Whether a higher term was promised than the one that is served. */
export function isFailoverUnfinished(view: GroupView): boolean {
  return primaryOf(view) !== undefined && !writablePrimary(view);
}

/**
 * Whether a majority of endpoints, the primary not counted, misses it. Only
 * statuses asked for since the suspicion count: an instance that was paused
 * holds old ones.
 */
function replicasMiss(evidence: SuspicionEvidence): boolean {
  const {view, limits, since} = evidence;
  const primary = primaryOf(view);
  let missing = 0;
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary || endpoint.reach !== Reach.Up) continue;
    if (endpoint.askedAt < since) continue;
    if (!primary || misses(endpoint, limits)) missing++;
  }
  return missing >= majorityOf(view.endpoints.size);
}

function misses(replica: EndpointView, limits: FailoverLimits): boolean {
  const status = replica.status;
  if (!status) return false;
  if (status.upstreamRefused) return true;
  return (status.upstreamSilenceMs ?? 0) >= limits.replicaSilenceMs;
}

/**
 * Whether most instances that watch the group have lost the primary for as
 * long as a step may take. Replicas that hear it don't help callers then. A
 * slow primary answers within that time and is not replaced.
 */
function peersMiss(evidence: SuspicionEvidence): boolean {
  const {view, limits, now, peers, watchers} = evidence;
  const primary = primaryOf(view);
  if (!primary || silenceOf(primary, now) < limits.stepMs) return false;
  let missing = 1;
  for (const {term, heardAt} of peers.values()) {
    if (term !== primary.status!.term) continue;
    if (now - heardAt < limits.stepMs) missing++;
  }
  return watchers > 1 && missing >= majorityOf(watchers);
}

function knowsMajority(view: GroupView): boolean {
  let known = 0;
  for (const {status} of view.endpoints.values()) if (status) known++;
  return known >= majorityOf(view.endpoints.size);
}
