/** Creates and connects the components of a daemon. */
import {randomInt} from 'node:crypto';
import {
  type Disposable,
  disposableStore,
  hashFraction,
  rankOf,
  systemClock,
} from '@quetzalreel/common';
import type {Configuration, EndpointConfig} from '@quetzalreel/config';
import {pgDriver} from '@quetzalreel/endpoint';
import {httpPlatformClient} from '@quetzalreel/object-store';
import {tokenCodec} from '@quetzalreel/position';
import {start, stop} from 'nact';
import {startAdmin} from './admin.js';
import {type CallerListener, startListener} from './caller-listener.js';
import {type ConfigFollower, followConfiguration} from './config-actor.js';
import {credentialChecker} from './credentials.js';
import {DRAIN_TIMES, GROUP_LIMITS, TIMES} from './defaults.js';
import type {DrainReport} from './drain.js';
import {type FleetHandle, joinFleet} from './fleet-actor.js';
import {startGroup} from './group-actor.js';
import type {GroupHandle} from './group-handle.js';
import {keyFiles} from './key-files.js';
import {type Log, createLog} from './log.js';
import {startMetrics} from './metrics.js';
import {operatorState} from './operator-state.js';
import {type Settings, withPortError, peerAddresses} from './settings.js';
import {startSuspicionExchange} from './suspicions.js';
import {type ShareHandle, startShares} from './share-actor.js';

/** A running daemon. */
export interface Daemon extends Disposable {
  readonly port: number;
  readonly adminPort: number;
  /** Number of requests and transactions that use an endpoint of a group. */
  busy(group: string): number;
  /** Address at which peers reach this instance. */
  readonly peerAddress: string;
  /** Shuts down gracefully, then releases all resources. */
  stop(): Promise<DrainReport>;
}

/** Exclusive upper bound of random seeds. */
const MAX_SEED = 2 ** 31;

