/** What operators configure: routes of databases to groups. */

/** What a route's reads must see. */
export const ReadRule = {
  /** Every commit that was acknowledged before the read. */
  Primary: 'primary',
  /** Every commit acknowledged longer ago than the route's staleness. */
  Bounded: 'bounded',
  /** As `Bounded`, and the session's own commits. */
  OwnWrites: 'ownWrites',
} as const;

/** One of the values of `ReadRule`. */
export type ReadRule = (typeof ReadRule)[keyof typeof ReadRule];

/** Where the sessions of one database go. */
export interface Route {
  /** The database's name as callers give it. */
  readonly database: string;
  readonly name: string;
  readonly rule: ReadRule;
  /** The group that serves it. */
  readonly group: string;
  /** Longest time for one statement, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** In which an operation is to be answered, in milliseconds. */
  readonly objectiveMs: number;
  /** 0 goes first. */
  readonly priority: number;
  /** How old the data of a read may be, in milliseconds; 0 for `primary`. */
  readonly maxStalenessMs: number;
}

/** What operators say of a group. */
export interface GroupPolicy {
  readonly name: string;
  /** Connections that one endpoint takes from all instances together. */
  readonly maxConnections: number;
  /** Replicas that have received a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** A whole configuration. */
export interface RoutingTable {
  /** Rises with each change; a lower one is never taken. */
  readonly generation: number;
  /** By the database's name. */
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupPolicy>;
  /** How long a transaction may rest, in milliseconds. */
  readonly idleTransactionMs: number;
}

/** An endpoint as it announces itself. */
export interface ListedEndpoint {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Statements that it runs at a time. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Whether it sees itself as the primary. */
  readonly saysPrimary: boolean;
  /** Its start, Unix milliseconds; tells it from an earlier one of its id. */
  readonly startedAt: number;
  /** How much longer it is slow after its start, in milliseconds. */
  readonly coldMs: number;
}

/** Where the store keeps these, and how they are spelled there. */
export abstract class Catalog {
  abstract readonly configuration: {
    readonly kind: string;
    readonly name: string;
  };
  /** The kind of the endpoints' entries. */
  abstract readonly endpointKind: string;
  /** Throws when the value can't be read. */
  abstract readConfiguration(value: unknown): RoutingTable;
  /** Throws when the value can't be read. */
  abstract readEndpoint(id: string, value: unknown): ListedEndpoint;
}
