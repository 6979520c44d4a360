/** Chooses the endpoint of a request. Pure functions of a view. */
import {type Position, reaches} from '@quetzalreel/position';
import {Reason} from './request.js';
import type {GroupRequest} from './request.js';
import {
  type EndpointView,
  type GroupView,
  Reach,
  ageOf,
  primaryOf,
  writablePrimary,
} from './view.js';

/** An endpoint was chosen, or none can take the request now. */
export type Choice =
  {readonly endpoint: EndpointView; readonly reason: Reason} | undefined;

/** A request with its floor known. */
export type FlooredRequest = GroupRequest & {readonly floor: Position};

/** Chooses for any request; undefined means that it has to wait. */
export function choose(
  view: GroupView,
  req: FlooredRequest,
  now: number,
): Choice {
  return req.needsPrimary
    ? choosePrimary(view, req, Reason.Write)
    : chooseRead(view, req, now);
}

function choosePrimary(
  view: GroupView,
  req: FlooredRequest,
  reason: Reason,
): Choice {
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
  req: FlooredRequest,
  now: number,
): Choice {
  const primary = primaryOf(view);
  let why: Reason = Reason.NoReplicaUp;
  let best: EndpointView | undefined;
  for (const endpoint of view.endpoints.values()) {
    if (endpoint === primary) continue;
    const obstacle = obstacleTo(view, endpoint, req, now);
    if (obstacle) {
      why = laterReason(why, obstacle);
      continue;
    }
    if (!best || load(endpoint) < load(best)) best = endpoint;
  }
  if (best) return {endpoint: best, reason: Reason.ReplicaFresh};
  return choosePrimary(view, req, why);
}

/** What keeps a replica from serving a read; undefined when nothing does. */
function obstacleTo(
  view: GroupView,
  replica: EndpointView,
  req: FlooredRequest,
  now: number,
): Reason | undefined {
  const status = replica.status;
  if (!status || replica.reach !== Reach.Up || replica.cfg.leaving) {
    return Reason.NoReplicaUp;
  }
  if (req.avoid.includes(replica.cfg.name)) return Reason.NoReplicaUp;
  if (!reaches(status.last, req.floor)) return Reason.NoReplicaAtFloor;
  if (ageOf(view, status.last, now) > req.kind.maxAgeMs) {
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

function load(endpoint: EndpointView): number {
  return endpoint.busy / endpoint.capacity;
}