/** Starts a daemon; resolves when it serves callers. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const log = createLog(settings.instance, settings.logLevel);
  const clock = systemClock();
  const owned = disposableStore();
  const system = start();
  owned.add({dispose: () => stop(system)});
  const groups = new Map<string, GroupHandle>();
  let stopping = false;
  owned.add({dispose: () => groups.forEach(group => group.dispose())});

  let follower: ConfigFollower | undefined = undefined;
  let listener: CallerListener | undefined = undefined;
  let fleet: FleetHandle | undefined = undefined;

  const platform = httpPlatformClient({
    url: settings.platformUrl,
    timeoutMs: TIMES.platformCallMs,
  });
  const shares: ShareHandle = owned.add(
    await startShares({
      system,
      clock,
      log,
      instance: settings.instance,
      expectedInstances: settings.instances,
      tickMs: TIMES.fleetTickMs,
      setCapacity(endpoint, capacity) {
        groupOfEndpoint(endpoint)?.setCapacity(endpoint, capacity);
      },
      useOf(endpoint) {
        const state = groupOfEndpoint(endpoint)?.state;
        const busy = state?.view.endpoints.get(endpoint)?.busy ?? 0;
        return {busy, waiting: state?.waiting.length ?? 0};
      },
      requestLoan: (endpoint, count) => fleet?.requestLoan(endpoint, count),
      grantLoan: (to, endpoint, count) => fleet?.grantLoan(to, endpoint, count),
    }),
  );

  function groupOfEndpoint(endpoint: string): GroupHandle | undefined {
    for (const group of groups.values()) {
      if (group.state.view.endpoints.has(endpoint)) return group;
    }
    return undefined;
  }

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
  let members: readonly string[] = [];
  const suspicionExchange = startSuspicionExchange({
    clock,
    instance: settings.instance,
    validityMs: GROUP_LIMITS.stepMs,
    groupOf: name => groups.get(name),
    broadcast: suspected => fleet?.broadcastSuspicions(suspected),
  });
  const context = {
    system,
    clock,
    log,
    instance: settings.instance,
    rankInGroup: (group: string) => rankInGroup(group, settings, members),
    reportSuspicion: (group: string, term: number) =>
      suspicionExchange.reportOwnSuspicion(group, term),
    dataCentre: settings.dataCentre,
    limits: GROUP_LIMITS,
    times: TIMES.poll,
    tickMs: TIMES.groupTickMs,
    driverOf,
    capacityOf: (endpoint: EndpointConfig) => shares.capacityOf(endpoint),
  };

  function apply(cfg: Configuration): void {
    shares.configure(cfg);
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

  /**
   * Whether the platform's load balancer may route callers to this instance.
   */
  const ready = () =>
    !owned.disposed &&
    !stopping &&
    listener !== undefined &&
    follower?.current !== undefined;
  const metrics = owned.add(
    startMetrics({
      clock,
      groups: () => groups.values(),
      fleet: () => fleet,
      shares: () => shares,
      generation: () => follower?.current?.generation ?? 0,
      storeDown: () => follower?.storeDown ?? false,
      callers: () => listener?.callers ?? 0,
      primaryCheckIntervalMs: TIMES.groupTickMs,
    }),
  );
  const admin = owned.add(
    await withPortError(
      'admin-port',
      settings.adminPort,
      startAdmin({
        host: settings.host,
        port: settings.adminPort,
        token: settings.operatorToken,
        groups: () => groups.values(),
        ready,
        metrics,
        state: () =>
          operatorState({
            instance: settings.instance,
            dataCentre: settings.dataCentre,
            inForce: follower?.inForce,
            storeDown: follower?.storeDown ?? false,
            ready: ready(),
            callers: listener?.callers ?? 0,
            groups: [...groups.values()],
            fleet,
            shares,
          }),
      }),
    ),
  );
  fleet = owned.add(
    await withPortError(
      'peer-port',
      settings.peerPort,
      joinFleet({
        system,
        platform,
        clock,
        log,
        instance: settings.instance,
        dataCentre: settings.dataCentre,
        host: settings.host,
        port: settings.peerPort,
        admin: `${settings.host}:${admin.port}`,
        peers: peerAddresses(settings),
        seed: randomInt(MAX_SEED),
        incarnation: Date.now(),
        ...peerTlsOptions(settings, log),
        inForce: () => follower?.inForce,
        onConfig: event => follower?.receive(event),
        onMembers: live => {
          members = live.map(({id}) => id);
          shares.setMembers(live);
          for (const group of groups.values()) group.updateRank();
        },
        onReports: reports => suspicionExchange.receiveReports(reports),
        onLoan: message => shares.onLoan(message),
      }),
    ),
  );
  const {configPeers: peers} = fleet;
  const times = TIMES.config;
  follower = owned.add(
    followConfiguration({system, platform, clock, log, times, peers, apply}),
  );
  await follower.firstConfiguration;
  const configuration = () => follower!.current!;
  listener = owned.add(
    await withPortError(
      'port',
      settings.port,
      startListener({
        ...context,
        host: settings.host,
        port: settings.port,
        maxMessageBytes: settings.maxMessageBytes,
        loginTimeoutMs: TIMES.loginMs,
        tokens: settings.sessionKey
          ? tokenCodec(settings.sessionKey)
          : undefined,
        configuration,
        verify: credentialChecker(configuration).verify,
        ...callerTlsOptions(settings, log),
        groupOf: name => groups.get(name),
      }),
    ),
  );
  log.info({port: listener.port, adminPort: admin.port}, 'serving');
  return {
    port: listener.port,
    adminPort: admin.port,
    busy: name => busyPlaces(groups.get(name)),
    peerAddress: fleet.address,
    async stop() {
      stopping = true;
      log.info('stopping');
      const report = await listener.drain(DRAIN_TIMES);
      log.info(report, 'stopped');
      fleet!.leave();
      await clock.sleep(TIMES.leaveDelayMs);
      owned.dispose();
      return report;
    },
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

/** Options for callers' TLS, if the settings name its files. */
function callerTlsOptions(settings: Settings, log: Log) {
  const {tlsCert: cert, tlsKey: key} = settings;
  return cert === '' ? {} : {tls: keyFiles({cert, key}, log)};
}

/** Options for TLS between instances, if the settings name its files. */
function peerTlsOptions(settings: Settings, log: Log) {
  const {peerTlsCert: cert, peerTlsKey: key, peerTlsCa: ca} = settings;
  return cert === '' ? {} : {tls: keyFiles({cert, key, ca}, log)};
}

/**
 * The rank of this instance in a group, and how many instances monitor the
 * group. Until the members are known, a hash spreads the ranks.
 */
function rankInGroup(
  group: string,
  settings: Settings,
  members: readonly string[],
): {rank: number; watchers: number} {
  if (members.length > 1) {
    const rank = rankOf(settings.instance, members, group);
    return {rank, watchers: members.length};
  }
  const share = hashFraction(`${group}/${settings.instance}`);
  const rank = share * settings.instances;
  return {rank, watchers: settings.instances};
}
