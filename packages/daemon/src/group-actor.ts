/**
 * The actor of one group: passes events to the pure state machine of the
 * `group` package and executes the effects that it returns.
 */
import {randomUUID} from 'node:crypto';
import {
  type Clock,
  type Disposable,
  disposableStore,
  messageOf,
} from '@quetzalreel/common';
import type {GroupConfig} from '@quetzalreel/config';
import {
  type Attempt,
  type EndpointConnection,
  type EndpointControl,
  EndpointDownError,
  type EndpointDriver,
  type EndpointStatus,
  FencedError,
} from '@quetzalreel/endpoint';
import {
  type EndpointView,
  type Grant,
  type GroupEffect,
  type GroupEvent,
  type GroupLimits,
  type GroupState,
  type RefusalReason,
  Responsiveness,
  initialGroup,
  primaryOf,
  stepGroup,
} from '@quetzalreel/group';
import {type ConnectionPool, connectionPool} from '@quetzalreel/pool';
import {formatPosition} from '@quetzalreel/position';
import {type ActorSystemRef, dispatch, spawn, stop} from 'nact';
import {POOL_TIMES} from './defaults.js';
import type {AckResult, GroupHandle, Placement} from './group-handle.js';
import type {Log} from './log.js';
import {type PollTimes, type Poller, startPolling} from './poller.js';

/** Dependencies and limits of a group's actor. */
export interface GroupContext {
  readonly system: ActorSystemRef;
  readonly clock: Clock;
  readonly log: Log;
  readonly instance: string;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /**
   * Rank of this instance in a group, and how many instances monitor the group.
   */
  readonly rankInGroup?: (group: string) => {rank: number; watchers: number};
  /** Reports to peers that this instance suspects the primary of a term. */
  readonly reportSuspicion?: (group: string, term: number) => void;
  readonly limits: GroupLimits;
  readonly times: PollTimes;
  /** Interval between two checks of the deadlines, in milliseconds. */
  readonly tickMs: number;
  readonly driverOf: (cfg: GroupConfig['endpoints'][number]) => EndpointDriver;
  readonly capacityOf: (cfg: GroupConfig['endpoints'][number]) => number;
}

interface EndpointResources {
  readonly address: string;
  readonly control: EndpointControl;
  readonly poller: Poller;
  readonly pool: ConnectionPool;
}

/** A callback for when work on an endpoint must end. */
interface VacateListener {
  readonly endpoint: string;
  readonly listener: () => void;
}

