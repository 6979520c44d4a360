/**
 * Decides whether a primary should be replaced. The view of one instance is not
 * enough: a majority of endpoints, or a majority of the instances that monitor
 * the group, must have lost the primary too.
 */
import {majorityOf} from '@quetzalreel/position';
import type {FailoverLimits} from './failover-state.js';
import {
  type EndpointView,
  type GroupView,
  Responsiveness,
  primaryOf,
  writablePrimary,
} from './view.js';

/** A peer's report that it has lost contact with the primary of a term. */
export interface PeerSuspicion {
  readonly term: number;
  /** When it was received, in monotonic milliseconds. */
  readonly heardAt: number;
}

/** Input for confirming a suspicion. */
export interface SuspicionEvidence {
  readonly view: GroupView;
  readonly limits: FailoverLimits;
  readonly now: number;
  /**
   * When this instance started to suspect the primary, in monotonic
   * milliseconds.
   */
  readonly since: number;
  /** Suspicions received from peers, by instance name. */
  readonly peers: ReadonlyMap<string, PeerSuspicion>;
  /** Number of instances that monitor the group, including this one. */
  readonly watchers: number;
}

/** Whether, as far as this instance knows, no primary can take writes. */
export function isPrimarySuspect(
  view: GroupView,
  limits: FailoverLimits,
  now: number,
): boolean {
  const primary = primaryOf(view);
  if (!primary) return hasStatusOfMajority(view);
  if (!writablePrimary(view)) return true;
  if (primary.reach === Responsiveness.Down) return true;
  return msSinceResponse(primary, now) >= limits.suspectAfterMs;
}

/**
 * Milliseconds since the last sign that the endpoint is alive: an answered
 * status request (by its send time) or a statement's response.
 */
function msSinceResponse(endpoint: EndpointView, now: number): number {
  return now - Math.max(endpoint.askedAt, endpoint.heardAt);
}

/** Whether replicas or peers confirm that the primary is lost. */
export function isConfirmed(evidence: SuspicionEvidence): boolean {
  if (isFailoverUnfinished(evidence.view)) return true;
  return isConfirmedByReplicas(evidence) || isConfirmedByPeers(evidence);
}

/**
 * Whether an endpoint has promised a higher term than the primary's: a failover
 * has started and not finished.
 */
export function isFailoverUnfinished(view: GroupView): boolean {
  return primaryOf(view) !== undefined && !writablePrimary(view);
}

/**
 * Whether as many replicas as make a majority of the group's endpoints have
 * lost the primary. Only statuses requested since the suspicion count, because
 * an instance that was paused still has old ones.
 */
function isConfirmedByReplicas(evidence: SuspicionEvidence): boolean {
  const {view, limits, since} = evidence;
  const primary = primaryOf(view);
  let count = 0;
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary || endpoint.reach !== Responsiveness.Up) continue;
    if (endpoint.askedAt < since) continue;
    if (!primary || hasLostPrimary(endpoint, limits)) count++;
  }
  return count >= majorityOf(view.endpoints.size);
}

function hasLostPrimary(
  replica: EndpointView,
  limits: FailoverLimits,
): boolean {
  const status = replica.status;
  if (!status) return false;
  if (status.upstreamRefused) return true;
  return (status.upstreamSilenceMs ?? 0) >= limits.replicaSilenceMs;
}

/**
 * Whether a majority of the instances that monitor the group has lost the
 * primary for at least `stepMs`. Callers then can't reach it, even if its
 * replicas can. A slow primary responds within that time and is not replaced.
 */
function isConfirmedByPeers(evidence: SuspicionEvidence): boolean {
  const {view, limits, now, peers, watchers} = evidence;
  const primary = primaryOf(view);
  if (!primary || msSinceResponse(primary, now) < limits.stepMs) return false;
  let count = 1;
  for (const {term, heardAt} of peers.values()) {
    if (term !== primary.status!.term) continue;
    if (now - heardAt < limits.stepMs) count++;
  }
  return watchers > 1 && count >= majorityOf(watchers);
}

function hasStatusOfMajority(view: GroupView): boolean {
  let known = 0;
  for (const {status} of view.endpoints.values()) if (status) known++;
  return known >= majorityOf(view.endpoints.size);
}
