/** What a group offers to sessions and to the parts that watch it. */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {Answer, EndpointDriver} from '@quetzalreel/requests';
import type {SuspensionDetector} from '@quetzalreel/freshness';
import type {Position} from '@quetzalreel/position';
import type {
  ConfirmedPosition,
  ReachabilityResult,
} from '@quetzalreel/peer-queries';
import type {EndpointLink} from './endpoint-link.js';
import type {Log} from './log.js';
import type {Need} from './placement.js';
import type {PooledConnection} from './pooled-connection.js';
import type {GroupPolicy, ListedEndpoint} from './routes.js';
import type {SharedEndpoint, SharingPlan} from './connection-sharing.js';

/** A connection that a session may use until it gives it back. */
export interface ConnectionLease {
  /** What it was given for. */
  readonly need: Need;
  readonly link: EndpointLink;
  readonly pooled: PooledConnection;
  /** Ends the use; a connection that is not reusable is closed. */
  release(reusable: boolean): void;
}

/** A request for a place. */
export interface ConnectionRequest {
  /** Whether only the primary will ever do. */
  readonly primaryOnly: boolean;
  /** What is needed now; it may change while the request waits. */
  readonly need: () => Need;
  readonly priority: number;
  /** Key of the session's settings. */
  readonly settingsKey: string;
  /** When an answer would be late, monotonic milliseconds. */
  readonly objectiveAt: number;
  /** When waiting is given up, monotonic milliseconds. */
  readonly deadline: number;
  /** Whether the caller has left: nobody waits for an answer any more. */
  readonly hasDisconnected: () => boolean;
}

/** What a group works with. */
export interface GroupContext {
  readonly name: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly driver: EndpointDriver;
  readonly guard: SuspensionDetector;
  /** Asks other instances whether they reach an endpoint; undefined while
   * there are none to ask. */
  readonly askPeers: (
    group: string,
    endpoint: string,
  ) => Promise<ReachabilityResult | undefined>;
  /** Asks other instances for a position that they have confirmed: those at
   * `addresses`, or any when that is empty. */
  readonly requestConfirmedPosition: (
    group: string,
    addresses: readonly string[],
  ) => void;
  /** How this instance uses an endpoint among the instances there are. */
  readonly planFor: (endpoint: SharedEndpoint) => SharingPlan;
}

/** A group at work. */
export interface GroupRuntime extends Disposable {
  readonly name: string;
  policy: GroupPolicy;
  readonly links: ReadonlyMap<string, EndpointLink>;
  readonly primary: EndpointLink | undefined;
  /** The last endpoint that was the primary, listed or not; '' for none. */
  readonly lastPrimary: string;
  /** Since when there has been no primary; undefined while there is one. */
  readonly missingSince: number | undefined;
  /** Whether the primary lives but can't be reached from here. */
  readonly isUnreachableLocally: boolean;
  /** Whether some place can serve a need, now or when it has room. */
  canServe(need: Need): boolean;
  /** Waits for a place; undefined when there was none in time. */
  acquire(req: ConnectionRequest): Promise<ConnectionLease | undefined>;
  /** The newest position that this instance has confirmed itself. */
  ownConfirmed(): ConfirmedPosition | undefined;
  /** Takes a position that another instance has confirmed. */
  addPeerConfirmed(confirmed: ConfirmedPosition, askedAt: number): void;
  /** What a log must hold; undefined when no sample tells. */
  required(
    maxStalenessMs: number,
    floor: Position | undefined,
  ): Position | undefined;
  /** Notes an answer to what was sent at `sentAt`. */
  noteAnswer(link: EndpointLink, answer: Answer, sentAt: number): void;
  /** Notes the answer of a statement, with its time and its refusal. */
  noteStatementAnswer(link: EndpointLink, answer: Answer, sentAt: number): void;
  /** Notes an answer that only a primary gives. */
  notePrimaryAnswer(link: EndpointLink, answer: Answer, sentAt: number): void;
  setEndpoints(endpoints: readonly ListedEndpoint[]): void;
  /** Plans anew how endpoints are used, since instances came or went. */
  replan(): void;
  /** Whether an endpoint answers now; asks it if it was not heard of. '' asks
   * for the primary, whichever it is. */
  checkReachable(endpoint: string, withinMs: number): Promise<boolean>;
  /** Looks at time: probes, connections, requests that waited too long. */
  tick(): void;
}