/** Starts the actor of a group. */
export function startGroup(
  cfg: GroupConfig,
  context: GroupContext,
): GroupHandle {
  const {clock, log, system} = context;
  const resources = new Map<string, EndpointResources>();
  const owned = disposableStore();
  const pendingPlacements = new Map<number, (placement: Placement) => void>();
  const vacateListeners = new Set<VacateListener>();
  const acks = new Map<number, (result: AckResult) => void>();
  // Unique for each process, so that a failover attempt of this process is not
  // mistaken for one of an earlier process of the same instance.
  const holder = `${context.instance}.${randomUUID()}`;
  let state = initialGroup(cfg, holder, context.limits, context.dataCentre);
  const reads = {primary: 0, replica: 0};
  const refused = new Map<RefusalReason, number>();
  const supersedableConnections = new Set<{
    readonly term: number;
    readonly connection: EndpointConnection;
  }>();
  let lastId = 0;

  const actor = spawn(
    system,
    (current: GroupState, event: GroupEvent) => {
      const result = stepGroup(current, event, clock.now());
      state = result.state;
      for (const effect of result.effects) perform(effect);
      closeSupersededConnections();
      return state;
    },
    `group-${cfg.name}`,
    {initialState: state},
  );
  const send = (event: GroupEvent) => dispatch(actor, event);

  function isUnresponsive(view: EndpointView): boolean {
    const lastResponseAt = Math.max(view.askedAt, view.heardAt);
    const silenceMs = clock.now() - lastResponseAt;
    return (
      view.reach !== Responsiveness.Up ||
      silenceMs >= context.limits.suspectAfterMs
    );
  }

  /**
   * Closes connections with a pending write to a primary that has been
   * replaced and is unresponsive. A replaced primary that still answers may
   * prove that the write did not run, so its connections stay open.
   */
  function closeSupersededConnections(): void {
    if (supersedableConnections.size === 0) return;
    const term = primaryOf(state.view)?.status?.term ?? 0;
    for (const guarded of [...supersedableConnections]) {
      if (guarded.term >= term) continue;
      const {endpoint} = guarded.connection;
      const view = state.view.endpoints.get(endpoint);
      if (!view || isUnresponsive(view)) guarded.connection.dispose();
    }
  }

  function perform(effect: GroupEffect): void {
    switch (effect.type) {
      case 'grant':
        logGrant(effect.id, effect.grant);
        if (effect.grant.reason !== 'write') reads[effect.grant.role]++;
        settlePlacement(effect.id, {grant: effect.grant, id: effect.id});
        return;
      case 'refuse':
        log.info(
          {group: cfg.name, req: effect.id, why: effect.reason},
          'refused',
        );
        refused.set(effect.reason, (refused.get(effect.reason) ?? 0) + 1);
        settlePlacement(effect.id, {refused: effect.reason});
        return;
      case 'acknowledge':
        settleAck(effect.id, 'acknowledged');
        return;
      case 'unknown':
        log.warn({group: cfg.name, req: effect.id, why: effect.why}, 'unknown');
        settleAck(effect.id, 'unknown');
        return;
      case 'vacate':
        log.info({group: cfg.name, endpoint: effect.endpoint}, 'vacated');
        for (const entry of [...vacateListeners]) {
          if (entry.endpoint === effect.endpoint) entry.listener();
        }
        return;
      case 'poll':
        for (const {poller} of resources.values()) poller.wake();
        return;
      case 'suspect':
        context.reportSuspicion?.(cfg.name, effect.term);
        return;
      case 'failoverStep': {
        const {from, to, term, why} = effect;
        log.warn({group: cfg.name, from, to, term, why}, 'change of primary');
        return;
      }
      default:
        void executeControlCall(effect);
    }
  }

  function logGrant(id: number, grant: Grant): void {
    log.info(
      {
        group: cfg.name,
        req: id,
        endpoint: grant.endpoint,
        role: grant.role,
        why: grant.reason,
        term: grant.term,
        floor: formatPosition(grant.floor),
        position: formatPosition(grant.position),
      },
      'routed',
    );
  }

  function settlePlacement(id: number, placement: Placement): void {
    pendingPlacements.get(id)?.(placement);
    pendingPlacements.delete(id);
  }

  function settleAck(id: number, result: AckResult): void {
    acks.get(id)?.(result);
    acks.delete(id);
  }

  /** Makes a control call and sends the actor the event for its result. */
  async function executeControlCall(
    effect: Extract<GroupEffect, {attempt: Attempt}>,
  ): Promise<void> {
    const {endpoint, attempt} = effect;
    const part = resources.get(endpoint);
    if (!part) return;
    const askedAt = clock.now();
    try {
      const status = await call(part.control, effect);
      const type = RESPONSE_EVENTS[effect.type];
      if (type === 'status') send({type, endpoint, status, askedAt});
      else send({type, endpoint, attempt, status, askedAt});
    } catch (err) {
      const why = messageOf(err);
      log.info({group: cfg.name, endpoint, call: effect.type, why}, 'control');
      const type = err instanceof FencedError ? 'refused' : 'unanswered';
      send({type, call: effect.type, endpoint, attempt});
    }
  }

  function call(
    endpoint: EndpointControl,
    effect: Extract<GroupEffect, {attempt: Attempt}>,
  ): Promise<EndpointStatus> {
    if (effect.type === 'fence') return endpoint.fence(effect.attempt);
    if (effect.type === 'promote') return endpoint.promote(effect.attempt);
    const upstream = state.view.endpoints.get(effect.upstream)!.cfg;
    const {host, port} = upstream;
    return endpoint.follow(effect.attempt, {host, port});
  }

  function addEndpoint(endpoint: GroupConfig['endpoints'][number]): void {
    const {name} = endpoint;
    const driver = context.driverOf(endpoint);
    const capacity = context.capacityOf(endpoint);
    const endpointControl = driver.control();
    const poller = startPolling(endpointControl, clock, context.times, {
      onStatus: (status, askedAt) =>
        send({type: 'status', endpoint: name, status, askedAt}),
      onFailure: (reach, askedAt) =>
        send({type: 'failed', endpoint: name, reach, askedAt}),
      isPositionAwaited: () => isStatusAwaited(state),
    });
    resources.set(name, {
      address: `${endpoint.host}:${endpoint.port}`,
      control: endpointControl,
      poller,
      pool: connectionPool(driver, clock, POOL_TIMES, capacity),
    });
    send({type: 'capacity', endpoint: name, capacity});
  }

  function removeEndpoint(name: string): void {
    const part = resources.get(name);
    resources.delete(name);
    part?.poller.dispose();
    part?.pool.dispose();
  }

  function updateRank(): void {
    const ranked = context.rankInGroup?.(cfg.name);
    if (ranked) send({type: 'ranked', ...ranked});
  }

  function configure(next: GroupConfig): void {
    updateRank();
    send({type: 'configured', cfg: next});
    const wanted = new Map(next.endpoints.map(item => [item.name, item]));
    for (const [name, part] of resources) {
      const endpoint = wanted.get(name);
      const same =
        endpoint && part.address === `${endpoint.host}:${endpoint.port}`;
      if (!same) removeEndpoint(name);
    }
    for (const [name, endpoint] of wanted) {
      if (!resources.has(name)) addEndpoint(endpoint);
    }
  }

  function startTimer(): Disposable {
    const timer = setInterval(() => send({type: 'tick'}), context.tickMs);
    return {dispose: () => clearInterval(timer)};
  }

  configure(cfg);
  owned.add(startTimer());
  owned.add({dispose: () => [...resources.keys()].forEach(removeEndpoint)});
  owned.add({dispose: () => stop(actor)});

  return {
    name: cfg.name,
    reads,
    refused,
    get state() {
      return state;
    },
    requestPlacement(input) {
      const id = ++lastId;
      const req = {...input, id, arrivedAt: clock.now()};
      return new Promise(resolve => {
        pendingPlacements.set(id, resolve);
        send({type: 'requested', req});
      });
    },
    release: (endpoint, elapsedMs) =>
      send({type: 'released', endpoint, elapsedMs}),
    waitForAck(id, position, deadline) {
      return new Promise(resolve => {
        acks.set(id, resolve);
        send({type: 'written', id, position, deadline});
      });
    },
    async takeConnection(endpoint, isWrite, until) {
      const part = resources.get(endpoint);
      if (!part) throw new EndpointDownError(endpoint, 'it was removed');
      return part.pool.acquire(isWrite, until);
    },
    reportTimeout: endpoint => resources.get(endpoint)?.pool.markUnverified(),
    resizePool(endpoint, share) {
      resources.get(endpoint)?.pool.resize(share);
      send({type: 'capacity', endpoint, capacity: share});
    },
    returnConnection(connection, reusable) {
      const part = resources.get(connection.endpoint);
      if (part) part.pool.release(connection, reusable);
      else connection.dispose();
    },
    onEndpointLeaving(endpoint, listener) {
      const entry = {endpoint, listener};
      vacateListeners.add(entry);
      return {dispose: () => vacateListeners.delete(entry)};
    },
    configure,
    setCapacity: (endpoint, capacity) =>
      send({type: 'capacity', endpoint, capacity}),
    updateRank,
    closeWhenSuperseded(term, connection) {
      const guarded = {term, connection};
      supersedableConnections.add(guarded);
      return {dispose: () => supersedableConnections.delete(guarded)};
    },
    async statusOf(endpoint) {
      const part = resources.get(endpoint);
      if (!part) throw new EndpointDownError(endpoint, 'not in this group');
      return part.control.status();
    },
    receiveSuspicion: (instance, term) =>
      send({type: 'suspected', instance, term}),
    reportReadOnly: (endpoint, at) => send({type: 'readOnly', endpoint, at}),
    orderPrimaryChange: target => send({type: 'ordered', target}),
    dispose: () => owned.dispose(),
  };
}

/**
 * Whether an acknowledgement, a request or a failover waits for a new status.
 */
function isStatusAwaited(state: GroupState): boolean {
  if (state.pendingAcks.length > 0 || state.waiting.length > 0) return true;
  return state.failover.step !== 'steady';
}

/**
 * The event that follows a successful control call, by the type of the call.
 */
const RESPONSE_EVENTS = {
  fence: 'promised',
  promote: 'promoted',
  follow: 'status',
} as const;
