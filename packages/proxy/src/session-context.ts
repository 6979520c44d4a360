/** Shared state and helpers of the parts of a session. */
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

/** The state that a session keeps between its requests. */
export interface SessionData {
  settings: SessionSettings;
  /** Prepared statements, by the caller's names. */
  readonly prepared: Map<string, PreparedStatement>;
  /** Memory that `prepared` takes, in bytes. */
  preparedBytes: number;
  /**
   * Position of the session's newest commit in each group; its reads must not
   * go below it.
   */
  readonly floors: Map<string, Position>;
}

/** The state of a new session. */
export function newSessionData(): SessionData {
  return {
    settings: NO_SETTINGS,
    prepared: new Map(),
    preparedBytes: 0,
    floors: new Map(),
  };
}

/** Dependencies and state for serving one request. */
export interface ServeContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly route: Route;
  readonly group: GroupRuntime;
  readonly sessionData: SessionData;
  /** When the request arrived, in monotonic milliseconds. */
  readonly arrivedAt: number;
  /** When the instance stops answering, in monotonic milliseconds. */
  readonly answerBy: () => number;
  /** Whether the caller has disconnected. */
  readonly hasDisconnected: () => boolean;
}

/**
 * The current need of a read: the primary, or a log that has reached the
 * position required by the route and the session. Without a sample that
 * determines the position it is the primary.
 */
export function readNeed(
  {route, group, sessionData: memory}: ServeContext,
  tried: TriedEndpoints,
): Need {
  if (route.rule === ReadRule.Primary) return PRIMARY_NEED;
  const floor =
    route.rule === ReadRule.OwnWrites
      ? memory.floors.get(group.name)
      : undefined;
  const atLeast = group.requiredPosition(route.maxStalenessMs, floor);
  if (!atLeast) return PRIMARY_NEED;
  const need = {primaryOnly: false, atLeast, avoid: tried.avoid};
  if (!group.canServe(need)) tried.retryBusy();
  return need;
}

/** Records that an endpoint refused the request. */
export function noteRefusal(
  tried: TriedEndpoints,
  endpoint: string,
  code: ErrorCode,
): void {
  if (code === ErrorCode.Busy) tried.noteBusy(endpoint);
  else tried.noteUnfit(endpoint);
}

/**
 * Waits for a connection that satisfies `need`; resolves to undefined when none
 * was available in time.
 */
export async function acquireConnection(
  context: ServeContext,
  primaryOnly: boolean,
  need: () => Need,
): Promise<ConnectionLease | undefined> {
  const {clock, group, route, metrics} = context;
  const since = clock.now();
  const lease = await group.acquire(
    connectionRequest(context, primaryOnly, need),
  );
  metrics.observeWait(route.rule, clock.now() - since);
  return lease;
}

function connectionRequest(
  context: ServeContext,
  primaryOnly: boolean,
  need: () => Need,
): ConnectionRequest {
  const {route, sessionData: memory, arrivedAt, hasDisconnected} = context;
  return {
    primaryOnly,
    need,
    priority: route.priority,
    settingsKey: memory.settings.key,
    objectiveAt: arrivedAt + route.objectiveMs,
    deadline: deadlineOf(context),
    hasDisconnected,
  };
}

/** When the request must be answered. */
export function deadlineOf({route, arrivedAt, answerBy}: ServeContext): number {
  return Math.min(arrivedAt + route.statementTimeoutMs, answerBy());
}

/**
 * Converts the caller's statement to a request on the connection of `lease`.
 */
export function forwardRequest(
  {sessionData: memory}: ServeContext,
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

/**
 * The error answer for a request that was not run because no endpoint could
 * serve it.
 */
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

/** Raises the minimum position of the session's reads to that of a commit. */
export function noteCommit(
  {sessionData: memory, group}: ServeContext,
  answer: Answer,
): void {
  if (answer.position) memory.floors.set(group.name, answer.position);
}
