/** What operators are told of a request, and of an instance: plain data. */
import type {Position} from '@quetzalreel/position';
import type {AccountQuotaState} from '@quetzalreel/quota';
import type {CallerIdentity} from './accounts.js';
import type {UnusableReason} from './link-placement.js';
import type {Obstacle} from './placement.js';
import type {Route} from './routes.js';
import type {SessionRefusal} from './session-refusal.js';

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
