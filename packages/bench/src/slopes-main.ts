/**
 * Measures the cost of one unit of work, the slopes of docs/CAPACITY.md:
 * processor time per event, memory per group and sizes of messages. Prints one
 * JSON object per line.
 */
import {DEFAULT_READ_KIND, type GroupConfig} from '@quetzalreel/config';
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {type GroupState, initialGroup, stepGroup} from '@quetzalreel/group';
import {encodeFrame} from '@quetzalreel/peer';

const ROUNDS = 50_000;
const GROUPS = 2000;
const STATUS_QUERY_BYTES = 'SELECT quetzalreel_status()'.length + 6;
const LIMITS = {
  ...{suspectAfterMs: 250, replicaSilenceMs: 150, stepMs: 1000},
  ...{retryMs: 100, unfinishedAfterMs: 100, startDelayMs: 0},
  ...{maxWaiting: 5000, maxWaitingBytes: 1 << 25},
};

function print(figure: string, unit: string, value: number): void {
  const rounded = Number(value.toPrecision(4));
  process.stdout.write(`${JSON.stringify({figure, unit, value: rounded})}\n`);
}

function groupOf(name: string): GroupConfig {
  const endpoints = [1, 2, 3].map(i => ({
    ...{name: `${name}-${i}`, host: '127.0.0.1', port: 5432},
    ...{dataCentre: `d${i}`, slots: 3, connections: 20, leaving: false},
  }));
  return {name, endpoints};
}

function statusOf(role: 'primary' | 'replica', offset: number): EndpointStatus {
  const last = {term: 1, offset};
  const promise = {promisedTerm: 1, promisedTo: 'p1.1'};
  const upstreamSilenceMs = role === 'primary' ? null : 10;
  return {role, term: 1, ...promise, last, upstreamSilenceMs};
}

/** Returns the state after all endpoints reported their status at `now`. */
function polled(state: GroupState, offset: number, now: number): GroupState {
  let current = state;
  for (const endpoint of state.view.endpoints.keys()) {
    const role = endpoint.endsWith('-1') ? 'primary' : 'replica';
    const status = statusOf(role, offset);
    const event = {type: 'status' as const, endpoint, status, askedAt: now};
    current = stepGroup(current, event, now).state;
  }
  return current;
}

function microsecondsOf(rounds: number, work: (i: number) => void): number {
  for (let i = 0; i < rounds / 10; i++) work(i);
  const startedAt = process.cpuUsage();
  for (let i = 0; i < rounds; i++) work(i);
  const {user, system} = process.cpuUsage(startedAt);
  return (user + system) / rounds;
}

function measureStatus(): void {
  let state = initialGroup(groupOf('g'), 'p1', LIMITS);
  const spent = microsecondsOf(ROUNDS, i => {
    state = polled(state, i + 1, i * 50);
  });
  print('decision for one status', 'us', spent / 3);
}

function measureRoute(): void {
  let state = polled(initialGroup(groupOf('g'), 'p1', LIMITS), 1, 1);
  const floor = {term: 1, offset: 1};
  const spent = microsecondsOf(ROUNDS, id => {
    const req = {
      ...{id, needsPrimary: false, kind: DEFAULT_READ_KIND, floor, bytes: 100},
      ...{arrivedAt: 2, deadline: 5000, avoid: []},
    };
    const requested = stepGroup(state, {type: 'requested', req}, 2);
    const grant = requested.effects.find(effect => effect.type === 'grant');
    if (grant?.type !== 'grant') throw new Error('no slot was granted');
    const {endpoint} = grant.grant;
    state = stepGroup(requested.state, {type: 'released', endpoint}, 2).state;
  });
  print('decision for one routed read', 'us', spent);
}

function measureMemory(samples: number): void {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const retained: GroupState[] = [];
  for (let g = 0; g < GROUPS; g++) {
    let state = initialGroup(groupOf(`g${g}`), 'p1', LIMITS);
    for (let i = 0; i < samples; i++) state = polled(state, i + 1, i * 50);
    retained.push(state);
  }
  globalThis.gc?.();
  const bytes = (process.memoryUsage().heapUsed - before) / retained.length;
  print(`heap of one group, ${samples} samples`, 'bytes', bytes);
}

function measureBytes(): void {
  const status = statusOf('replica', 123_456_789);
  print('status query', 'bytes', STATUS_QUERY_BYTES);
  print('status answer, JSON body', 'bytes', JSON.stringify(status).length);
  print('status in a peer frame', 'bytes', encodeFrame(status).length);
  const group = groupOf('entries-1');
  print(
    'one group of the configuration',
    'bytes',
    JSON.stringify(group).length,
  );
}

measureStatus();
measureRoute();
measureMemory(1);
measureMemory(50);
measureBytes();
