/**
 * Assembles the proxy: the store view, groups, sessions, peers and the
 * shutdown.
 */
import {
  afterPendingReads,
  type Clock,
  disposableStore,
  messageOf,
} from '@quetzalreel/common';
import {
  type AcceptCaller,
  type Answer,
  type AnswerMemory,
  type CallerLimit,
  type CallerMemory,
  type EndpointDriver,
  type EndpointStatus,
  type OnLimit,
  type SessionLimits,
  SessionState,
  localError,
  unlimitedCallerMemory,
} from '@quetzalreel/requests';
import {suspensionDetector} from '@quetzalreel/freshness';
import type {KindStore} from '@quetzalreel/object-store';
import {
  type ChangeRecord,
  type PromotionOrders,
  leaseStore,
  primaryChanger,
} from '@quetzalreel/failover';
import type {QuotaRule} from '@quetzalreel/quota';
import {
  type KeepForRequester,
  type RelayTarget,
  type ServedConnection,
  tcpRelayDriver,
} from '@quetzalreel/relay';
import {accountFor} from './accounts.js';
import {callerLimitLog} from './caller-limit-log.js';
import {CHANGE_LIMITS, SESSION_LIMITS, TIMES} from './defaults.js';
import {
  type ExplainQuery,
  type Explanation,
  type InstanceDescription,
} from './explain-types.js';
import {
  type ExplainContext,
  describeInstance,
  explainRequest,
} from './explain.js';
import type {GroupRuntime} from './group-types.js';
import {groupRuntime} from './group.js';
import {operationQuotas} from './operation-quotas.js';
import {serveRelayedRequests} from './relayed-requests.js';
import type {Log} from './log.js';
import {type Metrics, proxyMetrics} from './metrics.js';
import {
  type RenewedPrimaryUse,
  groupPrimaryUse,
  needsPermission,
  renewedPrimaryUse,
} from './primary-use.js';
import {watchPrimary} from './primary-watch.js';
import type {StoreFormat, GroupPolicy, RoutingTable} from './routes.js';
import {joinPeers} from './peers.js';
import {periodicTick} from './periodic-tick.js';
import {type CallerSession, callerSession} from './session.js';
import {routeRefusal, sessionRefusal} from './session-refusal.js';
import {sessionRight} from './session-right.js';
import {type Shutdown, beginShutdown} from './shutdown.js';
import {storeView} from './store-view.js';

/** Dependencies of the proxy; the exchangeable ones are abstract classes. */
export interface ProxyOptions {
  readonly instance: string;
  readonly dataCentre: string;
  /** Address at which peers reach this instance. */
  readonly peers: {readonly host: string; readonly port: number};
  /** Address of the relay that peers use to reach endpoints. */
  readonly relay: {readonly host: string; readonly port: number};
  /** Time between the stop request and the kill, in milliseconds. */
  readonly graceMs: number;
  /** For how long an endpoint that leaves may get new work, in milliseconds. */
  readonly leavingMs: number;
  readonly clock: Clock;
  /** The time of day in Unix milliseconds; only compared with the clock. */
  readonly timeOfDay: () => number;
  readonly log: Log;
  readonly store: KindStore;
  readonly catalog: StoreFormat;
  readonly driver: EndpointDriver;
  /** Shared with `driver` and the listener for callers. */
  readonly answerMemory: AnswerMemory;
  /** Counts what callers and peers' relayed requests make this process keep;
   * not bounded without it. */
  readonly callerMemory?: CallerMemory;
  readonly sessionLimits?: SessionLimits;
  /** Requesters that may be connected to the relay at the same time. */
  readonly maxRequesters?: number;
  /** Connections of callers that are open. */
  readonly callerConnections?: () => number;
  readonly readStatus: (answer: Answer) => EndpointStatus | undefined;
  readonly orders: PromotionOrders;
  /**
   * Whether a replaced primary stops acknowledging by itself when the order to
   * replace it takes effect.
   */
  readonly replacedPrimaryStops: boolean;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** What client accounts may start beyond their limits. */
  readonly quotaRule: QuotaRule;
}

/** A running proxy. */
export interface Proxy {
  readonly metrics: Metrics;
  /** Reports that a limit has refused a caller something. */
  readonly onLimit: OnLimit;
  /** Accepts a caller's session. */
  readonly accept: AcceptCaller;
  /**
   * Resolves once a configuration is in force. Before that, every caller would
   * get the error that its database does not exist.
   */
  readonly configured: Promise<void>;
  /** Whether callers may be routed to this instance. */
  readonly ready: boolean;
  /** Describes where a request would go now; sends nothing. */
  explain(query: ExplainQuery): Explanation;
  /** Describes this instance and its groups. */
  describe(): InstanceDescription;
  /**
   * Ends all sessions within the grace period: idle sessions first, later idle
   * transactions by rollback; a request in progress is not interrupted before
   * the end of the period.
   */
  stop(): Promise<void>;
  /** Stops everything immediately. */
  dispose(): void;
}

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
    usesPrimary: () => {
      for (const {policy, primary, links} of groups.values()) {
        if (!needsPermission(policy, options.replacedPrimaryStops)) continue;
        const used = primary ? [primary] : links.values();
        for (const {plan, directConnections} of used) {
          if (plan.isHolder || directConnections > 0) return true;
        }
      }
      return false;
    },
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

  const takesSessions = () => shutdown?.takesSessions ?? true;
  const explainContext = (): ExplainContext => ({
    instance,
    dataCentre: options.dataCentre,
    table: view.table,
    groups,
    quotas: quotas.state,
    takesSessions: takesSessions(),
    sessions: sessions.size,
    now: clock.now(),
  });

  const accept: AcceptCaller = ({database, keyDigest}, connection) => {
    const caller = {type: 'keyDigest', digest: keyDigest} as const;
    const account = accountFor(view.table, database, caller);
    const refusal = sessionRefusal(database, {
      table: view.table,
      account,
      takesSessions: takesSessions(),
    });
    if (refusal || !account) {
      const {code, text} = refusal ?? routeRefusal(database);
      log.info({event: 'sessionRefused', database, code, why: text});
      return localError(code, text, SessionState.Idle);
    }
    let lastRoute = view.table!.routes.get(database)!;
    const session = callerSession({
      clock,
      log,
      metrics,
      database,
      connection,
      account,
      right() {
        lastRoute = view.table!.routes.get(database) ?? lastRoute;
        const opened = {database, keyDigest, account, lastRoute};
        return sessionRight(view.table!, opened);
      },
      afterPendingReads,
      route: () => view.table?.routes.get(database),
      group: name => groups.get(name),
      admit: quotas.admit,
      idleTransactionMs: () => view.table!.idleTransactionMs,
      stopping: () => shutdown?.endsSessions ?? false,
      answerBy: () => shutdown?.answerBy ?? Infinity,
      limits: sessionLimits,
      onLimit,
      onEnd: () => sessions.delete(session),
    });
    sessions.add(session);
    return session;
  };

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
