/**
 * Describes where a request would go now and why, and what this instance knows
 * of its groups. The functions that decide on requests are asked; nothing is
 * sent, and no state is changed.
 */
import type {Position} from '@quetzalreel/position';
import {ErrorCode} from '@quetzalreel/requests';
import type {AccountQuotaState} from '@quetzalreel/quota';
import {type ClientAccount, NO_ACCOUNT, accountFor} from './accounts.js';
import {
  type GroupRuntime,
  OWN_REQUESTS,
  type RequestSource,
} from './group-types.js';
import type {EndpointLink} from './endpoint-link.js';
import {
  type EndpointDescription,
  type EndpointVerdict,
  type ExplainQuery,
  type Explanation,
  type GroupDescription,
  type InstanceDescription,
  type Lag,
  type NeedDescription,
  type Outcome,
  type Rejection,
  StatementKind,
  WaitCause,
} from './explain-types.js';
import {inFlightLimit, unusableReason} from './link-placement.js';
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
