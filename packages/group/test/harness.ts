/**
 * Runs the group state machines of several instances against in-memory
 * databases in simulated time. Message delays and timer jitter are derived from
 * a seed.
 */
import {DEFAULT_WRITE_KIND} from '@quetzalreel/config';
import type {Attempt, EndpointStatus} from '@quetzalreel/endpoint';
import type {Position} from '@quetzalreel/position';
import {type Database, database} from '@quetzalreel/standin';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  type GroupEffect,
  type GroupEvent,
  type GroupLimits,
  type GroupState,
  initialGroup,
  stepGroup,
} from '../src/index.js';

export const LIMITS: GroupLimits = {
  suspectAfterMs: 150,
  replicaSilenceMs: 150,
  stepMs: 1000,
  retryMs: 100,
  unfinishedAfterMs: 100,
  startDelayMs: 30,
  maxWaiting: 100,
  maxWaitingBytes: 100_000,
};

const CALL_TIMEOUT_MS = 1000;
const POLL_MS = 20;
export const TICK_MS = 20;
const REPLICATE_MS = 5;
const WRITE_MS = 25;
export const DEADLINE_MS = 3000;
const MAX_DELAY_MS = 4;

/** A call from an instance to an endpoint, or its response. */
export interface Message {
  readonly call: 'status' | 'fence' | 'promote' | 'follow' | 'write';
  readonly isAnswer: boolean;
  readonly instance: string;
  readonly endpoint: string;
}

/** Called before a message arrives; returning true drops the message. */
export type Trigger = (message: Message, harness: Harness) => boolean | void;

interface Endpoint {
  readonly name: string;
  readonly db: Database;
  up: boolean;
  frozen: boolean;
  /** Additional delay of each response, in milliseconds. */
  slowMs: number;
}

interface Instance {
  readonly name: string;
  state: GroupState;
  alive: boolean;
  paused: boolean;
  inbox: GroupEvent[];
  lastId: number;
}

type Control = Extract<GroupEffect, {attempt: Attempt}>;

export type Harness = ReturnType<typeof createHarness>;

