/**
 * Plans which instances hold connections to an endpoint. In a large fleet an
 * endpoint accepts fewer connections than there are instances. A few instances,
 * the holders, then share all its connections and relay the statements of the
 * rest; they are in the endpoint's own data centre where there are enough. Each
 * instance computes the same holders from the list of instances. While two
 * lists differ, more instances hold connections, and the endpoint's own limit
 * decides.
 */
import {hashOf} from '@quetzalreel/common';
import type {RelayAddress} from '@quetzalreel/relay';

/** An instance that shares the connections of endpoints. */
export interface SharingInstance {
  readonly instance: string;
  readonly dataCentre: string;
  /** Address for requests from peers, `host:port`. */
  readonly address: string;
  readonly relay: RelayAddress;
}

/** An endpoint whose connections are shared. */
export interface SharedEndpoint {
  readonly id: string;
  readonly dataCentre: string;
  /** Maximum number of connections from all instances together. */
  readonly maxConnections: number;
  /** Whether each connection belongs to one client account. */
  readonly hasAccounts: boolean;
}

/** How one instance connects to one endpoint. */
export interface SharingPlan {
  /** Whether the instance holds connections of its own. */
  readonly isHolder: boolean;
  /** Maximum number of connections that the instance may hold. */
  readonly maxOwnConnections: number;
  /**
   * Number of own connections that stay open when they are not used, since a
   * new one takes a slot of the endpoint while it opens.
   */
  readonly keptConnections: number;
  /**
   * The instances that relay its statements, in order of preference; empty for
   * a holder.
   */
  readonly holders: readonly SharingInstance[];
  /**
   * Number of instances that share the endpoint's slots according to the plan;
   * 1 where each instance holds its own connections, since the endpoint's
   * refusals then limit them.
   */
  readonly holderCount: number;
  /** Whether each connection belongs to one client account. */
  readonly hasAccounts: boolean;
}

/** The plan until the list of instances is known: no connections. */
export const NO_CONNECTIONS_PLAN: SharingPlan = {
  isHolder: false,
  maxOwnConnections: 0,
  keptConnections: 0,
  holders: [],
  holderCount: 1,
  hasAccounts: false,
};

/**
 * Share of an endpoint's connections that is planned; the rest is reserved for
 * instances that join or leave.
 */
const PLANNED_SHARE = 0.85;
/**
 * Share of an endpoint's connections that instances may keep unused: less than
 * half, so that the successors of dead instances find room while the endpoint
 * has not noticed the death.
 */
const KEPT_SHARE = 0.45;
/**
 * The same where each connection belongs to one client account: one that is closed
 * is opened again for the account's next statement, and takes a slot for longer than
 * the statement does.
 */
const KEPT_ACCOUNT_SHARE = 0.8;
/**
 * Minimum connections per instance for a plan in which every instance is a
 * holder: one in use and one for the next statement.
 */
const MIN_PER_INSTANCE = 2;
/**
 * The same where each connection belongs to one client account: with fewer, most
 * statements would open a connection for their account.
 */
const MIN_PER_ACCOUNT_INSTANCE = 14;
/**
 * Connections per holder that justify the extra hop of relaying: as many as an
 * endpoint runs statements concurrently, and as many again in idle
 * transactions.
 */
const CONNECTIONS_PER_HOLDER = 6;
/**
 * The same where each connection belongs to one client account: a holder then
 * needs some for the accounts that use it at the moment, and some for those that
 * come now and then.
 */
const CONNECTIONS_PER_ACCOUNT_HOLDER = 14;
/**
 * Maximum number of holders of one endpoint: enough that losing one costs
 * little, few enough that each can observe how busy the endpoint is.
 */
const MAX_HOLDERS = 6;
/**
 * Share of the connections that each instance may use where every instance is a
 * holder.
 */
const PER_INSTANCE_SHARE = 0.4;

/** The common part of the plans of holders. */
const HOLDER_PLAN = {isHolder: true, holders: [], holderCount: 1} as const;

/**
 * Computes the plan of `self` for an endpoint; `peers` are the other instances.
 */
export function sharingPlan(
  self: SharingInstance,
  peers: readonly SharingInstance[],
  endpoint: SharedEndpoint,
): SharingPlan {
  const {maxConnections, hasAccounts} = endpoint;
  const planned = Math.floor(maxConnections * PLANNED_SHARE);
  const keptShare = hasAccounts ? KEPT_ACCOUNT_SHARE : KEPT_SHARE;
  const kept = Math.floor(maxConnections * keptShare);
  const fleetSize = peers.length + 1;
  const least = hasAccounts ? MIN_PER_ACCOUNT_INSTANCE : MIN_PER_INSTANCE;
  if (fleetSize * least <= planned) {
    const maxOwnConnections = Math.floor(maxConnections * PER_INSTANCE_SHARE);
    return {
      ...HOLDER_PLAN,
      hasAccounts,
      maxOwnConnections: Math.max(MIN_PER_INSTANCE, maxOwnConnections),
      keptConnections: Math.max(1, Math.floor(kept / fleetSize)),
    };
  }
  const holders = holdersOf([self, ...peers], endpoint, planned);
  const maxOwnConnections = Math.max(1, Math.floor(planned / holders.length));
  const holderCount = holders.length;
  if (holders.includes(self)) {
    const keptConnections = Math.max(1, Math.floor(kept / holderCount));
    const own = {maxOwnConnections, keptConnections};
    return {...HOLDER_PLAN, ...own, holderCount, hasAccounts};
  }
  const inOrder = inOrderOf(self, holders, endpoint);
  return {
    isHolder: false,
    maxOwnConnections,
    keptConnections: 0,
    holders: inOrder,
    holderCount,
    hasAccounts,
  };
}

/** The holders of an endpoint; the result is the same on every instance. */
function holdersOf(
  instances: readonly SharingInstance[],
  endpoint: SharedEndpoint,
  planned: number,
): SharingInstance[] {
  const each = endpoint.hasAccounts
    ? CONNECTIONS_PER_ACCOUNT_HOLDER
    : CONNECTIONS_PER_HOLDER;
  const least = endpoint.hasAccounts ? 2 : 1;
  const count = Math.min(
    MAX_HOLDERS,
    Math.max(least, Math.floor(planned / each)),
  );
  const near = ({dataCentre}: SharingInstance) =>
    Number(dataCentre === endpoint.dataCentre);
  return byHash(instances, ({instance}) => `${endpoint.id}/${instance}`)
    .sort((a, b) => near(b) - near(a))
    .slice(0, count);
}

/** Orders the holders for one instance, so that instances spread over them. */
function inOrderOf(
  self: SharingInstance,
  holders: readonly SharingInstance[],
  endpoint: SharedEndpoint,
): SharingInstance[] {
  const nameOf = ({instance}: SharingInstance) =>
    `${self.instance}/${endpoint.id}/${instance}`;
  return byHash(holders, nameOf);
}

function byHash(
  instances: readonly SharingInstance[],
  nameOf: (sharer: SharingInstance) => string,
): SharingInstance[] {
  const ranked = instances.map(sharer => {
    const name = nameOf(sharer);
    return {sharer, name, hash: hashOf(name)};
  });
  // The name breaks ties between equal hashes, so that all instances agree.
  ranked.sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1));
  return ranked.map(({sharer}) => sharer);
}
