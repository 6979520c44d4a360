/** The configuration by operators: routes from databases to groups. */
import type {Selection} from '@quetzalreel/object-store';
import type {AccountDirectory} from './accounts.js';

/** The commits that reads of a route must see. */
export const ReadRule = {
  /** Every commit that was acknowledged before the read. */
  Primary: 'primary',
  /**
   * Every commit acknowledged longer ago than the route's maximum staleness.
   */
  Bounded: 'bounded',
  /** As `Bounded`, plus the session's own commits. */
  OwnWrites: 'ownWrites',
} as const;

/** One of the values of `ReadRule`. */
export type ReadRule = (typeof ReadRule)[keyof typeof ReadRule];

/** The route of the sessions of one database. */
export interface Route {
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** The database name that callers use. */
  readonly database: string;
  readonly name: string;
  readonly rule: ReadRule;
  /** The group that serves the database. */
  readonly group: string;
  /** Timeout for one statement, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** Objective for the response time of an operation, in milliseconds. */
  readonly objectiveMs: number;
  /** Priority in the wait queue; 0 is the highest. */
  readonly priority: number;
  /**
   * Maximum age of the data that a read returns, in milliseconds; 0 for
   * `primary`.
   */
  readonly maxStalenessMs: number;
}

/** The configuration of a group. */
export interface GroupPolicy {
  readonly name: string;
  /**
   * Whether client accounts are declared, so that each connection to an endpoint
   * belongs to one of them.
   */
  readonly hasAccounts: boolean;
  /**
   * Maximum number of connections to one endpoint from all instances together.
   */
  readonly maxConnections: number;
  /**
   * Number of replicas that must have received a commit before it is
   * acknowledged.
   */
  readonly syncReplicas: number;
}

/** A complete configuration. */
export interface RoutingTable {
  /**
   * Rises with each change; a configuration with a lower generation is ignored.
   */
  readonly generation: number;
  /** By database name. */
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupPolicy>;
  /** Undefined where no client accounts are declared. */
  readonly accounts: AccountDirectory | undefined;
  /** Maximum idle time of a transaction, in milliseconds. */
  readonly idleTransactionMs: number;
}

/** An endpoint's own entry in the list. */
export interface ListedEndpoint {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Maximum number of statements that it runs concurrently. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Whether it claims the primary role. */
  readonly saysPrimary: boolean;
  /**
   * Its start time in Unix milliseconds; distinguishes it from an earlier
   * endpoint with the same id.
   */
  readonly startedAt: number;
  /**
   * Rises with each entry that the endpoint writes after its start; undefined if
   * the entry does not tell.
   */
  readonly sequence: number | undefined;
  /** Remaining time of slow operation after its start, in milliseconds. */
  readonly coldMs: number;
}

/** The names and the format of these objects in the store. */
export abstract class StoreFormat {
  abstract readonly configuration: {
    readonly kind: string;
    readonly name: string;
    readonly selection: Selection;
  };
  /** The endpoints' entries. */
  abstract readonly endpoints: {
    readonly kind: string;
    readonly selection: Selection;
  };
  /** Throws when the value can't be parsed. */
  abstract readConfiguration(value: unknown): RoutingTable;
  /** Throws when the value can't be parsed. */
  abstract readEndpoint(id: string, value: unknown): ListedEndpoint;
}
