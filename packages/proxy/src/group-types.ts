/** Types of a group, for sessions and for the parts that watch the group. */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {Answer, EndpointDriver} from '@quetzalreel/requests';
import type {SuspensionDetector} from '@quetzalreel/freshness';
import type {Position} from '@quetzalreel/position';
import type {RelayDriver} from '@quetzalreel/relay';
import type {
  ConfirmedPosition,
  ReachabilityResult,
} from '@quetzalreel/peer-queries';
import type {ConnectionWay} from './connection-use.js';
import type {EndpointLink} from './endpoint-link.js';
import type {Log} from './log.js';
import type {Need, PlacementOption} from './placement.js';
import type {PlacementDecision} from './placement-decision.js';
import type {PooledConnection} from './pooled-connection.js';
import type {PrimaryUse} from './primary-use.js';
import type {GroupPolicy, ListedEndpoint} from './routes.js';
import type {SharedEndpoint, SharingPlan} from './connection-sharing.js';

/**
 * A connection taken from the pool, in use by one session until it is released.
 */
export interface ConnectionLease {
  /** The need for which it was acquired. */
  readonly need: Need;
  readonly link: EndpointLink;
  readonly pooled: PooledConnection;
  /**
   * Whether it counts as a statement in flight although none was sent yet, so
   * that requests served at the same moment stay within the limit together.
   */
  isReserved?: boolean;
  /** Called when a statement on it has ended, since another may be sent. */
  readonly onStatementEnd?: () => void;
  /** Returns the connection to the pool; one that is not reusable is closed. */
  release(reusable: boolean): void;
}

/** Where a request comes from. */
export interface RequestSource {
  /** Of the route; 0 is the highest. */
  readonly priority: number;
  /**
   * The client account, '' for none; undefined for requests of this instance
   * itself, which may use a connection of any account.
   */
  readonly account: string | undefined;
}

/** Requests of this instance itself. */
export const OWN_REQUESTS: RequestSource = {priority: 1, account: undefined};

/** A request for a connection to a suitable endpoint. */
export interface ConnectionRequest extends RequestSource {
  /** Whether the request always needs the primary. */
  readonly primaryOnly: boolean;
  /** The current need; it may change while the request waits. */
  readonly need: () => Need;
  /** Priority among the accounts; 0 is the highest. */
  readonly accountPriority: number;
  /**
   * Key of the session's settings; connections that have them are preferred.
   */
  readonly settingsKey: string;
  /**
   * When the route's objective ends; later answers count as late. Monotonic
   * milliseconds.
   */
  readonly objectiveAt: number;
  /** When the request stops waiting, in monotonic milliseconds. */
  readonly deadline: number;
  /** Whether the caller has disconnected, so that no answer is needed. */
  readonly hasDisconnected: () => boolean;
}

/** Dependencies of a group. */
export interface GroupContext {
  readonly name: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly driver: EndpointDriver;
  readonly relayDriver: RelayDriver;
  readonly suspensionDetector: SuspensionDetector;
  /** For how long an endpoint that leaves may get new work, in milliseconds. */
  readonly leavingMs: number;
  /**
   * Asks peers whether they reach an endpoint; resolves to undefined while
   * there are no peers.
   */
  readonly askPeers: (
    group: string,
    endpoint: string,
  ) => Promise<ReachabilityResult | undefined>;
  /**
   * Requests the position that peers have confirmed: from the peers at
   * `addresses`, or from any when that is empty.
   */
  readonly requestConfirmedPosition: (
    group: string,
    addresses: readonly string[],
  ) => void;
  /**
   * Plans how the connections to an endpoint are shared among the instances.
   */
  readonly planFor: (endpoint: SharedEndpoint) => SharingPlan;
  readonly primaryUse: PrimaryUse;
  /** See `GroupRuntime`. */
  readonly lapsedEndpoints: () => readonly string[];
}

