/** Puts the parts of a daemon together. */
import {
  type Disposable,
  disposableStore,
  systemClock,
} from '@quetzalreel/common';
import type {Configuration, EndpointConfig} from '@quetzalreel/config';
import {pgDriver} from '@quetzalreel/endpoint';
import {hashOf} from '@quetzalreel/group';
import {httpPlatformClient} from '@quetzalreel/platform';
import {tokenCodec} from '@quetzalreel/position';
import {start, stop} from 'nact';
import {startAdmin} from './admin.js';
import {startListener} from './caller-listener.js';
import {followConfiguration} from './config-actor.js';
import {GROUP_LIMITS, TIMES} from './defaults.js';
import {type GroupHandle, startGroup} from './group-actor.js';
import {createLog} from './log.js';
import type {Settings} from './settings.js';

/** A running daemon. */
export interface Daemon extends Disposable {
  readonly port: number;
  readonly adminPort: number;
  /** Requests and transactions that hold a place in a group now. */
  busy(group: string): number;
}

/** Starts a daemon; resolves when it serves callers. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const log = createLog(settings.instance, settings.logLevel);
  const clock = systemClock();
  const owned = disposableStore();
  const system = start();
  owned.add({dispose: () => stop(system)});
  const groups = new Map<string, GroupHandle>();
  owned.add({dispose: () => groups.forEach(group => group.dispose())});

  const driverOf = (endpoint: EndpointConfig) =>
    pgDriver(
      {
        name: endpoint.name,
        host: endpoint.host,
        port: endpoint.port,
        user: settings.endpointUser,
        password: settings.endpointPassword,
        database: 'postgres',
        applicationName: settings.instance,
        connectTimeoutMs: TIMES.connectMs,
      },
      {callTimeoutMs: TIMES.controlCallMs},
    );
  const context = {
    system,
    clock,
    log,
    instance: settings.instance,
    rankIn: (group: string) => ({
      rank: turnOf(settings, group),
      watchers: settings.instances,
    }),
    limits: GROUP_LIMITS,
    times: TIMES.poll,
    tickMs: TIMES.tickMs,
    driverOf,
    capacityOf: (endpoint: EndpointConfig) => share(endpoint, settings),
  };

  function apply(cfg: Configuration): void {
    const wanted = new Set(cfg.groups.map(group => group.name));
    for (const [name, group] of groups) {
      if (wanted.has(name)) continue;
      groups.delete(name);
      group.dispose();
    }
    for (const group of cfg.groups) {
      const running = groups.get(group.name);
      if (running) running.configure(group);
      else groups.set(group.name, startGroup(group, context));
    }
  }

  const platform = httpPlatformClient({
    url: settings.platformUrl,
    timeoutMs: TIMES.platformCallMs,
  });
  const follower = owned.add(
    followConfiguration(platform, clock, log, TIMES.config, apply),
  );
  await follower.first;
  const listener = owned.add(
    await startListener({
      ...context,
      host: settings.host,
      port: settings.port,
      maxMessageBytes: settings.maxMessageBytes,
      loginTimeoutMs: TIMES.loginMs,
      tokens: settings.sessionKey ? tokenCodec(settings.sessionKey) : undefined,
      configuration: () => follower.current!,
      groupOf: name => groups.get(name),
    }),
  );
  const admin = owned.add(
    await startAdmin({
      host: settings.host,
      port: settings.adminPort,
      instance: settings.instance,
      configuration: () => follower.current,
      groups: () => groups.values(),
      ready: () => !owned.disposed,
    }),
  );
  log.info({port: listener.port, adminPort: admin.port}, 'serving');
  return {
    port: listener.port,
    adminPort: admin.port,
    busy: name => busyPlaces(groups.get(name)),
    dispose: () => owned.dispose(),
  };
}

function busyPlaces(group: GroupHandle | undefined): number {
  let busy = 0;
  for (const item of group?.state.view.endpoints.values() ?? []) {
    busy += item.busy;
  }
  return busy;
}

/**
 * Requests that this instance may have on an endpoint at a time: its part of
 * the connections, when each instance keeps one more for control calls.
 */
function share(endpoint: EndpointConfig, settings: Settings): number {
  const free = endpoint.connections - settings.instances;
  const part = Math.floor(free / settings.instances);
  return Math.max(1, Math.min(endpoint.slots, part));
}

/** This instance's turn in a group, spread evenly over the instances. */
function turnOf(settings: Settings, group: string): number {
  const hash = hashOf(`${group}/${settings.instance}`);
  return (hash / HASHES) * settings.instances;
}

/** Number of values that `hashOf` can have. */
const HASHES = 2 ** 32;
