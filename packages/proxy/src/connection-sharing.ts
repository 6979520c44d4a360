/**
 * Which instances hold connections to an endpoint. Answers the load of a fleet
 * in which an endpoint takes fewer connections than there are instances: a few
 * instances, of the endpoint's own data centre where there are enough, hold
 * all connections that it takes, and serve the statements of the others. Each
 * instance finds the same holders from the list of instances; where two lists
 * differ for a while, more instances hold connections and the endpoint's own
 * limit decides.
 */
import {hashOf} from '@quetzalreel/common';
import type {RelayAddress} from '@quetzalreel/relay';

/** An instance as sharing sees it. */
export interface SharingInstance {
  readonly instance: string;
  readonly dataCentre: string;
  /** Where it answers questions, `host:port`. */
  readonly address: string;
  readonly relay: RelayAddress;
}

/** An endpoint as sharing sees it. */
export interface SharedEndpoint {
  readonly id: string;
  readonly dataCentre: string;
  /** Connections that it takes from all instances together. */
  readonly maxConnections: number;
}

/** How one instance uses one endpoint. */
export interface SharingPlan {
  /** Whether it holds connections of its own. */
  readonly isHolder: boolean;
  /** Connections that it may hold. */
  readonly maxOwnConnections: number;
  /** Those that hold connections for it, best first; empty for a holder. */
  readonly holders: readonly SharingInstance[];
  /** How many share its slots by plan; 1 where each instance holds its own
   * connections, since then the endpoint's refusals tell. */
  readonly holderCount: number;
}

/** The plan before the others are known: no connections yet. */
export const NO_CONNECTIONS_PLAN: SharingPlan = {
  isHolder: false,
  maxOwnConnections: 0,
  holders: [],
  holderCount: 1,
};

/** Share of an endpoint's connections that is planned with; the rest is left
 * to instances that come and go. */
const PLANNED_SHARE = 0.85;
/** Fewest connections with which each instance can be a holder: one that is
 * in use and one for the next statement. */
const LEAST_EACH = 2;
/** Connections that make a holder worth its way: as many as an endpoint runs
 * statements at a time, and as many again that rest in transactions. */
const HOLDER_CONNECTIONS = 6;
/** Most holders of one endpoint: enough that losing one costs little, few
 * enough that each can see how busy the endpoint is. */
const MOST_HOLDERS = 6;
/** Part of the connections that one of a few instances may use. */
const ALONE_SHARE = 0.4;

/** The plan of an instance that goes through no other one. */
const ALONE = {isHolder: true, holders: [], holderCount: 1} as const;

/** The plan of `self` for an endpoint, among `others`. */
export function sharingPlan(
  self: SharingInstance,
  others: readonly SharingInstance[],
  endpoint: SharedEndpoint,
): SharingPlan {
  const {maxConnections} = endpoint;
  const planned = Math.floor(maxConnections * PLANNED_SHARE);
  if ((others.length + 1) * LEAST_EACH <= planned) {
    const most = Math.floor(maxConnections * ALONE_SHARE);
    return {...ALONE, maxOwnConnections: Math.max(LEAST_EACH, most)};
  }
  const holders = holdersOf([self, ...others], endpoint, planned);
  const most = Math.max(1, Math.floor(planned / holders.length));
  const sharers = holders.length;
  if (holders.includes(self))
    return {...ALONE, maxOwnConnections: most, holderCount: sharers};
  const inOrder = inOrderOf(self, holders, endpoint);
  return {
    isHolder: false,
    maxOwnConnections: most,
    holders: inOrder,
    holderCount: sharers,
  };
}

/** The holders of an endpoint, the same for every instance that asks. */
function holdersOf(
  instances: readonly SharingInstance[],
  endpoint: SharedEndpoint,
  planned: number,
): SharingInstance[] {
  const count = Math.min(
    MOST_HOLDERS,
    Math.max(1, Math.floor(planned / HOLDER_CONNECTIONS)),
  );
  const near = ({dataCentre}: SharingInstance) =>
    Number(dataCentre === endpoint.dataCentre);
  return byHash(instances, ({instance}) => `${endpoint.id}/${instance}`)
    .sort((a, b) => near(b) - near(a))
    .slice(0, count);
}

/** Spreads the others over the holders. */
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
  // Names decide between equal hashes, so that all instances find the same.
  ranked.sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1));
  return ranked.map(({sharer}) => sharer);
}
