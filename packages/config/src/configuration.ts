/** Types of the configuration that operators write. */

/** When a write is acknowledged to its caller. */
export const AckRule = {
  /** After a majority of the group's endpoints have stored it. */
  Majority: 'majority',
  /**
   * After the primary has stored it; lost if the primary fails before it is
   * replicated.
   */
  Primary: 'primary',
} as const;

/** One of the values of `AckRule`. */
export type AckRule = (typeof AckRule)[keyof typeof AckRule];

/** One database server of a group. */
export interface EndpointConfig {
  /** Unique across all groups. */
  readonly name: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Maximum number of statements that it runs concurrently. */
  readonly slots: number;
  /**
   * Maximum number of connections that it accepts from all instances together.
   */
  readonly connections: number;
  /** True while the endpoint is drained: it gets no new requests. */
  readonly leaving: boolean;
}

/** A database group: a primary and its replicas, which store the same log. */
export interface GroupConfig {
  /** Database name that callers give when they connect. */
  readonly name: string;
  readonly endpoints: readonly EndpointConfig[];
}

/** A kind of request and the consistency and durability that it requires. */
export interface KindConfig {
  readonly name: string;
  /** Reads may run on replicas; writes run on the primary. */
  readonly access: 'read' | 'write';
  /**
   * Maximum staleness of a read in milliseconds; 0 requires the latest data.
   */
  readonly maxAgeMs: number;
  /** Whether the request can be run twice without a further effect. */
  readonly idempotent: boolean;
  readonly ack: AckRule;
  /** Maximum time in milliseconds from a request to its response. */
  readonly deadlineMs: number;
}

/** A client account that may log in. */
export interface CallerConfig {
  readonly name: string;
  /** `scrypt$<salt>$<hash>`, both in base64url. */
  readonly secret: string;
}

/** An accepted configuration change, as an entry of the change history. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly generation: number;
  /** Operator who made the change. */
  readonly by: string;
  /** Time of the change in ISO 8601, by the clock of the operator's machine. */
  readonly at: string;
  /** The command that made the change, in one line. */
  readonly order: string;
}

/** The whole configuration. */
export interface Configuration {
  /** Integer that starts at 1 and increases with every accepted change. */
  readonly generation: number;
  /** Identifier of the change that created this generation. */
  readonly changeId: string;
  readonly groups: readonly GroupConfig[];
  readonly kinds: readonly KindConfig[];
  readonly callers: readonly CallerConfig[];
  /** The most recent changes, newest last. */
  readonly changes: readonly ChangeRecord[];
}

/** Kind of a plain SELECT that specifies no kind. */
export const DEFAULT_READ_KIND: KindConfig = {
  name: 'default-read',
  access: 'read',
  maxAgeMs: 10_000,
  idempotent: true,
  ack: AckRule.Majority,
  deadlineMs: 5_000,
};

/** Kind of any other statement that specifies no kind. */
export const DEFAULT_WRITE_KIND: KindConfig = {
  name: 'default-write',
  access: 'write',
  maxAgeMs: 0,
  idempotent: false,
  ack: AckRule.Majority,
  deadlineMs: 10_000,
};
