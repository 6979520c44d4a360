/** View of the store: the configuration in force and the listed endpoints. */
import {
  type Clock,
  type Disposable,
  disposableStore,
  hashFraction,
  messageOf,
} from '@quetzalreel/common';
import {
  type FactMessage,
  type FeedMessage,
  type KeptObjects,
  startFeed,
} from '@quetzalreel/facts';
import type {SuspensionDetector} from '@quetzalreel/freshness';
import {
  type KindEvent,
  type KindObject,
  type KindStore,
  select,
} from '@quetzalreel/object-store';
import {LIMITS, READER_LIMITS, TIMES} from './defaults.js';
import {
  type Directory,
  type DirectoryEvent,
  emptyDirectory,
  lapsedEndpoints,
  stepDirectory,
} from './endpoint-directory.js';
import type {Log} from './log.js';
import type {StoreFormat, ListedEndpoint, RoutingTable} from './routes.js';
import {usedObjects} from './used-objects.js';

/** The instances with which a view shares what it reads. */
export interface FactPeers {
  /** Undefined until the list of instances was read. */
  readonly links: readonly string[] | undefined;
  readonly fleetSize: number;
  sendFact(addresses: readonly string[], message: FeedMessage): void;
}

/** Dependencies of a store view. */
export interface StoreViewContext {
  readonly instance: string;
  readonly peers: FactPeers;
  readonly suspensionDetector: SuspensionDetector;
  /** The time of day in Unix milliseconds. */
  readonly timeOfDay: () => number;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  readonly store: KindStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly catalog: StoreFormat;
  /** Called with each configuration that comes into force. */
  readonly onConfiguration: (table: RoutingTable) => void;
  /** Called when the endpoints may have changed. */
  readonly onEndpoints: () => void;
}

/** A configuration in the format of the store. */
export interface RawConfiguration {
  readonly generation: number;
  readonly value: unknown;
}

/** The current view of the store. */
export interface StoreView extends Disposable {
  /** The configuration in force; undefined for none. */
  readonly table: RoutingTable | undefined;
  /** The same in the format of the store. */
  readonly rawConfiguration: RawConfiguration | undefined;
  /** Whether the last read of the configuration from the store succeeded. */
  readonly isConfigurationReachable: boolean;
  /**
   * Puts a configuration into force unless its generation is not newer than the
   * current one.
   */
  offerConfiguration(value: unknown): void;
  /** The listed endpoints, by group. */
  endpointsByGroup(): ReadonlyMap<string, readonly ListedEndpoint[]>;
  /** The endpoints of a group whose entries lapsed and may be back. */
  lapsedEndpoints(group: string): readonly string[];
  /** How many objects of the store this instance keeps, by kind. */
  keptObjects(): readonly KeptObjects[];
  /** Handles a message of a linked instance. */
  receiveFact(message: FactMessage): void;
  /** Handles the loss of a link to an instance. */
  noteLinkLost(address: string): void;
  /** Drops entries that have been missing for long enough. */
  tick(): void;
}

const RESTART_TIMES = {
  firstReadMs: TIMES.firstReadMs,
  firstCopyMs: TIMES.firstCopyMs,
  firstAloneMs: 0,
} as const;
const FIRST_START_TIMES = {
  firstReadMs: TIMES.firstStartReadMs,
  firstCopyMs: TIMES.firstStartReadMs,
  firstAloneMs: TIMES.firstStartReadMs,
} as const;

