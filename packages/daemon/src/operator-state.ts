/** State of an instance for operators. */
import type {ConfigInForce} from '@quetzalreel/config';
import {formatPosition} from '@quetzalreel/position';
import type {FleetHandle} from './fleet-actor.js';
import type {GroupHandle} from './group-handle.js';
import type {ShareHandle} from './share-actor.js';

/** Parts of a daemon from which its state is read. */
export interface StateSources {
  readonly instance: string;
  readonly dataCentre: string;
  readonly inForce: ConfigInForce | undefined;
  readonly storeDown: boolean;
  readonly ready: boolean;
  readonly callers: number;
  readonly groups: readonly GroupHandle[];
  readonly fleet: FleetHandle | undefined;
  readonly shares: ShareHandle | undefined;
}

/** The state as a JSON value. */
export function operatorState(sources: StateSources) {
  const {instance, dataCentre, inForce, groups, fleet, shares} = sources;
  const {storeDown, ready, callers} = sources;
  return {
    instance,
    dataCentre,
    ready,
    generation: inForce?.cfg.generation,
    changeId: inForce?.cfg.changeId,
    digest: inForce?.digest,
    storeDown,
    callers,
    reads: totalReads(groups),
    groups: groups.map(groupState),
    members: membersOf(fleet),
    suspicions: fleet ? [...fleet.state.reports.values()] : [],
    shares: shares ? sharesOf(shares) : [],
    control: fleet?.traffic,
  };
}

/** Number of reads so far in all groups, by the role of the endpoint. */
function totalReads(groups: readonly GroupHandle[]) {
  const total = {primary: 0, replica: 0};
  for (const {reads} of groups) {
    total.primary += reads.primary;
    total.replica += reads.replica;
  }
  return total;
}

function groupState(group: GroupHandle) {
  const {view, failover, waiting, pendingAcks: held} = group.state;
  const endpoints = [...view.endpoints.values()].map(endpoint => ({
    name: endpoint.cfg.name,
    dataCentre: endpoint.cfg.dataCentre,
    leaving: endpoint.cfg.leaving,
    reach: endpoint.reach,
    role: endpoint.status?.role,
    term: endpoint.status?.term,
    position: endpoint.status && formatPosition(endpoint.status.last),
    busy: endpoint.busy,
    capacity: endpoint.capacity,
  }));
  return {
    name: group.name,
    step: failover.step,
    waiting: waiting.length,
    held: held.length,
    endpoints,
  };
}

function membersOf(fleet: FleetHandle | undefined) {
  if (!fleet) return [];
  const {self, members} = fleet.state;
  return [self, ...[...members.values()].map(known => known.record)];
}

function sharesOf(shares: ShareHandle) {
  return [...shares.state.shares.values()].map(share => ({
    endpoint: share.endpoint.name,
    connections: share.endpoint.connections,
    held: share.held,
    target: share.target,
    allowed: shares.connectionsOf(share.endpoint.name),
  }));
}
