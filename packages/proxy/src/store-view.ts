/** View of the store: the configuration in force and the listed endpoints. */
import {
  type Clock,
  type Disposable,
  disposableStore,
  messageOf,
} from '@quetzalreel/common';
import type {KindEvent, KindObject, KindStore} from '@quetzalreel/object-store';
import {TIMES} from './defaults.js';
import {
  type Directory,
  type DirectoryEvent,
  emptyDirectory,
  stepDirectory,
} from './endpoint-directory.js';
import {followKind} from './follow-kind.js';
import type {Log} from './log.js';
import type {StoreFormat, ListedEndpoint, RoutingTable} from './routes.js';

/** Dependencies of a store view. */
export interface StoreViewContext {
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
  /** Drops entries that have been missing for long enough. */
  tick(): void;
}

/** Follows the store until disposed. */
export function storeView(context: StoreViewContext): StoreView {
  const {clock, log, catalog, onConfiguration, onEndpoints} = context;
  const owned = disposableStore();
  let table: RoutingTable | undefined;
  let spelled: RawConfiguration | undefined;
  let configurationReached = false;
  let directory: Directory = emptyDirectory(clock.now());

  function apply(next: RoutingTable, value: unknown): void {
    if (table && next.generation <= table.generation) return;
    const {generation} = next;
    log.info({event: 'configured', generation, routes: next.routes.size});
    table = next;
    spelled = {generation, value};
    onConfiguration(next);
  }

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

  function readEntry(object: KindObject): ListedEndpoint | undefined {
    try {
      return catalog.readEndpoint(object.name, object.value);
    } catch (err) {
      log.warn({
        event: 'entryUnreadable',
        endpoint: object.name,
        why: messageOf(err),
      });
      return undefined;
    }
  }

  function readEntries(objects: readonly KindObject[]): ListedEndpoint[] {
    const endpoints: ListedEndpoint[] = [];
    for (const object of objects) {
      const endpoint = readEntry(object);
      if (endpoint) endpoints.push(endpoint);
    }
    return endpoints;
  }

  function stepEntry({object, deleted}: KindEvent): void {
    if (deleted) {
      step({type: 'deleted', id: object.name});
      return;
    }
    const endpoint = readEntry(object);
    if (endpoint) step({type: 'put', endpoint});
  }

  owned.add(
    followKind({
      ...context,
      kind: catalog.configuration.kind,
      watchMs: TIMES.watchConfigurationMs,
      onSnapshot: ({objects}) => objects.forEach(takeObject),
      onEvents: events => {
        for (const {object, deleted} of events) {
          if (!deleted) takeObject(object);
        }
      },
      onReachabilityChange: reached => {
        configurationReached = reached;
      },
    }),
  );
  owned.add(
    followKind({
      ...context,
      kind: catalog.endpointKind,
      watchMs: TIMES.watchEndpointsMs,
      onSnapshot: ({objects}) => {
        step({type: 'listed', endpoints: readEntries(objects)});
        onEndpoints();
      },
      onEvents: events => {
        events.forEach(stepEntry);
        onEndpoints();
      },
      onReachabilityChange: reached => step({type: 'reach', reached}),
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
      return configurationReached;
    },
    offerConfiguration: takeConfiguration,
    endpointsByGroup() {
      const byGroup = new Map<string, ListedEndpoint[]>();
      for (const {endpoint} of directory.entries.values()) {
        const list = byGroup.get(endpoint.group) ?? [];
        list.push(endpoint);
        byGroup.set(endpoint.group, list);
      }
      return byGroup;
    },
    tick() {
      const before = directory;
      step({type: 'tick'});
      if (directory !== before) onEndpoints();
    },
    dispose: () => owned.dispose(),
  };
}
