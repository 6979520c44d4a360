/**
 * Assembles the proxy: the store view, groups, sessions, peers and the
 * shutdown.
 */
import {disposableStore, messageOf} from '@quetzalreel/common';
import {type CallerLimit, unlimitedCallerMemory} from '@quetzalreel/requests';
import {suspensionDetector} from '@quetzalreel/freshness';
import {
  type ChangeRecord,
  leaseStore,
  primaryChanger,
} from '@quetzalreel/failover';
import {
  type KeepForRequester,
  type RelayTarget,
  type ServedConnection,
  tcpRelayDriver,
} from '@quetzalreel/relay';
import {acceptCallers} from './accept-callers.js';
import {callerLimitLog} from './caller-limit-log.js';
import {CHANGE_LIMITS, SESSION_LIMITS, TIMES} from './defaults.js';
import {
  type ExplainContext,
  describeInstance,
  explainRequest,
} from './explain.js';
import type {GroupRuntime} from './group-types.js';
import {groupRuntime} from './group.js';
import {operationQuotas} from './operation-quotas.js';
import {serveRelayedRequests} from './relayed-requests.js';
import {proxyMetrics} from './metrics.js';
import {
  type RenewedPrimaryUse,
  groupPrimaryUse,
  needsPermission,
  renewedPrimaryUse,
  usesPrimary,
} from './primary-use.js';
import {watchPrimary} from './primary-watch.js';
import type {GroupPolicy, RoutingTable} from './routes.js';
import {joinPeers} from './peers.js';
import type {Proxy, ProxyOptions} from './proxy-types.js';
import {periodicTick} from './periodic-tick.js';
import type {CallerSession} from './session.js';
import {type Shutdown, beginShutdown} from './shutdown.js';
import {storeView} from './store-view.js';