/** A group of endpoints with its runtime state. */
export interface GroupRuntime extends Disposable {
  readonly name: string;
  policy: GroupPolicy;
  readonly links: ReadonlyMap<string, EndpointLink>;
  readonly primary: EndpointLink | undefined;
  /**
   * Id of the last known primary, even if it is no longer listed; '' for none.
   */
  readonly lastPrimary: string;
  /**
   * Whether the primary is lost and none may replace it until more replicas have
   * told how far their logs reach.
   */
  awaitsSuccessor: boolean;
  /** When the endpoints were listed first; Infinity before. Monotonic ms. */
  readonly listedSince: number;
  /** Endpoints that are not listed now, but may be again in a moment. */
  lapsedEndpoints(): readonly string[];
  /** Time from which no primary is known; undefined while there is one. */
  readonly missingSince: number | undefined;
  /**
   * Whether the primary is unreachable from this instance while peers did not
   * confirm it as down.
   */
  readonly isUnreachableLocally: boolean;
  /**
   * Whether new work that only the primary may serve can be sent to the
   * endpoint now.
   */
  mayStartOnPrimary(endpoint: string): boolean;
  /**
   * Whether work that was sent to the endpoint as the primary may go on, and its
   * answer may be used.
   */
  mayContinueOnPrimary(endpoint: string): boolean;
  /** Applies a change of primary that has become known. */
  noteChange(): void;
  /** Statements and transactions in progress here that need the primary. */
  readonly primaryWork: number;
  /** Counts such work until the returned function is called. */
  countPrimaryWork(): () => void;
  /** Whether some endpoint can serve a need, now or once it has capacity. */
  canServe(need: Need): boolean;
  /** The endpoints as options for a request. */
  optionsFor(
    need: Pick<Need, 'directOnly'>,
    from: RequestSource,
  ): readonly PlacementOption[];
  /** What a request with this need would meet now; changes nothing. */
  decide(need: Need, from: RequestSource): PlacementDecision;
  /** Number of requests that wait for a connection. */
  readonly waiting: number;
  /**
   * Waits for a connection to a suitable endpoint; resolves to undefined when
   * none was available before the deadline.
   */
  acquire(req: ConnectionRequest): Promise<ConnectionLease | undefined>;
  /**
   * Waits for a connection to the endpoint whatever its role and load, for
   * requests that control it: the next one that is free, before statements that
   * wait. Resolves to undefined when none was until `until`, or if the endpoint
   * is not listed.
   */
  acquireForControl(
    endpoint: string,
    until: number,
    way?: ConnectionWay,
  ): Promise<ConnectionLease | undefined>;
  /** The newest position that this instance has confirmed itself. */
  ownConfirmed(): ConfirmedPosition | undefined;
  /** Adds a position that a peer has confirmed. */
  addPeerConfirmed(confirmed: ConfirmedPosition, askedAt: number): void;
  /**
   * The position that a log must have reached; undefined without a suitable
   * sample.
   */
  requiredPosition(
    maxStalenessMs: number,
    floor: Position | undefined,
  ): Position | undefined;
  /** The same, without asking anybody for a sample. */
  knownRequiredPosition: GroupRuntime['requiredPosition'];
  /** Records the answer to a request sent at `sentAt`. */
  noteAnswer(link: EndpointLink, answer: Answer, sentAt: number): void;
  /**
   * Records the answer of a statement, with its duration or refusal.
   * `onPrimary` says that only the primary could run it.
   */
  noteStatementAnswer(
    link: EndpointLink,
    answer: Answer,
    sentAt: number,
    onPrimary: boolean,
  ): void;
  /** Records that a statement has got no answer, and why. */
  noteNoAnswer(
    link: EndpointLink,
    err: unknown,
    sentAt: number,
    onPrimary: boolean,
  ): void;
  /** Records an answer that only a primary can give. */
  notePrimaryAnswer(link: EndpointLink, answer: Answer, sentAt: number): void;
  setEndpoints(endpoints: readonly ListedEndpoint[]): void;
  /** Recomputes the sharing plans after a change of the instance list. */
  replan(): void;
  /**
   * Whether an endpoint answers now; probes it if there was no recent contact.
   * '' stands for the current primary.
   */
  checkReachable(endpoint: string, withinMs: number): Promise<boolean>;
  /**
   * Runs the periodic work: probes, connections, and requests whose deadline
   * has passed.
   */
  tick(): void;
}