/** Creates instances `i-1`… and endpoints `db-1`…; `db-1` is the primary. */
export function createHarness(
  seed: number,
  size: number,
  instances: number,
  trigger: Trigger = () => {},
) {
  const random = xoroshiro128plus(seed);
  const pick = (from: number, to: number) => uniformInt(random, from, to);
  let now = 0;
  /** Scheduled tasks by due time in milliseconds. */
  const tasks = new Map<number, Array<() => void>>();
  /** Blocked network links as `from>to`; `*` matches any node. */
  const cuts = new Set<string>();
  const acked: Array<{key: string; term: number; at: number}> = [];
  const unknown: string[] = [];
  /** Refused requests and how long they had waited. */
  const refused: Array<{instance: string; waitedMs: number}> = [];
  const askedAt = new Map<string, number>();
  const violations: string[] = [];
  const primaries = new Map<number, string>();
  const termOfWrite = new Map<string, number>();
  let writesEnabled = true;
  let startCount = 0;

  const after = (delayMs: number, run: () => void) => {
    const due = now + delayMs;
    const others = tasks.get(due);
    if (others) others.push(run);
    else tasks.set(due, [run]);
  };
  const every = (periodMs: number, run: () => void) => {
    after(periodMs + pick(0, 2), () => {
      run();
      every(periodMs, run);
    });
  };
  const cfg = {
    name: 'entries',
    endpoints: Array.from({length: size}, (_, i) => ({
      name: `db-${i + 1}`,
      host: `db-${i + 1}`,
      port: 1,
      dataCentre: 'recife',
      slots: 3,
      connections: 20,
      leaving: false,
    })),
  };
  const endpoints = new Map<string, Endpoint>();
  for (const {name} of cfg.endpoints) {
    const upstream =
      name === 'db-1' ? undefined : {term: 1, host: 'db-1', port: 1};
    const db = database({name, upstream, now: () => now});
    endpoints.set(name, {name, db, up: true, frozen: false, slowMs: 0});
  }
  const fleet = new Map<string, Instance>();

  function start(name: string): Instance {
    const holder = `${name}.${++startCount}`;
    const instance: Instance = {
      name,
      state: initialGroup(cfg, holder, LIMITS),
      alive: true,
      paused: false,
      inbox: [],
      lastId: 0,
    };
    fleet.set(name, instance);
    const rank = Number(name.slice(2)) - 1;
    deliver(instance, {type: 'ranked', rank, watchers: instances});
    every(TICK_MS, () => deliver(instance, {type: 'tick'}));
    for (const {name: endpoint} of cfg.endpoints) poll(instance, endpoint);
    every(WRITE_MS, () => write(instance));
    return instance;
  }

  function deliver(instance: Instance, event: GroupEvent): void {
    if (!instance.alive) return;
    if (instance.paused) {
      if (event.type !== 'tick') instance.inbox.push(event);
      return;
    }
    const result = stepGroup(instance.state, event, now);
    instance.state = result.state;
    for (const effect of result.effects) perform(instance, effect);
  }

  const isConnected = (from: string, to: string) =>
    !cuts.has(`${from}>${to}`) &&
    !cuts.has(`${from}>*`) &&
    !cuts.has(`*>${to}`);

  /**
   * Sends a call that runs `work` on an endpoint. Calls `failed` on a timeout,
   * an error, or if the endpoint is down.
   */
  function call<T>(
    message: Omit<Message, 'isAnswer'>,
    work: (db: Database) => T,
    answered: (result: T) => void,
    failed: (reach: 'silent' | 'down', err?: unknown) => void,
  ): void {
    const {instance: from, endpoint: to} = message;
    const target = endpoints.get(to)!;
    let settled = false;
    const settle = (run: () => void) => {
      if (!settled) run();
      settled = true;
    };
    const timeoutMs = message.call === 'write' ? DEADLINE_MS : CALL_TIMEOUT_MS;
    after(timeoutMs, () => settle(() => failed('silent')));
    after(pick(1, MAX_DELAY_MS), () => {
      if (trigger({...message, isAnswer: false}, harness)) return;
      if (!isConnected(from, to) || target.frozen) return;
      if (!target.up) {
        settle(() => failed('down'));
        return;
      }
      let reply: () => void;
      try {
        const result = work(target.db);
        reply = () => answered(result);
      } catch (err) {
        reply = () => failed('down', err);
      }
      checkPrimaries();
      if (trigger({...message, isAnswer: true}, harness)) return;
      after(pick(1, MAX_DELAY_MS) + target.slowMs, () => {
        if (isConnected(to, from)) settle(reply);
      });
    });
  }

  function checkPrimaries(): void {
    for (const {name, db} of endpoints.values()) {
      if (db.role !== 'primary') continue;
      const other = primaries.get(db.term) ?? name;
      primaries.set(db.term, other);
      if (other !== name) violations.push(`two primaries in ${db.term}`);
    }
  }

  function poll(instance: Instance, endpoint: string): void {
    if (!instance.alive) return;
    const askedAt = now;
    const again = () => after(POLL_MS, () => poll(instance, endpoint));
    call(
      {call: 'status', instance: instance.name, endpoint},
      db => db.status(),
      status => {
        deliver(instance, {type: 'status', endpoint, status, askedAt});
        again();
      },
      reach => {
        deliver(instance, {type: 'failed', endpoint, reach, askedAt});
        again();
      },
    );
  }

  function perform(instance: Instance, effect: GroupEffect): void {
    if (effect.type === 'grant') {
      send(instance, effect.id, effect.grant.endpoint);
    } else if (effect.type === 'acknowledge') {
      acknowledge(keyOf(instance, effect.id));
    } else if (effect.type === 'unknown') {
      unknown.push(keyOf(instance, effect.id));
    } else if (effect.type === 'refuse') {
      const waitedMs = now - askedAt.get(keyOf(instance, effect.id))!;
      refused.push({instance: instance.name, waitedMs});
    } else if (effect.type === 'suspect') {
      sendSuspicion(instance, effect.term);
    } else if ('attempt' in effect) {
      control(instance, effect);
    }
  }

  function sendSuspicion(from: Instance, term: number): void {
    for (const to of fleet.values()) {
      if (to === from || !isConnected(from.name, to.name)) continue;
      const event = {type: 'suspected', instance: from.name, term} as const;
      after(pick(1, MAX_DELAY_MS), () => deliver(to, event));
    }
  }

  function control(instance: Instance, effect: Control): void {
    const {endpoint, attempt, type} = effect;
    const askedAt = now;
    const work = (db: Database): EndpointStatus => {
      if (type === 'fence') return db.fence(attempt);
      if (type === 'promote') return db.promote(attempt);
      return db.follow(attempt, effect.upstream, 1);
    };
    const answered = (status: EndpointStatus) => {
      const event = {endpoint, attempt, status, askedAt};
      if (type === 'fence') {
        deliver(instance, {type: 'promised', ...event});
      } else if (type === 'promote') {
        deliver(instance, {type: 'promoted', ...event});
      } else {
        deliver(instance, {type: 'status', endpoint, status, askedAt});
      }
    };
    const failed = (_reach: string, err?: unknown) => {
      const kind = err ? 'refused' : 'unanswered';
      deliver(instance, {type: kind, call: type, endpoint, attempt});
    };
    const on = {call: type, instance: instance.name, endpoint};
    call(on, work, answered, failed);
  }

  const keyOf = (instance: Instance, id: number) =>
    `${instance.state.instance}/${id}`;

  function write(instance: Instance): void {
    if (!writesEnabled || !instance.alive || instance.paused) return;
    const id = ++instance.lastId;
    askedAt.set(keyOf(instance, id), now);
    const req = {
      id,
      needsPrimary: true,
      kind: DEFAULT_WRITE_KIND,
      floor: {term: 0, offset: 0},
      arrivedAt: now,
      deadline: now + DEADLINE_MS,
      bytes: 10,
      avoid: [],
    };
    deliver(instance, {type: 'requested', req});
  }

  function send(instance: Instance, id: number, endpoint: string): void {
    const key = keyOf(instance, id);
    const sentAt = now;
    const change = {table: 'entries', key, op: 'insert', value: 'x'} as const;
    const release = (elapsedMs?: number) =>
      deliver(instance, {type: 'released', endpoint, elapsedMs});
    call(
      {call: 'write', instance: instance.name, endpoint},
      db => db.commit([change]),
      (position: Position) => {
        termOfWrite.set(key, position.term);
        release(now - sentAt);
        const deadline = sentAt + DEADLINE_MS;
        deliver(instance, {type: 'written', id, position, deadline});
      },
      (_reach, err) => {
        release();
        if (err) deliver(instance, {type: 'readOnly', endpoint, at: sentAt});
      },
    );
  }

  /**
   * Acknowledges a write to the caller. Every primary of the write's term or a
   * later one must hold it by then.
   */
  function acknowledge(key: string): void {
    const term = termOfWrite.get(key)!;
    acked.push({key, term, at: now});
    for (const {name, db} of endpoints.values()) {
      if (db.role !== 'primary' || db.term < term) continue;
      if (db.log.rows('entries', key).length === 1) continue;
      violations.push(`${key} of term ${term} acked without ${name}`);
    }
  }

  function replicate(): void {
    for (const replica of endpoints.values()) {
      const from = replica.db.upstream;
      if (!from || !replica.up || replica.frozen) continue;
      const source = endpoints.get(from.host)!;
      if (!isConnected(source.name, replica.name) || source.frozen) continue;
      if (!isConnected(replica.name, source.name)) continue;
      if (!source.up) {
        replica.db.markUpstreamRefused();
        continue;
      }
      if (!source.db.isPrimaryOf(from.term)) continue;
      replica.db.markUpstreamAlive();
      const start = replica.db.truncateToSharedPrefix(
        from.term,
        source.db.log.runs(),
      );
      const end = Math.min(source.db.log.length, start + pick(0, 3));
      for (let i = start; start >= 0 && i < end; i++) {
        if (!replica.db.receive(from.term, source.db.log.at(i)!)) break;
      }
    }
  }

  function advanceTo(end: number): void {
    for (; now < end; now++) {
      const due = tasks.get(now) ?? [];
      // A task may schedule another one for the same millisecond.
      for (const run of due) run();
      tasks.delete(now);
    }
  }

  const harness = {
    endpoints,
    instances: fleet,
    cuts,
    acked,
    unknown,
    refused,
    violations,
    pick,
    get now() {
      return now;
    },
    run: (forMs: number) => advanceTo(now + forMs),
    kill(name: string) {
      const endpoint = endpoints.get(name);
      if (endpoint) endpoint.up = false;
      else fleet.get(name)!.alive = false;
    },
    revive(name: string) {
      const endpoint = endpoints.get(name);
      if (endpoint) endpoint.up = true;
      else start(name);
    },
    freeze(name: string, frozen: boolean) {
      const endpoint = endpoints.get(name);
      if (endpoint) {
        endpoint.frozen = frozen;
        return;
      }
      const instance = fleet.get(name)!;
      instance.paused = frozen;
      const delayed = frozen ? [] : instance.inbox.splice(0);
      for (const event of delayed) deliver(instance, event);
    },
    order(instance: string, target: string) {
      deliver(fleet.get(instance)!, {type: 'ordered', target});
    },
    /** Ends all network and process faults; dead instances stay dead. */
    heal() {
      cuts.clear();
      for (const endpoint of endpoints.values()) {
        endpoint.up = true;
        endpoint.frozen = false;
      }
      for (const instance of fleet.values()) {
        if (instance.paused) harness.freeze(instance.name, false);
      }
    },
    stopWrites() {
      writesEnabled = false;
    },
    /** The primary of the highest term. */
    primary(): Endpoint {
      let found: Endpoint | undefined;
      for (const endpoint of endpoints.values()) {
        if (endpoint.db.role !== 'primary') continue;
        if (!found || endpoint.db.term > found.db.term) found = endpoint;
      }
      return found!;
    },
    /** Acknowledged writes that the primary does not hold exactly once. */
    lost(): string[] {
      const {log} = harness.primary().db;
      const missing: string[] = [];
      for (const {key} of acked) {
        if (log.rows('entries', key).length !== 1) missing.push(key);
      }
      return missing;
    },
  };
  every(REPLICATE_MS, replicate);
  for (let i = 1; i <= instances; i++) start(`i-${i}`);
  return harness;
}
