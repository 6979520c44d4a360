/**
 * Describes where a request would go now and why, and what this instance knows
 * of its groups. The functions that decide on requests are asked; nothing is
 * sent, and no state is changed.
 */
import type {Position} from '@quetzalreel/position';
import {ErrorCode} from '@quetzalreel/requests';
import type {AccountQuotaState} from '@quetzalreel/quota';
import {
  type CallerIdentity,
  type ClientAccount,
  NO_ACCOUNT,
  accountFor,
} from './accounts.js';
import {
  type GroupRuntime,
  OWN_REQUESTS,
  type RequestSource,
} from './group-types.js';
import type {EndpointLink} from './endpoint-link.js';
import {
  type UnusableReason,
  inFlightLimit,
  unusableReason,
} from './link-placement.js';
import {
  type Need,
  Obstacle,
  type PlacementOption,
  costOf,
  missingCapacity,
  obstacleTo,
} from './placement.js';
import type {PlacementDecision} from './placement-decision.js';
import {ReadRule, type Route, type RoutingTable} from './routes.js';
import {
  NotRunReason,
  needOf,
  newSessionData,
  notRunText,
} from './session-context.js';
import {
  type SessionRefusal,
  routeRefusal,
  sessionRefusal,
} from './session-refusal.js';
import {noneTried} from './tried-endpoints.js';

/** The kinds of statements that can be explained. */
export const StatementKind = {
  Read: 'read',
  Write: 'write',
  /** The first statement of a transaction that may write. */
  Begin: 'begin',
  /** The first statement of a transaction that only reads. */
  BeginRead: 'beginRead',
} as const;

/** One of the values of `StatementKind`. */
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];

/** A request to explain. */
export interface ExplainQuery {
  /** Name of a database, or of a route. */
  readonly target:
    | {readonly type: 'database'; readonly name: string}
    | {readonly type: 'route'; readonly name: string};
  /** On whose behalf; undefined for a caller without a key. */
  readonly caller: CallerIdentity | undefined;
  readonly statement: StatementKind;
  /** Position of the newest commit of the session in the group. */
  readonly position: Position | undefined;
}

/** The client account of a request. */
export interface AccountDescription {
  readonly name: string;
  readonly priority: number;
}

/** How many statements this instance may have in flight at an endpoint. */
export interface LimitDescription {
  readonly inFlight: number;
  readonly most: number;
  readonly slots: number;
  /** When and why the limit last changed. */
  readonly changedMsAgo?: number;
  readonly changedBecause?: string;
}

/** The connections of this instance to an endpoint. */
export interface ConnectionDescription {
  /** In use, idle and being opened. */
  readonly open: number;
  readonly idle: number;
  /** Idle connections that do not go through a relay. */
  readonly idleDirect: number;
  /** Most connections that the sharing plan allows to this instance. */
  readonly most: number;
  /** Whether the sharing plan gives this instance connections of its own. */
  readonly isHolder: boolean;
  /** Instances that relay for this one, in order of preference. */
  readonly holders: readonly string[];
  /** Whether a peer relays since the endpoint does not answer directly. */
  readonly isOnDetour: boolean;
}

/** An endpoint as this instance knows it. Times are in milliseconds. */
export interface EndpointDescription {
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly state: UnusableReason | 'ready';
  readonly role: 'primary' | 'replica';
  readonly position: Position | undefined;
  /** Time since the last contact; undefined if there was none. */
  readonly knownMsAgo: number | undefined;
  /** Age of the oldest request without an answer; undefined for none. */
  readonly silentMs: number | undefined;
  readonly answerMs: number;
  readonly limit: LimitDescription;
  readonly connections: ConnectionDescription;
}

/** By how much a log lacks what a request needs; zeros if by nothing. */
export interface Lag {
  readonly terms: number;
  /** Records missing within the term; 0 if terms are missing. */
  readonly records: number;
}

/** Why an endpoint does not get the request. */
export type Rejection =
  | Exclude<Obstacle, typeof Obstacle.Unusable>
  | UnusableReason
  /** Only relayed connections may be used for the primary now. */
  | 'notPermitted'
  /** Another endpoint is expected to be faster. */
  | 'slower';

/** An endpoint with respect to one request. */
export interface EndpointVerdict extends EndpointDescription {
  /** Undefined if any position will do, or the position is not known. */
  readonly lag: Lag | undefined;
  /** Expected time of the statement, weighted, in milliseconds. */
  readonly costMs: number;
  readonly isTaken: boolean;
  /** Why it does not get the request; undefined for the one that does. */
  readonly rejection: Rejection | undefined;
}