/** Starts the proxy. */
export function startProxy(options: ProxyOptions): Proxy {
  const {clock, log, instance} = options;
  const owned = disposableStore();
  const sessions = new Set<CallerSession>();
  const groups = new Map<string, GroupRuntime>();
  const guard = suspensionDetector(() => clock.now(), options.timeOfDay);
  const callerMemory = options.callerMemory ?? unlimitedCallerMemory();
  const sessionLimits = options.sessionLimits ?? SESSION_LIMITS;
  const limitLog = callerLimitLog(clock, log);
  let shutdown: Shutdown | undefined;
  let onConfigured = () => {};
  const configured = new Promise<void>(resolve => {
    onConfigured = resolve;
  });

  const metrics = proxyMetrics({
    groups: () => groups.values(),
    generation: () => view.table?.generation ?? 0,
    storeEra: () => options.store.era.current,
    keptObjects: () => view.keptObjects(),
    sessions: () => sessions.size,
    heldAnswerBytes: () => options.answerMemory.heldBytes,
    callerMemory,
    callerConnections: options.callerConnections ?? (() => sessions.size),
    now: () => clock.now(),
  });

  const quotas = owned.add(
    operationQuotas({
      clock,
      log,
      rule: options.quotaRule,
      isFirstStart: options.isFirstStart,
      suspensions: () => guard.suspensionCount(),
      peers: () => peers,
    }),
  );

  function onLimit(limit: CallerLimit, bytes: number): void {
    metrics.countLimit(limit);
    limitLog.note(limit, bytes);
  }

  const peers = joinPeers({
    ...options,
    callerMemory,
    maxRequesters: options.maxRequesters ?? Infinity,
    serveRelayed: serveOthers,
    onChange: () => {
      for (const group of groups.values()) group.replan();
      quotas.noteInstances();
      view.tick();
    },
    isStoreUnavailable: () => !view.isConfigurationReachable,
    generation: () => view.table?.generation ?? 0,
    source: {
      reaches: async (group, endpoint) => {
        const known = groups.get(group);
        return known
          ? known.checkReachable(endpoint, TIMES.peerCheckTimeoutMs)
          : false;
      },
      confirmed: group => groups.get(group)?.ownConfirmed(),
      configuration: () => view.rawConfiguration,
    },
    changeSource: {
      get changes() {
        return changer.changes;
      },
      addChanges: changes => changer.addChanges(changes),
      get lastOrderAt() {
        return changer.lastOrderAt;
      },
      noteEra: era => void options.store.era.hear(era),
      finishTransactions,
    },
    onConfiguration: value => view.offerConfiguration(value),
    onConfirmed: (group, confirmed, askedAt) =>
      groups.get(group)?.addPeerConfirmed(confirmed, askedAt),
    onFact: message => view.receiveFact(message),
    onQuota: message => quotas.receive(message),
    onLinkLost: address => view.noteLinkLost(address),
  });
  owned.add(peers);

  const changer = primaryChanger({
    instance,
    clock,
    lease: leaseStore(options.store),
    orders: options.orders,
    limits: CHANGE_LIMITS,
    onEvent: event => log.info(event),
    onChanges: () => {
      for (const group of groups.values()) group.noteChange();
    },
    areOthersIdle: peers.areIdle,
    hasAllChanges: (era, since) => primaryUse.hasAllChanges(era, since),
  });

  owned.add(
    options.store.era.onRestored((era, before) => {
      log.warn({
        event: 'storeRestored',
        era,
        before,
        generation: view.table?.generation,
        leaseFence: changer.knownFence,
      });
      if (changer.isHolder) void refreshLease();
    }),
  );

  const primaryUse: RenewedPrimaryUse = renewedPrimaryUse({
    clock,
    log,
    suspensionDetector: guard,
    changer,
    era: options.store.era,
    witnesses: () => peers.witnesses,
    confirmPeers: peers.confirm,
    hasEntry: () => peers.hasEntry,
    usesPrimary: () =>
      usesPrimary(groups.values(), options.replacedPrimaryStops),
  });

  async function finishTransactions({group}: ChangeRecord): Promise<void> {
    const until = clock.now() + TIMES.finishTransactionsMs;
    while (clock.now() < until) {
      if ((groups.get(group)?.primaryWork ?? 0) === 0) return;
      await clock.sleep(TIMES.receivePollMs);
    }
  }

  function applyTable(next: RoutingTable): void {
    for (const policy of next.groups.values()) {
      const known = groups.get(policy.name);
      if (!known) {
        addGroup(policy);
        continue;
      }
      known.policy = policy;
      known.replan();
    }
    updateGroupEndpoints();
    quotas.applyAccounts(next.accounts);
    for (const session of sessions) session.applyConfiguration();
    onConfigured();
  }

  function addGroup(policy: GroupPolicy): void {
    const group: GroupRuntime = groupRuntime(policy, {
      ...options,
      name: policy.name,
      relayDriver: tcpRelayDriver(options.answerMemory),
      suspensionDetector: guard,
      askPeers: async (name, endpoint) =>
        peers.peerQueries?.queryReachability(name, endpoint),
      requestConfirmedPosition: (name, addresses) =>
        peers.peerQueries?.requestConfirmedPosition(name, addresses),
      planFor: peers.planFor,
      primaryUse: groupPrimaryUse(primaryUse, () =>
        needsPermission(group.policy, options.replacedPrimaryStops),
      ),
      lapsedEndpoints: () => view.lapsedEndpoints(policy.name),
    });
    groups.set(policy.name, group);
    owned.add(group);
    const witnesses = () => peers.peerQueries;
    owned.add(
      watchPrimary(group, {
        ...options,
        changer,
        peerQueries: witnesses,
        announce: peers.announce,
        onSuccessorAwaited: () => metrics.countSuccessorWait(policy.name),
      }),
    );
  }

  function serveOthers(
    target: RelayTarget,
    keep: KeepForRequester,
  ): ServedConnection | undefined {
    const {endpoint} = target;
    const group = groups.get(target.group);
    if (!group?.links.has(endpoint)) return undefined;
    const idleTransactionMs = () =>
      view.table!.idleTransactionMs + TIMES.relayedIdleTransactionSlackMs;
    return serveRelayedRequests({
      group,
      endpoint,
      clock,
      keep,
      idleTransactionMs: idleTransactionMs,
    });
  }

  function updateGroupEndpoints(): void {
    const byGroup = view.endpointsByGroup();
    for (const group of groups.values()) {
      group.setEndpoints(byGroup.get(group.name) ?? []);
    }
  }

  const view = storeView({
    ...options,
    peers,
    suspensionDetector: guard,
    onConfiguration: applyTable,
    onEndpoints: updateGroupEndpoints,
  });
  owned.add(view);

  owned.add(
    periodicTick({
      clock,
      everyMs: TIMES.tickMs,
      run() {
        view.tick();
        primaryUse.tick();
        for (const group of groups.values()) group.tick();
        for (const session of sessions) session.tick();
      },
      onDelay(delayMs) {
        metrics.observeTickDelay(delayMs);
        if (delayMs < TIMES.lateTickMs) return;
        log.warn({event: 'timersLate', delayMs: Math.round(delayMs)});
      },
    }),
  );
  void pollLease();

  async function refreshLease(): Promise<void> {
    try {
      await changer.refreshLease();
    } catch (err) {
      log.warn({event: 'leaseNotRead', why: messageOf(err)});
    }
  }

  async function pollLease(): Promise<void> {
    while (!owned.disposed) {
      await refreshLease();
      await clock.sleep(TIMES.leasePollMs);
    }
  }

  const explainContext = (): ExplainContext => ({
    instance,
    dataCentre: options.dataCentre,
    table: view.table,
    groups,
    quotas: quotas.state,
    takesSessions: shutdown?.takesSessions ?? true,
    sessions: sessions.size,
    now: clock.now(),
  });

  const accept = acceptCallers({
    clock,
    log,
    metrics,
    sessions,
    table: () => view.table,
    group: name => groups.get(name),
    admit: quotas.admit,
    limits: sessionLimits,
    onLimit,
    shutdown: () => shutdown,
  });

  return {
    accept,
    metrics,
    onLimit,
    configured,
    explain: query => explainRequest(query, explainContext()),
    describe: () => describeInstance(explainContext()),
    dispose: () => owned.dispose(),
    get ready() {
      if (shutdown || !view.table) return false;
      for (const {group} of view.table.routes.values()) {
        const runtime = groups.get(group);
        if (runtime?.primary) return true;
      }
      return false;
    },
    async stop() {
      if (shutdown) return;
      log.info({event: 'stopping', sessions: sessions.size});
      shutdown = beginShutdown({
        clock,
        log,
        graceMs: options.graceMs,
        sessions,
        activeRequesters: () => peers.activeRequesters,
      });
      quotas.leave();
      void peers.leave();
      await shutdown.finished;
      owned.dispose();
    },
  };
}
