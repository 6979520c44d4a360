/** Shared state and helpers of the parts of a session. */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  type CallerRequest,
  ErrorCode,
  type RequestOrigin,
  type StatementRequest,
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
import type {ClientAccount} from './accounts.js';
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
  /** On whose behalf the session runs. */
  readonly account: ClientAccount;
  /** When the request arrived, in monotonic milliseconds. */
  readonly arrivedAt: number;
  /** When the instance stops answering, in monotonic milliseconds. */
  readonly answerBy: () => number;
  /** Whether the caller has disconnected. */
  readonly hasDisconnected: () => boolean;
}

/** What the need of a statement depends on. */
export interface NeedContext {
  readonly route: Route;
  readonly group: Pick<GroupRuntime, 'name' | 'requiredPosition' | 'canServe'>;
  readonly sessionData: Pick<SessionData, 'floors'>;
}

/**
 * The current need of a read: the primary, or a log that has reached the
 * position required by the route and the session. Without a sample that
 * determines the position it is the primary.
 */
export function readNeed(
  {route, group, sessionData: memory}: NeedContext,
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

/** The current need of a statement or of a transaction. */
export function needOf(
  context: NeedContext,
  mayWrite: boolean,
  tried: TriedEndpoints,
): Need {
  return mayWrite ? PRIMARY_NEED : readNeed(context, tried);
}

/** Why no endpoint ran a request, in the error text of its caller. */
export const NotRunReason = {
  Read: 'no endpoint could serve it',
  Write: 'no primary takes writes',
  Transaction: 'no endpoint took the transaction',
} as const;

/** One of the values of `NotRunReason`. */
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** The error text for a request that no endpoint ran. */
export function notRunText(why: NotRunReason): string {
  return `not run: ${why}; try again`;
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
 * Waits for a connection for a statement or a transaction; resolves to undefined
 * when none was available in time.
 */
export async function acquireConnection(
  context: ServeContext,
  mayWrite: boolean,
  tried: TriedEndpoints,
): Promise<ConnectionLease | undefined> {
  const {clock, group, route, metrics} = context;
  const since = clock.now();
  const lease = await group.acquire(
    connectionRequest(context, mayWrite, tried),
  );
  metrics.observeWait(route.rule, clock.now() - since);
  return lease;
}

function connectionRequest(
  context: ServeContext,
  mayWrite: boolean,
  tried: TriedEndpoints,
): ConnectionRequest {
  const {route, account, hasDisconnected, sessionData: memory} = context;
  return {
    primaryOnly: mayWrite || route.rule === ReadRule.Primary,
    need: () => needOf(context, mayWrite, tried),
    priority: route.priority,
    account: account.name,
    accountPriority: account.priority,
    settingsKey: memory.settings.key,
    objectiveAt: objectiveOf(context),
    deadline: deadlineOf(context),
    hasDisconnected,
  };
}

/** When the route's objective for the request ends. */
function objectiveOf({route, arrivedAt}: ServeContext): number {
  return arrivedAt + route.objectiveMs;
}

/** What relays are told of the request. */
export function originOf(context: ServeContext): RequestOrigin {
  const {clock, route, account} = context;
  const now = clock.now();
  return {
    account: account.name,
    priority: route.priority,
    accountPriority: account.priority,
    objectiveMs: Math.max(0, Math.round(objectiveOf(context) - now)),
    deadlineMs: Math.max(0, Math.round(deadlineOf(context) - now)),
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
  context: ServeContext,
  lease: ConnectionLease,
  req: CallerRequest,
  atLeast?: Position,
): StatementRequest {
  const {sessionData: memory} = context;
  const {statement, id, text} = req;
  const origin = originOf(context);
  if (statement.type !== 'execute') {
    return {type: 'forward', id, text, atLeast, origin};
  }
  const prepared = memory.prepared.get(statement.name)!;
  const name = lease.pooled.statementName(prepared);
  const {args} = statement;
  return {type: 'execute', id, name, args, atLeast, origin};
}

/**
 * The error answer for a request that was not run because no endpoint could
 * serve it.
 */
export function noEndpointAvailable(
  context: ServeContext,
  req: CallerRequest,
  state: SessionState,
  why: NotRunReason,
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
  return localError(ErrorCode.Busy, notRunText(why), state);
}

/** Raises the minimum position of the session's reads to that of a commit. */
export function noteCommit(
  {sessionData: memory, group}: ServeContext,
  answer: Answer,
): void {
  if (answer.position) memory.floors.set(group.name, answer.position);
}
