/** What a proxy needs and offers. */
import type {Clock} from '@quetzalreel/common';
import type {PromotionOrders} from '@quetzalreel/failover';
import type {KindStore} from '@quetzalreel/object-store';
import type {QuotaRule} from '@quetzalreel/quota';
import type {
  AcceptCaller,
  Answer,
  AnswerMemory,
  CallerMemory,
  EndpointDriver,
  EndpointStatus,
  OnLimit,
  SessionLimits,
} from '@quetzalreel/requests';
import type {
  ExplainQuery,
  Explanation,
  InstanceDescription,
} from './explain-types.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {StoreFormat} from './routes.js';

/** Dependencies of the proxy; the exchangeable ones are abstract classes. */
export interface ProxyOptions {
  readonly instance: string;
  readonly dataCentre: string;
  /** Address at which peers reach this instance. */
  readonly peers: {readonly host: string; readonly port: number};
  /** Address of the relay that peers use to reach endpoints. */
  readonly relay: {readonly host: string; readonly port: number};
  /** Time between the stop request and the kill, in milliseconds. */
  readonly graceMs: number;
  /** For how long an endpoint that leaves may get new work, in milliseconds. */
  readonly leavingMs: number;
  readonly clock: Clock;
  /** The time of day in Unix milliseconds; only compared with the clock. */
  readonly timeOfDay: () => number;
  readonly log: Log;
  readonly store: KindStore;
  readonly catalog: StoreFormat;
  readonly driver: EndpointDriver;
  /** Shared with `driver` and the listener for callers. */
  readonly answerMemory: AnswerMemory;
  /** Counts what callers and peers' relayed requests make this process keep;
   * not bounded without it. */
  readonly callerMemory?: CallerMemory;
  readonly sessionLimits?: SessionLimits;
  /** Requesters that may be connected to the relay at the same time. */
  readonly maxRequesters?: number;
  /** Connections of callers that are open. */
  readonly callerConnections?: () => number;
  readonly readStatus: (answer: Answer) => EndpointStatus | undefined;
  readonly orders: PromotionOrders;
  /**
   * Whether a replaced primary stops acknowledging by itself when the order to
   * replace it takes effect.
   */
  readonly replacedPrimaryStops: boolean;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** What client accounts may start beyond their limits. */
  readonly quotaRule: QuotaRule;
}

/** A running proxy. */
export interface Proxy {
  readonly metrics: Metrics;
  /** Reports that a limit has refused a caller something. */
  readonly onLimit: OnLimit;
  /** Accepts a caller's session. */
  readonly accept: AcceptCaller;
  /**
   * Resolves once a configuration is in force. Before that, every caller would
   * get the error that its database does not exist.
   */
  readonly configured: Promise<void>;
  /** Whether callers may be routed to this instance. */
  readonly ready: boolean;
  /** Describes where a request would go now; sends nothing. */
  explain(query: ExplainQuery): Explanation;
  /** Describes this instance and its groups. */
  describe(): InstanceDescription;
  /**
   * Ends all sessions within the grace period: idle sessions first, later idle
   * transactions by rollback; a request in progress is not interrupted before
   * the end of the period.
   */
  stop(): Promise<void>;
  /** Stops everything immediately. */
  dispose(): void;
}