/** A group as this instance knows it. Times are in milliseconds. */
export interface GroupDescription {
  readonly group: string;
  /** Undefined if none is known. */
  readonly primary: string | undefined;
  /** Time since when none is known. */
  readonly primaryMissingMs: number | undefined;
  /** Whether the primary answers peers but not this instance. */
  readonly isPrimaryOutOfReach: boolean;
  /** Requests that wait for a connection. */
  readonly waiting: number;
}

/** What a request waits for. */
export const WaitCause = {
  /** A primary becomes known. */
  Primary: 'primary',
  /** The primary is silent or leaves: it answers, or another replaces it. */
  PrimaryChange: 'primaryChange',
  /** This instance may use the primary again. */
  Permission: 'permission',
  /** An idle connection to an endpoint. */
  Connection: 'connection',
  /** The end of a statement at an endpoint. */
  Limit: 'limit',
  /** An endpoint answers, or its log reaches the position. */
  Endpoint: 'endpoint',
} as const;

/** One of the values of `WaitCause`. */
export type WaitCause = (typeof WaitCause)[keyof typeof WaitCause];

/** What happens to the request. */
export type Outcome =
  | {
      readonly type: 'runs';
      readonly endpoint: string;
      /**
       * Whether its position is too old to tell that it lacks records; if it
       * does, it refuses the request, which then goes elsewhere.
       */
      readonly mayBeBehind: boolean;
    }
  | {
      readonly type: 'waits';
      readonly cause: WaitCause;
      /** The endpoints that could serve it then. */
      readonly endpoints: readonly string[];
      /** Requests that wait in the group already. */
      readonly waiting: number;
      /** The endpoint to which a connection is opened for it. */
      readonly opening: string | undefined;
      /** Longest wait, in milliseconds. */
      readonly atMostMs: number;
      /** The error after that time. */
      readonly otherwise: SessionRefusal;
    }
  | {
      readonly type: 'refused';
      /** Whether the session is refused, rather than the request alone. */
      readonly isSession: boolean;
      readonly error: SessionRefusal;
    };

/** What a request needs of an endpoint. */
export interface NeedDescription {
  readonly primaryOnly: boolean;
  /**
   * Why only the primary will do: the statement may write, the route's reads see
   * every commit, or no position that the primary confirmed is recent enough.
   */
  readonly primaryBecause: 'statement' | 'route' | 'noPosition' | undefined;
  readonly atLeast: Position | undefined;
}

/** Where a request would go now. */
export interface Explanation {
  readonly instance: string;
  readonly dataCentre: string;
  /** Of the configuration in force; 0 for none. */
  readonly generation: number;
  readonly statement: StatementKind;
  readonly account?: AccountDescription;
  /** Missing for an account without a limit. */
  readonly quota?: AccountQuotaState;
  readonly route: Route | undefined;
  readonly group: GroupDescription | undefined;
  readonly need: NeedDescription | undefined;
  readonly endpoints: readonly EndpointVerdict[];
  readonly outcome: Outcome;
}

/** What one instance knows, for operators. */
export interface InstanceDescription {
  readonly instance: string;
  readonly dataCentre: string;
  readonly generation: number;
  readonly takesSessions: boolean;
  readonly sessions: number;
  /** The accounts with limits. */
  readonly quotas: readonly AccountQuotaState[];
  readonly groups: ReadonlyArray<
    GroupDescription & {readonly endpoints: readonly EndpointDescription[]}
  >;
}

