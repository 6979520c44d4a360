/**
 * Measures how long the state machine of a group takes for one event while
 * requests are queued: all slots are in use, slots are released one by one, and
 * each request that leaves the queue is replaced by a new one.
 */
import {
  DEFAULT_READ_KIND,
  DEFAULT_WRITE_KIND,
  type GroupConfig,
} from '@quetzalreel/config';
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {
  type GroupEvent,
  type GroupRequest,
  type GroupState,
  initialGroup,
  stepGroup,
} from '@quetzalreel/group';

const WAITING = [10, 1000, 5000];
const EVENTS = 2000;
const TERM = 1;
const OFFSET = 100;
const LIMITS = {
  suspectAfterMs: 250,
  replicaSilenceMs: 150,
  stepMs: 1000,
  retryMs: 100,
  unfinishedAfterMs: 100,
  startDelayMs: 0,
  maxWaiting: 10_000,
  maxWaitingBytes: 32 * 1024 * 1024,
};
const NAMES = ['a', 'b', 'c'];
const CONFIG: GroupConfig = {
  name: 'entries',
  endpoints: NAMES.map((name, i) => ({
    name,
    host: '127.0.0.1',
    port: i + 1,
    dataCentre: 'recife',
    slots: 3,
    connections: 20,
    leaving: false,
  })),
};

/** Creates a request; every third one is a write. */
function requestOf(id: number): GroupRequest {
  const needsPrimary = id % 3 === 0;
  return {
    id,
    needsPrimary,
    kind: needsPrimary ? DEFAULT_WRITE_KIND : DEFAULT_READ_KIND,
    floor: {term: TERM, offset: OFFSET},
    arrivedAt: 0,
    deadline: 1_000_000,
    bytes: 100,
    avoid: [],
  };
}

function statusOf(name: string): EndpointStatus {
  const isPrimary = name === NAMES[0];
  return {
    role: isPrimary ? 'primary' : 'replica',
    term: TERM,
    promisedTerm: TERM,
    promisedTo: '',
    last: {term: TERM, offset: OFFSET},
    upstreamSilenceMs: isPrimary ? null : 0,
  };
}

/** Mean microseconds per event with `waiting` requests in the queue. */
function measure(waiting: number): number {
  let state: GroupState = initialGroup(CONFIG, 'trial', LIMITS);
  const occupied: string[] = [];
  let lastId = 0;
  const step = (event: GroupEvent) => {
    const result = stepGroup(state, event, 10);
    state = result.state;
    for (const effect of result.effects) {
      if (effect.type === 'grant') occupied.push(effect.grant.endpoint);
    }
  };
  const addRequest = () => step({type: 'requested', req: requestOf(++lastId)});
  for (const endpoint of NAMES) {
    const status = statusOf(endpoint);
    step({type: 'status', endpoint, status, askedAt: 1});
  }
  while (state.waiting.length < waiting) addRequest();
  const startedAt = performance.now();
  for (let i = 0; i < EVENTS; i++) {
    step({type: 'released', endpoint: occupied.shift()!});
    while (state.waiting.length < waiting) addRequest();
  }
  const elapsedMs = performance.now() - startedAt;
  return (elapsedMs * 1000) / (2 * EVENTS);
}

measure(10);
for (const waiting of WAITING) {
  const value = Number(measure(waiting).toFixed(2));
  const line = {workload: 'queue', waiting, figure: 'event', unit: 'us', value};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