/** Follows the store until disposed. */
export function storeView(context: StoreViewContext): StoreView {
  const {clock, log, catalog, onConfiguration, onEndpoints} = context;
  const owned = disposableStore();
  const used = usedObjects(context);
  let table: RoutingTable | undefined;
  let spelled: RawConfiguration | undefined;
  let directory: Directory = emptyDirectory(clock.now());

  function apply(next: RoutingTable, value: unknown): void {
    const {generation} = next;
    if (table && generation <= table.generation) {
      if (generation === table.generation) return;
      const inForce = table.generation;
      log.info({event: 'configurationPassedOver', generation, inForce});
      return;
    }
    log.info({event: 'configured', generation, routes: next.routes.size});
    table = next;
    spelled = {generation, value};
    onConfiguration(next);
  }

  /** Takes a configuration of which only the used part is left. */
  function takeConfiguration(value: unknown): void {
    try {
      apply(catalog.readConfiguration(value), value);
    } catch (err) {
      log.error({event: 'configurationUnreadable', why: messageOf(err)});
    }
  }

  function takeObject(object: KindObject): void {
    if (object.name !== catalog.configuration.name) return;
    takeConfiguration(object.value);
  }

  function step(event: DirectoryEvent): void {
    directory = stepDirectory(directory, event, clock.now());
  }

  function stepEntry({object, deleted}: KindEvent): void {
    if (deleted) {
      step({type: 'deleted', id: object.name});
      return;
    }
    if (object.unreadable) return;
    const endpoint = catalog.readEndpoint(object.name, object.value);
    const before = directory;
    step({type: 'put', endpoint});
    if (directory === before)
      log.info({event: 'olderEntryPassedOver', ...endpoint});
  }

  owned.add(context.store.era.onRestored(() => step({type: 'restored'})));

  const feed = owned.add(
    startFeed({
      instance: context.instance,
      clock,
      store: context.store,
      kinds: [
        {
          kind: catalog.configuration.kind,
          watchMs: TIMES.watchConfigurationMs,
          usedPart: used.ofConfigurations,
          onEvents: events => {
            for (const {object, deleted} of events) {
              if (!deleted) takeObject(object);
            }
          },
          onReach: () => {},
        },
        {
          kind: catalog.endpoints.kind,
          watchMs: TIMES.watchEndpointsMs,
          usedPart: used.ofEntries,
          onEvents: events => {
            events.forEach(stepEntry);
            onEndpoints();
          },
          onReach: (reached, forMs) => step({type: 'reach', reached, forMs}),
        },
      ],
      times: {
        beatMs: TIMES.readerBeatMs,
        ...(context.isFirstStart ? FIRST_START_TIMES : RESTART_TIMES),
        lateMs: TIMES.lateFactMs,
      },
      limits: () => ({
        ...READER_LIMITS,
        readers:
          context.peers.fleetSize > LIMITS.smallFleet
            ? READER_LIMITS.readers
            : READER_LIMITS.smallFleetReaders,
      }),
      preferenceOf: name => hashFraction(`reader/${name}`),
      suspensions: () => context.suspensionDetector.suspensionCount(),
      life: context.timeOfDay(),
      links: () => context.peers.links,
      send: (addresses, message) => context.peers.sendFact(addresses, message),
      onEvent: event => log.info(event),
    }),
  );

  return {
    get table() {
      return table;
    },
    get rawConfiguration() {
      return spelled;
    },
    get isConfigurationReachable() {
      return feed.isReached(catalog.configuration.kind);
    },
    offerConfiguration: value =>
      takeConfiguration(select(catalog.configuration.selection, value)),
    endpointsByGroup() {
      const byGroup = new Map<string, ListedEndpoint[]>();
      for (const {endpoint} of directory.entries.values()) {
        const list = byGroup.get(endpoint.group) ?? [];
        list.push(endpoint);
        byGroup.set(endpoint.group, list);
      }
      return byGroup;
    },
    lapsedEndpoints: group => lapsedEndpoints(directory, group, clock.now()),
    keptObjects: () => feed.keptObjects(),
    receiveFact: message => feed.receive(message),
    noteLinkLost: address => feed.noteLinkLost(address),
    tick() {
      feed.tick();
      const before = directory;
      step({type: 'tick'});
      if (directory !== before) onEndpoints();
    },
    dispose: () => owned.dispose(),
  };
}
