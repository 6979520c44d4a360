/**
 * The actor of one group: feeds events to the pure decisions of the `group`
 * package and carries out their effects.
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
  Reach,
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

/** What a group's actor works with. */
export interface GroupContext {
  readonly system: ActorSystemRef;
  readonly clock: Clock;
  readonly log: Log;
  readonly instance: string;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Rank of this instance in a group, and how many instances watch it. */
  readonly rankIn?: (group: string) => {rank: number; watchers: number};
  /** Tells other instances that this one has lost the primary of a term. */
  readonly suspects?: (group: string, term: number) => void;
  readonly limits: GroupLimits;
  readonly times: PollTimes;
  /** Time between two looks at deadlines, in milliseconds. */
  readonly tickMs: number;
  readonly driverOf: (cfg: GroupConfig['endpoints'][number]) => EndpointDriver;
  readonly capacityOf: (cfg: GroupConfig['endpoints'][number]) => number;
}

interface EndpointParts {
  readonly address: string;
  readonly control: EndpointControl;
  readonly poller: Poller;
  readonly pool: ConnectionPool;
}

/** Who is told when work on an endpoint is to end. */
interface EndpointUser {
  readonly endpoint: string;
  readonly listener: () => void;
}

/** Starts the actor of a group. */
export function startGroup(
  cfg: GroupConfig,
  context: GroupContext,
): GroupHandle {
  const {clock, log, system} = context;
  const parts = new Map<string, EndpointParts>();
  const owned = disposableStore();
  const placements = new Map<number, (placement: Placement) => void>();
  const users = new Set<EndpointUser>();
  const acks = new Map<number, (result: AckResult) => void>();
  // An attempt of this process must not be taken for one of an earlier
  // process of the same instance.
  const holder = `${context.instance}.${randomUUID()}`;
  let state = initialGroup(cfg, holder, context.limits, context.dataCentre);
  const reads = {primary: 0, replica: 0};
  const refused = new Map<RefusalReason, number>();
  const guards = new Set<{
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
      closeOvertaken();
      return state;
    },
    `group-${cfg.name}`,
    {initialState: state},
  );
  const send = (event: GroupEvent) => dispatch(actor, event);

  function isSilent(view: EndpointView): boolean {
    const heardAt = Math.max(view.askedAt, view.heardAt);
    const silenceMs = clock.now() - heardAt;
    return (
      view.reach !== Reach.Up || silenceMs >= context.limits.suspectAfterMs
    );
  }

  /**
   * Ends what waits on a primary that has been replaced and is silent. One
   * that still answers may prove that a write did not run.
   */
  function closeOvertaken(): void {
    if (guards.size === 0) return;
    const term = primaryOf(state.view)?.status?.term ?? 0;
    for (const guarded of [...guards]) {
      if (guarded.term >= term) continue;
      const {endpoint} = guarded.connection;
      const view = state.view.endpoints.get(endpoint);
      if (!view || isSilent(view)) guarded.connection.dispose();
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
        for (const open of [...users]) {
          if (open.endpoint === effect.endpoint) open.listener();
        }
        return;
      case 'poll':
        for (const {poller} of parts.values()) poller.wake();
        return;
      case 'suspect':
        context.suspects?.(cfg.name, effect.term);
        return;
      case 'failoverStep': {
        const {from, to, term, why} = effect;
        log.warn({group: cfg.name, from, to, term, why}, 'change of primary');
        return;
      }
      default:
        void control(effect);
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
    placements.get(id)?.(placement);
    placements.delete(id);
  }

  function settleAck(id: number, result: AckResult): void {
    acks.get(id)?.(result);
    acks.delete(id);
  }

  /** Carries out a control call and reports its answer. */
  async function control(
    effect: Extract<GroupEffect, {attempt: Attempt}>,
  ): Promise<void> {
    const {endpoint, attempt} = effect;
    const part = parts.get(endpoint);
    if (!part) return;
    const askedAt = clock.now();
    try {
      const status = await call(part.control, effect);
      const type = EVENT_AFTER[effect.type];
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
    const pollControl = driver.control();
    const poller = startPolling(pollControl, clock, context.times, {
      answered: (status, askedAt) =>
        send({type: 'status', endpoint: name, status, askedAt}),
      failed: (reach, askedAt) =>
        send({type: 'failed', endpoint: name, reach, askedAt}),
      isAwaited: () => isAwaited(state),
    });
    parts.set(name, {
      address: `${endpoint.host}:${endpoint.port}`,
      control: pollControl,
      poller,
      pool: connectionPool(driver, clock, POOL_TIMES, capacity),
    });
    send({type: 'capacity', endpoint: name, capacity});
  }

  function removeEndpoint(name: string): void {
    const part = parts.get(name);
    parts.delete(name);
    part?.poller.dispose();
    part?.pool.dispose();
  }

  function rank(): void {
    const ranked = context.rankIn?.(cfg.name);
    if (ranked) send({type: 'ranked', ...ranked});
  }

  function configure(next: GroupConfig): void {
    rank();
    send({type: 'configured', cfg: next});
    const wanted = new Map(next.endpoints.map(item => [item.name, item]));
    for (const [name, part] of parts) {
      const endpoint = wanted.get(name);
      const same =
        endpoint && part.address === `${endpoint.host}:${endpoint.port}`;
      if (!same) removeEndpoint(name);
    }
    for (const [name, endpoint] of wanted) {
      if (!parts.has(name)) addEndpoint(endpoint);
    }
  }

  function tick(): Disposable {
    const timer = setInterval(() => send({type: 'tick'}), context.tickMs);
    return {dispose: () => clearInterval(timer)};
  }

  configure(cfg);
  owned.add(tick());
  owned.add({dispose: () => [...parts.keys()].forEach(removeEndpoint)});
  owned.add({dispose: () => stop(actor)});

  return {
    name: cfg.name,
    reads,
    refused,
    get state() {
      return state;
    },
    request(input) {
      const id = ++lastId;
      const req = {...input, id, arrivedAt: clock.now()};
      return new Promise(resolve => {
        placements.set(id, resolve);
        send({type: 'requested', req});
      });
    },
    release: (endpoint, elapsedMs) =>
      send({type: 'released', endpoint, elapsedMs}),
    written(id, position, deadline) {
      return new Promise(resolve => {
        acks.set(id, resolve);
        send({type: 'written', id, position, deadline});
      });
    },
    async take(endpoint, isWrite, until) {
      const part = parts.get(endpoint);
      if (!part) throw new EndpointDownError(endpoint, 'it was removed');
      return part.pool.take(isWrite, until);
    },
    suspect: endpoint => parts.get(endpoint)?.pool.suspect(),
    resize(endpoint, share) {
      parts.get(endpoint)?.pool.resize(share);
      send({type: 'capacity', endpoint, capacity: share});
    },
    give(connection, reusable) {
      const part = parts.get(connection.endpoint);
      if (part) part.pool.give(connection, reusable);
      else connection.dispose();
    },
    onVacate(endpoint, listener) {
      const user = {endpoint, listener};
      users.add(user);
      return {dispose: () => users.delete(user)};
    },
    configure,
    setCapacity: (endpoint, capacity) =>
      send({type: 'capacity', endpoint, capacity}),
    rank,
    guard(term, connection) {
      const guarded = {term, connection};
      guards.add(guarded);
      return {dispose: () => guards.delete(guarded)};
    },
    async statusOf(endpoint) {
      const part = parts.get(endpoint);
      if (!part) throw new EndpointDownError(endpoint, 'not in this group');
      return part.control.status();
    },
    suspected: (instance, term) => send({type: 'suspected', instance, term}),
    readOnly: (endpoint, at) => send({type: 'readOnly', endpoint, at}),
    order: target => send({type: 'ordered', target}),
    dispose: () => owned.dispose(),
  };
}

/** Whether something waits for news of the endpoints. */
function isAwaited(state: GroupState): boolean {
  if (state.pendingAcks.length > 0 || state.waiting.length > 0) return true;
  return state.failover.step !== 'steady';
}

/** The event that reports the answer to each control call. */
const EVENT_AFTER = {
  fence: 'promised',
  promote: 'promoted',
  follow: 'status',
} as const;
