/** Chooses the endpoint for a request. All functions are pure. */
import {type Position, isAtLeast} from '@quetzalreel/position';
import {MAX_WAIT_FRACTION, catchUpMs} from './catch-up.js';
import {RoutingReason} from './request.js';
import type {GroupRequest} from './request.js';
import {
  type EndpointView,
  type GroupView,
  Responsiveness,
  currentAsOf,
  primaryOf,
  writablePrimary,
} from './view.js';

/** The chosen endpoint; undefined if none can take the request now. */
export type EndpointChoice =
  {readonly endpoint: EndpointView; readonly reason: RoutingReason} | undefined;

/** A request whose floor is known. */
export type RequestWithFloor = GroupRequest & {readonly floor: Position};

/**
 * Latency penalty for an endpoint in another data centre, about one round trip
 * between data centres. Without it, measurement noise would route requests to a
 * remote data centre.
 */
const REMOTE_LATENCY_MS = 1;
/** Assumed latency of an endpoint without a recent measurement. */
const DEFAULT_LATENCY_MS = 1;
/** Half-life of a latency measurement's weight. */
const LATENCY_HALF_LIFE_MS = 5000;

/**
 * Chooses an endpoint for any request; undefined if the request has to wait.
 */
export function chooseEndpoint(
  view: GroupView,
  req: RequestWithFloor,
  now: number,
  dataCentre = '',
): EndpointChoice {
  return req.needsPrimary
    ? choosePrimary(view, req, RoutingReason.Write)
    : chooseRead(view, req, now, dataCentre);
}

function choosePrimary(
  view: GroupView,
  req: RequestWithFloor,
  reason: RoutingReason,
): EndpointChoice {
  const primary = req.needsPrimary ? writablePrimary(view) : primaryOf(view);
  if (!primary || primary.reach !== Responsiveness.Up) return undefined;
  if (req.needsPrimary && req.avoid.includes(primary.cfg.name)) {
    return undefined;
  }
  // The primary rejected a write as read-only, and no newer status is known: a
  // failover is in progress.
  if (req.needsPrimary && primary.askedAt <= primary.readOnlyAt) {
    return undefined;
  }
  // A primary has every record of its own term, so it satisfies a floor of that
  // term even if its last known position is older.
  if (primary.status!.term < req.floor.term) return undefined;
  return hasFreeSlot(primary) ? {endpoint: primary, reason} : undefined;
}

/**
 * Chooses the cheapest replica that meets the read's consistency requirements,
 * else the primary.
 */
export function chooseRead(
  view: GroupView,
  req: RequestWithFloor,
  now: number,
  dataCentre: string,
): EndpointChoice {
  const primary = primaryOf(view);
  let fallbackReason: RoutingReason = RoutingReason.NoReplicaUp;
  let best: EndpointView | undefined;
  let lowestCost = Infinity;
  let shouldWait = false;
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary) continue;
    const obstacle = obstacleTo(view, endpoint, req, now);
    if (obstacle) {
      fallbackReason = closerObstacle(fallbackReason, obstacle);
      const isBehind = obstacle === RoutingReason.NoReplicaAtFloor;
      if (isBehind && isWorthWaiting(view, endpoint, req, now)) {
        shouldWait = true;
      }
      continue;
    }
    const cost = costOf(endpoint, dataCentre, now);
    if (cost >= lowestCost) continue;
    best = endpoint;
    lowestCost = cost;
  }
  if (best) return {endpoint: best, reason: RoutingReason.ReplicaFresh};
  if (shouldWait || !isPrimaryConfirmed(view, req, now)) return undefined;
  return choosePrimary(view, req, fallbackReason);
}

/**
 * Whether a replica is expected to reach the floor within the time that the
 * read may wait for it.
 */
function isWorthWaiting(
  view: GroupView,
  replica: EndpointView,
  req: RequestWithFloor,
  now: number,
): boolean {
  if (!hasFreeSlot(replica)) return false;
  const budgetMs = (req.deadline - req.arrivedAt) * MAX_WAIT_FRACTION;
  const leftMs = req.arrivedAt + budgetMs - now;
  return leftMs > 0 && catchUpMs(view, replica, req.floor, now) <= leftMs;
}

/**
 * Whether it was confirmed recently enough for this read that the primary has
 * not been replaced. A partitioned primary that was replaced still considers
 * itself primary.
 */
export function isPrimaryConfirmed(
  view: GroupView,
  req: RequestWithFloor,
  now: number,
): boolean {
  return isYoungEnough(view.confirmed.at, req, now);
}

/** Whether data that was current at `asOf` is fresh enough for a read. */
function isYoungEnough(
  asOf: number,
  req: RequestWithFloor,
  now: number,
): boolean {
  return asOf >= req.arrivedAt || now - asOf <= req.kind.maxAgeMs;
}

/**
 * Estimated latency of a read under the endpoint's current load, for comparing
 * endpoints.
 */
function costOf(
  endpoint: EndpointView,
  dataCentre: string,
  now: number,
): number {
  const {latencyMs, timedAt, busy, capacity, cfg} = endpoint;
  const weight = 0.5 ** ((now - timedAt) / LATENCY_HALF_LIFE_MS);
  const measured = latencyMs === undefined ? 0 : latencyMs * weight;
  const measuredWeight = latencyMs === undefined ? 0 : weight;
  const expected = measured + DEFAULT_LATENCY_MS * (1 - measuredWeight);
  const distance = cfg.dataCentre === dataCentre ? 0 : REMOTE_LATENCY_MS;
  return ((expected + distance) * (busy + 1)) / capacity;
}

/** Why a replica can't serve a read; undefined if it can. */
function obstacleTo(
  view: GroupView,
  replica: EndpointView,
  req: RequestWithFloor,
  now: number,
): RoutingReason | undefined {
  const status = replica.status;
  if (!status || replica.reach !== Responsiveness.Up || replica.cfg.leaving) {
    return RoutingReason.NoReplicaUp;
  }
  if (req.avoid.includes(replica.cfg.name)) return RoutingReason.NoReplicaUp;
  if (!isAtLeast(status.last, req.floor)) return RoutingReason.NoReplicaAtFloor;
  if (!isYoungEnough(currentAsOf(view, status.last), req, now)) {
    return RoutingReason.NoReplicaYoungEnough;
  }
  return hasFreeSlot(replica) ? undefined : RoutingReason.NoReplicaFree;
}

/**
 * Obstacles in the order in which a replica is checked. The log gets the last
 * one, from the replica that passed the most checks.
 */
const OBSTACLES: readonly RoutingReason[] = [
  RoutingReason.NoReplicaUp,
  RoutingReason.NoReplicaAtFloor,
  RoutingReason.NoReplicaYoungEnough,
  RoutingReason.NoReplicaFree,
];

function closerObstacle(a: RoutingReason, b: RoutingReason): RoutingReason {
  return OBSTACLES.indexOf(b) > OBSTACLES.indexOf(a) ? b : a;
}

function hasFreeSlot(endpoint: EndpointView): boolean {
  return endpoint.busy < endpoint.capacity;
}
