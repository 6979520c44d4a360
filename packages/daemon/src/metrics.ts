/** The metrics of a daemon, in the text format of Prometheus. */
import type {Clock, Disposable} from '@quetzalreel/common';
import {Responsiveness, primaryOf, writablePrimary} from '@quetzalreel/group';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {FleetHandle} from './fleet-actor.js';
import type {GroupHandle} from './group-handle.js';
import type {ShareHandle} from './share-actor.js';

/** Sources of the metrics. */
export interface MetricsContext {
  readonly clock: Clock;
  readonly groups: () => Iterable<GroupHandle>;
  readonly fleet: () => FleetHandle | undefined;
  readonly shares: () => ShareHandle | undefined;
  /** Generation in force; 0 when none is. */
  readonly generation: () => number;
  readonly storeDown: () => boolean;
  readonly callers: () => number;
  /** Interval between two checks for a primary, in milliseconds. */
  readonly primaryCheckIntervalMs: number;
}

/** The registered metrics. */
export interface Metrics extends Disposable {
  readonly contentType: string;
  text(): Promise<string>;
}

const MS_PER_S = 1000;
const US_PER_S = 1_000_000;
const GAP_BUCKETS_S = [0.1, 0.25, 0.5, 1, 2, 5, 7, 10, 30];

/** Registers the metrics and starts checking for primaries. */
export function startMetrics(context: MetricsContext): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const forEachGroup = (visit: (group: GroupHandle) => void) => {
    for (const group of context.groups()) visit(group);
  };

  /** Registers a gauge without labels whose value is read at each scrape. */
  const unlabelledGauge = (name: string, help: string, read: () => number) =>
    new Gauge({
      name: `quetzalreel_${name}`,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  unlabelledGauge(
    'configuration_generation',
    'Generation in force.',
    context.generation,
  );
  unlabelledGauge(
    'members',
    'Live members known here, this one included.',
    () => {
      return context.fleet()?.members.length ?? 0;
    },
  );
  unlabelledGauge(
    'store_reachable',
    'Whether the last call to the store succeeded.',
    () => (context.storeDown() ? 0 : 1),
  );
  unlabelledGauge(
    'caller_connections',
    'Callers that are connected.',
    context.callers,
  );
  unlabelledGauge('peer_links', 'Open links to other instances.', () => {
    return context.fleet()?.traffic.links ?? 0;
  });
  // The library's default metrics sample the event loop continuously; these two
  // are read only at a scrape.
  new Counter({
    name: 'process_cpu_seconds_total',
    help: 'Processor time of the process.',
    registers,
    collect() {
      const {user, system} = process.cpuUsage();
      this.reset();
      this.inc((user + system) / US_PER_S);
    },
  });
  new Gauge({
    name: 'process_resident_memory_bytes',
    help: 'Resident memory of the process.',
    registers,
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  unlabelledGauge(
    'replica_share_ratio',
    'Reads on replicas, 0 to 1.',
    replicaShare,
  );

  function replicaShare(): number {
    let replica = 0;
    let all = 0;
    forEachGroup(({reads}) => {
      replica += reads.replica;
      all += reads.replica + reads.primary;
    });
    return all === 0 ? 0 : replica / all;
  }

  new Counter({
    name: 'quetzalreel_reads_total',
    help: 'Reads placed, by the role of the endpoint.',
    labelNames: ['group', 'role'],
    registers,
    collect() {
      this.reset();
      forEachGroup(({name, reads}) => {
        for (const [role, count] of Object.entries(reads)) {
          this.inc({group: name, role}, count);
        }
      });
    },
  });
  new Counter({
    name: 'quetzalreel_requests_refused_total',
    help: 'Requests refused before they ran, by reason.',
    labelNames: ['group', 'reason'],
    registers,
    collect() {
      this.reset();
      forEachGroup(({name, refused}) => {
        for (const [reason, count] of refused) {
          this.inc({group: name, reason}, count);
        }
      });
    },
  });
  new Counter({
    name: 'quetzalreel_control_bytes_total',
    help: 'Bytes exchanged with other instances.',
    labelNames: ['direction'],
    registers,
    collect() {
      this.reset();
      const traffic = context.fleet()?.traffic;
      this.inc({direction: 'sent'}, traffic?.sentBytes ?? 0);
      this.inc({direction: 'received'}, traffic?.receivedBytes ?? 0);
    },
  });

  /** Registers a gauge with one value for each group. */
  const groupGauge = (
    name: string,
    help: string,
    read: (group: GroupHandle) => number,
  ) =>
    new Gauge({
      name: `quetzalreel_${name}`,
      help,
      labelNames: ['group'],
      registers,
      collect() {
        this.reset();
        forEachGroup(group => this.set({group: group.name}, read(group)));
      },
    });
  groupGauge('acks_held', 'Writes that wait for a majority.', group => {
    return group.state.pendingAcks.length;
  });
  groupGauge('requests_parked', 'Requests that wait for a place.', group => {
    return group.state.waiting.length;
  });
  groupGauge(
    'group_term',
    'Term of the primary; 0 when none is known.',
    group => {
      return primaryOf(group.state.view)?.status?.term ?? 0;
    },
  );

  /** Registers a gauge with one value for each endpoint. */
  const endpointGauge = (
    name: string,
    help: string,
    read: (group: GroupHandle, endpoint: string) => number,
  ) =>
    new Gauge({
      name: `quetzalreel_${name}`,
      help,
      labelNames: ['endpoint'],
      registers,
      collect() {
        this.reset();
        forEachGroup(group => {
          for (const endpoint of group.state.view.endpoints.keys()) {
            this.set({endpoint}, read(group, endpoint));
          }
        });
      },
    });
  endpointGauge(
    'endpoint_requests',
    'Requests that are on it.',
    (group, name) => {
      return group.state.view.endpoints.get(name)!.busy;
    },
  );
  endpointGauge(
    'endpoint_slots',
    'Requests that may be on it.',
    (group, name) => {
      return group.state.view.endpoints.get(name)!.capacity;
    },
  );
  endpointGauge(
    'endpoint_connection_share',
    'Connections that this instance may have open to it.',
    (_group, name) => context.shares()?.connectionsOf(name) ?? 0,
  );

  const failoverGaps = new Histogram({
    name: 'quetzalreel_failover_gap_seconds',
    help: 'Times without a primary that takes writes.',
    labelNames: ['group'],
    buckets: GAP_BUCKETS_S,
    registers,
  });
  const missingSince = new Map<string, number>();

  /**
   * Records when a group loses its primary, and the duration once it has one
   * again.
   */
  function checkPrimaries(): void {
    const now = context.clock.now();
    forEachGroup(group => {
      const {name} = group;
      const primary = writablePrimary(group.state.view);
      const isAvailable = primary?.reach === Responsiveness.Up;
      const since = missingSince.get(name);
      if (!isAvailable && since === undefined) missingSince.set(name, now);
      if (!isAvailable || since === undefined) return;
      missingSince.delete(name);
      failoverGaps.observe({group: name}, (now - since) / MS_PER_S);
    });
  }

  const timer = setInterval(checkPrimaries, context.primaryCheckIntervalMs);
  return {
    contentType: registry.contentType,
    text: () => registry.metrics(),
    dispose: () => clearInterval(timer),
  };
}
