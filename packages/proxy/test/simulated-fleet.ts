/** Instances of a fleet before one group, on a simulated clock. */
import type {Clock} from '@quetzalreel/common';
import {suspensionDetector} from '@quetzalreel/freshness';
import type {RelayAddress} from '@quetzalreel/relay';
import type {EndpointDriver} from '@quetzalreel/requests';
import {type SharingInstance, sharingPlan} from '../src/connection-sharing.js';
import {TIMES} from '../src/defaults.js';
import type {GroupRuntime} from '../src/group-types.js';
import {groupRuntime} from '../src/group.js';
import type {Log} from '../src/log.js';
import {ALWAYS_PERMITTED} from '../src/primary-use.js';
import {serveRelayedRequests} from '../src/relayed-requests.js';
import {listedEndpoint} from './listed.js';
import type {EndpointFault} from './simulated-endpoint.js';
import {
  type AcceptRequester,
  TRANSIT_MS,
  simulatedRelayDriver,
} from './simulated-relay.js';

/** What the instances share. */
export interface FleetContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly driver: EndpointDriver;
  /** A random number of at least 0 and below 1. */
  readonly chance: () => number;
  /** Ids of the endpoints; the first one is the primary. */
  readonly endpoints: readonly string[];
  readonly slots: number;
  readonly maxConnections: number;
  /** The endpoints' disturbances, by the clock. */
  readonly faults?: readonly EndpointFault[];
}

/** Time until an instance has heard of a new entry, at most. */
const ENTRY_SPREAD_MS = 300;
const GROUP = 'g';
const DATA_CENTRES = ['z-a', 'z-b', 'z-c'] as const;
/** Idle time after which a holder rolls a transaction back, in milliseconds. */
const IDLE_TRANSACTION_MS = 3000;

function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length]!;
}

/** Starts `count` instances; returns the group of each. */
export function simulatedFleet(
  count: number,
  context: FleetContext,
): readonly GroupRuntime[] {
  const {clock, log, driver, chance, endpoints, slots} = context;
  const {maxConnections} = context;
  const groups = new Map<RelayAddress, GroupRuntime>();
  const sharing: SharingInstance[] = [];
  for (let i = 0; i < count; i++) {
    const name = `n-${i}`;
    const addresses = {address: name, relay: name};
    sharing.push({instance: name, dataCentre: dataCentreOf(i), ...addresses});
  }

  const accept: AcceptRequester = (relay, {endpoint}) =>
    serveRelayedRequests({
      keep() {},
      group: groups.get(relay)!,
      endpoint,
      clock,
      idleTransactionMs: () => IDLE_TRANSACTION_MS,
    });

  /** Answers a question for a position by what the asked instances have. */
  function answerPosition(
    requester: RelayAddress,
    asked: readonly string[],
  ): void {
    const askedAt = clock.now();
    for (const address of asked) {
      const confirmed = groups.get(address)?.ownConfirmed();
      if (!confirmed) continue;
      clock.after(2 * TRANSIT_MS, () => {
        const since = askedAt - confirmed.ageMs;
        groups.get(requester)!.addPeerConfirmed(confirmed, since);
      });
    }
  }

  function startGroup(self: SharingInstance): GroupRuntime {
    const peers = sharing.filter(other => other !== self);
    const group = groupRuntime(
      {name: GROUP, maxConnections, syncReplicas: 0, hasAccounts: false},
      {
        name: GROUP,
        dataCentre: self.dataCentre,
        clock,
        log,
        driver,
        relayDriver: simulatedRelayDriver(clock, accept),
        suspensionDetector: suspensionDetector(
          () => clock.now(),
          () => clock.now(),
        ),
        leavingMs: Infinity,
        askPeers: async () => undefined,
        requestConfirmedPosition: (_group, asked) =>
          answerPosition(self.relay, asked),
        planFor: endpoint => sharingPlan(self, peers, endpoint),
        primaryUse: ALWAYS_PERMITTED,
        lapsedEndpoints: () => [],
      },
    );
    const listed = endpoints.map((id, i) => ({
      ...listedEndpoint(id),
      group: GROUP,
      dataCentre: dataCentreOf(i),
      slots,
      saysPrimary: i === 0,
    }));
    group.setEndpoints(listed);
    for (const {endpoint, untilMs, isGone} of context.faults ?? []) {
      if (!isGone) continue;
      clock.after(untilMs + chance() * ENTRY_SPREAD_MS - clock.now(), () => {
        const entry = listed.find(({id}) => id === endpoint)!;
        entry.startedAt = untilMs;
        group.setEndpoints(listed.map(item => ({...item})));
      });
    }
    tickFrom(chance() * TIMES.tickMs, group);
    return group;
  }

  function tickFrom(delayMs: number, group: GroupRuntime): void {
    clock.after(delayMs, () => {
      group.tick();
      tickFrom(TIMES.tickMs, group);
    });
  }

  for (const self of sharing) groups.set(self.relay, startGroup(self));
  return [...groups.values()];
}
