/** What the parts of a session share. */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  type CallerRequest,
  type EndpointRequest,
  ErrorCode,
  SessionState,
  localError,
} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';
import type {
  GroupRuntime,
  ConnectionLease,
  ConnectionRequest,
} from './group-types.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import {
  NO_SETTINGS,
  type PreparedStatement,
  type SessionSettings,
} from './pooled-connection.js';
import {type Need, PRIMARY_NEED} from './placement.js';
import {ReadRule, type Route} from './routes.js';
import type {TriedEndpoints} from './tried-endpoints.js';

/** What a session remembers between its requests. */
export interface SessionData {
  settings: SessionSettings;
  /** Prepared statements by the caller's names. */
  readonly prepared: Map<string, PreparedStatement>;
  /** Position of the session's newest commit in each group. */
  readonly floors: Map<string, Position>;
}

/** A session that has done nothing yet. */
export function newSessionData(): SessionData {
  return {settings: NO_SETTINGS, prepared: new Map(), floors: new Map()};
}

/** What serving one request works with. */
export interface ServeContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly route: Route;
  readonly group: GroupRuntime;
  readonly memory: SessionData;
  /** When the request came, monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Whether the caller has left. */
  readonly hasDisconnected: () => boolean;
}

/**
 * What a read needs now: the primary, or a log that holds what the route and
 * the session ask; the primary also when no sample tells what that is.
 */
export function readNeed(
  {route, group, memory}: ServeContext,
  tried: TriedEndpoints,
): Need {
  if (route.rule === ReadRule.Primary) return PRIMARY_NEED;
  const floor =
    route.rule === ReadRule.OwnWrites
      ? memory.floors.get(group.name)
      : undefined;
  const atLeast = group.required(route.maxStalenessMs, floor);
  if (!atLeast) return PRIMARY_NEED;
  const need = {primaryOnly: false, atLeast, avoid: tried.avoid};
  if (!group.canServe(need)) tried.retryBusy();
  return need;
}

/** Notes that an endpoint refused the request. */
export function noteRefusal(
  tried: TriedEndpoints,
  endpoint: string,
  code: ErrorCode,
): void {
  if (code === ErrorCode.Busy) tried.noteBusy(endpoint);
  else tried.noteUnfit(endpoint);
}

/** Waits for a place for what `need` tells; undefined when there was none. */
export async function acquireConnection(
  context: ServeContext,
  primaryOnly: boolean,
  need: () => Need,
): Promise<ConnectionLease | undefined> {
  const {clock, group, route, metrics} = context;
  const since = clock.now();
  const lease = await group.acquire(placeRequest(context, primaryOnly, need));
  metrics.observeWait(route.rule, clock.now() - since);
  return lease;
}

function placeRequest(
  context: ServeContext,
  primaryOnly: boolean,
  need: () => Need,
): ConnectionRequest {
  const {route, memory, arrivedAt, hasDisconnected: hasLeft} = context;
  return {
    primaryOnly,
    need,
    priority: route.priority,
    settingsKey: memory.settings.key,
    objectiveAt: arrivedAt + route.objectiveMs,
    deadline: deadlineOf(context),
    hasDisconnected: hasLeft,
  };
}

/** When the request must have its answer. */
export function deadlineOf({route, arrivedAt}: ServeContext): number {
  return arrivedAt + route.statementTimeoutMs;
}

/** Makes the caller's statement a request to the endpoint of `lease`. */
export function forwardRequest(
  {memory}: ServeContext,
  lease: ConnectionLease,
  req: CallerRequest,
  atLeast?: Position,
): EndpointRequest {
  const {statement, id, text} = req;
  if (statement.type !== 'execute') {
    return {type: 'forward', id, text, atLeast};
  }
  const prepared = memory.prepared.get(statement.name)!;
  const name = lease.pooled.statementName(prepared);
  return {type: 'execute', id, name, args: statement.args, atLeast};
}

/** Says that nothing was run because no endpoint could serve it. */
export function noEndpointAvailable(
  context: ServeContext,
  req: CallerRequest,
  state: SessionState,
  why: string,
): Answer {
  const {clock, group, log, arrivedAt} = context;
  log.info({
    event: 'refused',
    id: req.id,
    group: group.name,
    why,
    waitedMs: Math.round(clock.now() - arrivedAt),
    primary: group.primary?.listed.id,
    outOfReach: group.isUnreachableLocally,
  });
  return localError(ErrorCode.Busy, `not run: ${why}; try again`, state);
}

/** Raises the session's floor to a commit's position. */
export function noteCommit(
  {memory, group}: ServeContext,
  answer: Answer,
): void {
  if (answer.position) memory.floors.set(group.name, answer.position);
}
