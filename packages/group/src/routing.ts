/** Chooses the endpoint of a request. Pure functions of a view. */
import {type Position, isAtLeast} from '@quetzalreel/position';
import {MAX_WAIT_FRACTION, catchUpMs} from './catch-up.js';
import {Reason} from './request.js';
import type {GroupRequest} from './request.js';
import {
  type EndpointView,
  type GroupView,
  Reach,
  currentAsOf,
  primaryOf,
  writablePrimary,
} from './view.js';

/** An endpoint was chosen, or none can take the request now. */
export type EndpointChoice =
  {readonly endpoint: EndpointView; readonly reason: Reason} | undefined;

/** A request with its floor known. */
export type RequestWithFloor = GroupRequest & {readonly floor: Position};

/**
 * Distance of an endpoint in another data centre, added to what was measured
 * on it: a round trip between data centres, so that noise does not win.
 */
const REMOTE_MS = 1;
/** Cost of an endpoint that nothing was timed on yet, in milliseconds. */
const UNTIMED_MS = 1;
/** Time in which an old measurement loses half its weight. */
const LATENCY_HALF_LIFE_MS = 5000;

/** Chooses for any request; undefined means that it has to wait. */
export function chooseEndpoint(
  view: GroupView,
  req: RequestWithFloor,
  now: number,
  dataCentre = '',
): EndpointChoice {
  return req.needsPrimary
    ? choosePrimary(view, req, Reason.Write)
    : chooseRead(view, req, now, dataCentre);
}

function choosePrimary(
  view: GroupView,
  req: RequestWithFloor,
  reason: Reason,
): EndpointChoice {
  const primary = req.needsPrimary ? writablePrimary(view) : primaryOf(view);
  if (!primary || primary.reach !== Reach.Up) return undefined;
  if (req.needsPrimary && req.avoid.includes(primary.cfg.name)) {
    return undefined;
  }
  // It refused a write after this status was asked for: a change is under way.
  if (req.needsPrimary && primary.askedAt <= primary.readOnlyAt) {
    return undefined;
  }
  // A primary holds all of its own term, so a floor of that term is reached
  // even when its last sample is older.
  if (primary.status!.term < req.floor.term) return undefined;
  return hasRoom(primary) ? {endpoint: primary, reason} : undefined;
}

/** A replica that keeps every promise, else the primary. */
export function chooseRead(
  view: GroupView,
  req: RequestWithFloor,
  now: number,
  dataCentre: string,
): EndpointChoice {
  const primary = primaryOf(view);
  let why: Reason = Reason.NoReplicaUp;
  let best: EndpointView | undefined;
  let least = Infinity;
  let awaited = false;
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary) continue;
    const obstacle = obstacleTo(view, endpoint, req, now);
    if (obstacle) {
      why = laterReason(why, obstacle);
      const isBehind = obstacle === Reason.NoReplicaAtFloor;
      if (isBehind && isWorthWaiting(view, endpoint, req, now)) awaited = true;
      continue;
    }
    const cost = costOf(endpoint, dataCentre, now);
    if (cost >= least) continue;
    best = endpoint;
    least = cost;
  }
  if (best) return {endpoint: best, reason: Reason.ReplicaFresh};
  if (awaited || !isPrimaryConfirmed(view, req, now)) return undefined;
  return choosePrimary(view, req, why);
}

/** Whether a replica will hold the floor within the read's budget. */
function isWorthWaiting(
  view: GroupView,
  replica: EndpointView,
  req: RequestWithFloor,
  now: number,
): boolean {
  if (!hasRoom(replica)) return false;
  const budgetMs = (req.deadline - req.arrivedAt) * MAX_WAIT_FRACTION;
  const leftMs = req.arrivedAt + budgetMs - now;
  return leftMs > 0 && catchUpMs(view, replica, req.floor, now) <= leftMs;
}

/**
 * Whether the primary is known to be the only one as recently as the read
 * needs. One that was cut off and replaced believes it still leads.
 */
export function isPrimaryConfirmed(
  view: GroupView,
  req: RequestWithFloor,
  now: number,
): boolean {
  return isYoungEnough(view.confirmed.at, req, now);
}

/** Whether data that is current as of a time will do for a read. */
function isYoungEnough(
  asOf: number,
  req: RequestWithFloor,
  now: number,
): boolean {
  return asOf >= req.arrivedAt || now - asOf <= req.kind.maxAgeMs;
}

/** Time that a read is likely to take, for comparing endpoints. */
function costOf(
  endpoint: EndpointView,
  dataCentre: string,
  now: number,
): number {
  const {latencyMs, timedAt, busy, capacity, cfg} = endpoint;
  const weight = 0.5 ** ((now - timedAt) / LATENCY_HALF_LIFE_MS);
  const measured = latencyMs === undefined ? 0 : latencyMs * weight;
  const known = latencyMs === undefined ? 0 : weight;
  const expected = measured + UNTIMED_MS * (1 - known);
  const distance = cfg.dataCentre === dataCentre ? 0 : REMOTE_MS;
  return ((expected + distance) * (busy + 1)) / capacity;
}

/** What keeps a replica from serving a read; undefined when nothing does. */
function obstacleTo(
  view: GroupView,
  replica: EndpointView,
  req: RequestWithFloor,
  now: number,
): Reason | undefined {
  const status = replica.status;
  if (!status || replica.reach !== Reach.Up || replica.cfg.leaving) {
    return Reason.NoReplicaUp;
  }
  if (req.avoid.includes(replica.cfg.name)) return Reason.NoReplicaUp;
  if (!isAtLeast(status.last, req.floor)) return Reason.NoReplicaAtFloor;
  if (!isYoungEnough(currentAsOf(view, status.last), req, now)) {
    return Reason.NoReplicaYoungEnough;
  }
  return hasRoom(replica) ? undefined : Reason.NoReplicaFree;
}

/** The obstacle that came closest to being no obstacle tells most. */
const OBSTACLES: readonly Reason[] = [
  Reason.NoReplicaUp,
  Reason.NoReplicaAtFloor,
  Reason.NoReplicaYoungEnough,
  Reason.NoReplicaFree,
];

function laterReason(a: Reason, b: Reason): Reason {
  return OBSTACLES.indexOf(b) > OBSTACLES.indexOf(a) ? b : a;
}

function hasRoom(endpoint: EndpointView): boolean {
  return endpoint.busy < endpoint.capacity;
}