/** State of the instance that is described. */
export interface ExplainContext {
  readonly instance: string;
  readonly dataCentre: string;
  /** The configuration in force; undefined for none. */
  readonly table: RoutingTable | undefined;
  readonly groups: ReadonlyMap<string, GroupRuntime>;
  readonly quotas: readonly AccountQuotaState[];
  readonly takesSessions: boolean;
  readonly sessions: number;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Describes this instance. */
export function describeInstance(context: ExplainContext): InstanceDescription {
  const {instance, dataCentre, table, takesSessions, now} = context;
  const {sessions, quotas} = context;
  const groups = [...context.groups.values()].map(group => ({
    ...describeGroup(group, now),
    endpoints: group.optionsFor({}, OWN_REQUESTS).map(option => {
      const link = group.links.get(option.id)!;
      return describeEndpoint(link, option, now);
    }),
  }));
  const generation = table?.generation ?? 0;
  const of = {instance, dataCentre, generation, takesSessions, sessions};
  return {...of, quotas, groups};
}

/** Describes where a request would go now. */
export function explainRequest(
  query: ExplainQuery,
  context: ExplainContext,
): Explanation {
  const {instance, dataCentre, table, groups} = context;
  const {statement} = query;
  const generation = table?.generation ?? 0;
  const database = databaseOf(query, table);
  const account = accountFor(table, database, query.caller);
  const of = {
    instance,
    dataCentre,
    generation,
    statement,
    ...describeAccount(account, context),
  };
  const refusal = sessionRefusal(database, {...context, account});
  if (refusal) return {...of, ...NO_GROUP, outcome: refusedSession(refusal)};
  const route = table!.routes.get(database)!;
  const group = groups.get(route.group);
  if (!group) {
    const outcome = refusedSession(routeRefusal(database));
    return {...of, ...NO_GROUP, route, outcome};
  }
  const from = {
    priority: route.priority,
    account: (account ?? NO_ACCOUNT).name,
  };
  const found = explainOnGroup(query, route, group, from, context.now);
  return {...of, route, ...found};
}

/** The account and its quota; empty where there are no accounts. */
function describeAccount(
  account: ClientAccount | undefined,
  {quotas}: ExplainContext,
): Pick<Explanation, 'account' | 'quota'> {
  if (!account || account === NO_ACCOUNT) return {};
  const {name, priority} = account;
  const quota = quotas.find(item => item.account === name);
  return {account: {name, priority}, ...(quota && {quota})};
}

const NO_GROUP = {
  route: undefined,
  group: undefined,
  need: undefined,
  endpoints: [],
} as const;

/** The database of the query; an unknown route stands for itself. */
function databaseOf(
  {target}: ExplainQuery,
  table: RoutingTable | undefined,
): string {
  if (target.type === 'database') return target.name;
  for (const {name, database} of table?.routes.values() ?? []) {
    if (name === target.name) return database;
  }
  return target.name;
}

function refusedSession(error: SessionRefusal): Outcome {
  return {type: 'refused', isSession: true, error};
}

function explainOnGroup(
  {statement, position}: ExplainQuery,
  route: Route,
  group: GroupRuntime,
  from: RequestSource,
  now: number,
): Pick<Explanation, 'group' | 'need' | 'endpoints' | 'outcome'> {
  const need = currentNeed(route, group, statement, position);
  const options = group.optionsFor(need, from);
  const decision = group.decide(need, from);
  const view = {group, need, options, decision, now};
  const endpoints = options.map(option => verdictOn(option, view));
  return {
    group: describeGroup(group, now),
    need: describeNeed(need, route, statement),
    endpoints,
    outcome: outcomeOf(view, route, statement),
  };
}

/** The group and a decision of it. */
interface DecisionView {
  readonly group: GroupRuntime;
  readonly need: Need;
  readonly options: readonly PlacementOption[];
  readonly decision: PlacementDecision;
  readonly now: number;
}

function mayWrite(statement: StatementKind): boolean {
  return statement === StatementKind.Write || statement === StatementKind.Begin;
}

/** The need of a first attempt in a session that has seen `position`. */
function currentNeed(
  route: Route,
  group: GroupRuntime,
  statement: StatementKind,
  position: Position | undefined,
): Need {
  const sessionData = newSessionData();
  if (position) sessionData.floors.set(group.name, position);
  const {name, canServe} = group;
  const context = {
    route,
    sessionData,
    group: {name, canServe, requiredPosition: group.knownRequiredPosition},
  };
  return needOf(context, mayWrite(statement), noneTried());
}

function describeNeed(
  {primaryOnly, atLeast}: Need,
  {rule}: Route,
  statement: StatementKind,
): NeedDescription {
  if (!primaryOnly) return {primaryOnly, primaryBecause: undefined, atLeast};
  if (mayWrite(statement))
    return {primaryOnly, primaryBecause: 'statement', atLeast};
  const primaryBecause = rule === ReadRule.Primary ? 'route' : 'noPosition';
  return {primaryOnly, primaryBecause, atLeast};
}

function describeGroup(group: GroupRuntime, now: number): GroupDescription {
  const {missingSince} = group;
  return {
    group: group.name,
    primary: group.primary?.listed.id,
    primaryMissingMs: ageOf(missingSince, now),
    isPrimaryOutOfReach: group.isUnreachableLocally,
    waiting: group.waiting,
  };
}

function describeEndpoint(
  link: EndpointLink,
  option: PlacementOption,
  now: number,
): EndpointDescription {
  const {facts, listed, plan} = link;
  return {
    endpoint: listed.id,
    dataCentre: listed.dataCentre,
    state: unusableReason(link, option.isPrimary) ?? 'ready',
    role: option.isPrimary ? 'primary' : 'replica',
    position: option.position,
    knownMsAgo: ageOf(facts.lastContactAt, now),
    silentMs: ageOf(facts.unansweredSince, now),
    answerMs: Math.round(option.answerMs),
    limit: {
      inFlight: option.inFlight,
      most: Math.floor(inFlightLimit(link)),
      slots: option.slots,
    },
    connections: {
      open: link.connections,
      idle: link.idle,
      idleDirect: link.idleDirect,
      most: plan.maxOwnConnections,
      isHolder: plan.isHolder,
      holders: plan.holders.map(({instance}) => instance),
      isOnDetour: link.isOnDetour,
    },
  };
}

/** Whole milliseconds since `at`; undefined if that never was. */
function ageOf(at: number | undefined, now: number): number | undefined {
  if (at === undefined || !Number.isFinite(at)) return undefined;
  return Math.max(0, Math.round(now - at));
}

function verdictOn(
  option: PlacementOption,
  view: DecisionView,
): EndpointVerdict {
  const {group, need, decision, now} = view;
  const link = group.links.get(option.id)!;
  const isTaken = decision.type === 'take' && decision.endpoint === option.id;
  return {
    ...describeEndpoint(link, option, now),
    lag: lagOf(option.position, need.atLeast),
    costMs: Math.round(costOf(option)),
    isTaken,
    rejection: isTaken ? undefined : rejectionOf(link, option, view),
  };
}

function rejectionOf(
  link: EndpointLink,
  option: PlacementOption,
  {need, decision}: DecisionView,
): Rejection {
  const obstacle = obstacleTo(option, need) ?? missingCapacity(option);
  if (obstacle === Obstacle.Unusable)
    return unusableReason(link, option.isPrimary)!;
  if (obstacle) return obstacle;
  // It has capacity, so without a choice its idle connections aren't permitted.
  return decision.type === 'take' ? 'slower' : 'notPermitted';
}

function lagOf(
  position: Position | undefined,
  needed: Position | undefined,
): Lag | undefined {
  if (!position || !needed) return undefined;
  const terms = Math.max(0, needed.term - position.term);
  const isSameTerm = needed.term === position.term;
  const records = isSameTerm ? needed.offset - position.offset : 0;
  return {terms, records: Math.max(0, records)};
}

const NOT_RUN: Readonly<Record<StatementKind, NotRunReason>> = {
  read: NotRunReason.Read,
  write: NotRunReason.Write,
  begin: NotRunReason.Transaction,
  beginRead: NotRunReason.Transaction,
};

function outcomeOf(
  view: DecisionView,
  route: Route,
  statement: StatementKind,
): Outcome {
  const {group, need, options, decision} = view;
  if (decision.type === 'take') {
    const {endpoint} = decision;
    const {position, isPrimary} = options.find(({id}) => id === endpoint)!;
    const lag = isPrimary ? undefined : lagOf(position, need.atLeast);
    const mayBeBehind = lag !== undefined && lag.terms + lag.records > 0;
    return {type: 'runs', endpoint, mayBeBehind};
  }
  const text = notRunText(NOT_RUN[statement]);
  const error = {code: ErrorCode.Busy, text};
  if (decision.type === 'refuse')
    return {type: 'refused', isSession: false, error};
  return {
    type: 'waits',
    ...causeOf(view),
    waiting: group.waiting,
    opening: decision.opening,
    atMostMs: route.statementTimeoutMs,
    otherwise: error,
  };
}

/** What a request waits for, and the endpoints that could serve it then. */
function causeOf({group, need, options}: DecisionView): {
  readonly cause: WaitCause;
  readonly endpoints: readonly string[];
} {
  const able = options.filter(option => !obstacleTo(option, need));
  const endpoints = able.map(({id}) => id);
  if (able.length === 0) {
    const {primary} = group;
    if (!need.primaryOnly) return {cause: WaitCause.Endpoint, endpoints};
    return {
      cause: primary ? WaitCause.PrimaryChange : WaitCause.Primary,
      endpoints,
    };
  }
  const missing = able.map(option => missingCapacity(option));
  if (missing.includes(undefined))
    return {cause: WaitCause.Permission, endpoints};
  const lacksConnection = missing.includes(Obstacle.NoConnection);
  return {
    cause: lacksConnection ? WaitCause.Connection : WaitCause.Limit,
    endpoints,
  };
}
