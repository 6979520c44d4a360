/** The shape of the configuration that operators declare. */

/** Rule for acknowledging a write. */
export const AckRule = {
  /** When a majority of the group's endpoints hold it. */
  Majority: 'majority',
  /** When the primary holds it; lost if the primary is lost soon after. */
  Primary: 'primary',
} as const;

/** One of the values of `AckRule`. */
export type AckRule = (typeof AckRule)[keyof typeof AckRule];

/** A database that is a member of a group. */
export interface EndpointConfig {
  /** Unique over all groups. */
  readonly name: string;
  /** IP number. */
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Statements that it runs at the same time. */
  readonly slots: number;
  /** Connections that it accepts, shared by all instances. */
  readonly connections: number;
  /** True while it is to get no new work. */
  readonly leaving: boolean;
}

/** A database group: endpoints that hold the same log. */
export interface GroupConfig {
  /** Name that callers connect to, as the database name. */
  readonly name: string;
  readonly endpoints: readonly EndpointConfig[];
}

/** A kind of request and the promises that it needs. */
export interface KindConfig {
  readonly name: string;
  /** Reads may run on replicas; writes run on the primary. */
  readonly access: 'read' | 'write';
  /** Largest age of a read in milliseconds; 0 asks for the newest. */
  readonly maxAgeMs: number;
  /** Whether running the request twice is harmless. */
  readonly idempotent: boolean;
  readonly ack: AckRule;
  /** Longest time in milliseconds that a caller waits for an answer. */
  readonly deadlineMs: number;
}

/** A caller that may log in. */
export interface CallerConfig {
  readonly name: string;
  /** `scrypt$<salt>$<hash>`, both in base64url. */
  readonly secret: string;
}

/** One accepted change, as the history tells it. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly generation: number;
  /** Who ordered it. */
  readonly by: string;
  /** When, by the clock of the operator's machine, ISO 8601. */
  readonly at: string;
  /** What was ordered, one line. */
  readonly order: string;
}

/** The whole configuration. */
export interface Configuration {
  /** Rises with every accepted change; whole, from 1. */
  readonly generation: number;
  /** Names the change that made this generation. */
  readonly changeId: string;
  readonly groups: readonly GroupConfig[];
  readonly kinds: readonly KindConfig[];
  readonly callers: readonly CallerConfig[];
  /** The last changes, the newest last. */
  readonly changes: readonly ChangeRecord[];
}

/** Kind of a plain SELECT that names none. */
export const DEFAULT_READ_KIND: KindConfig = {
  name: 'default-read',
  access: 'read',
  maxAgeMs: 10_000,
  idempotent: true,
  ack: AckRule.Majority,
  deadlineMs: 5_000,
};

/** Kind of any other statement that names none. */
export const DEFAULT_WRITE_KIND: KindConfig = {
  name: 'default-write',
  access: 'write',
  maxAgeMs: 0,
  idempotent: false,
  ack: AckRule.Majority,
  deadlineMs: 10_000,
};
