/** Routing of reads, as a table of known statuses, request and outcome. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DEFAULT_READ_KIND, type GroupConfig} from '@quetzalreel/config';
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {
  type GroupEffect,
  type GroupEvent,
  type GroupRequest,
  type GroupState,
  initialGroup,
  stepGroup,
} from '../src/index.js';

const LIMITS = {
  suspectAfterMs: 1e9,
  replicaSilenceMs: 1e9,
  stepMs: 1000,
  retryMs: 100,
  unfinishedAfterMs: 1e9,
  startDelayMs: 1e9,
  maxWaiting: 8,
  maxWaitingBytes: 1e6,
};
const CENTRES = ['recife', 'recife', 'natal'];
const CONFIG: GroupConfig = {
  name: 'entries',
  endpoints: ['e1', 'e2', 'e3'].map((name, i) => ({
    name,
    host: '127.0.0.1',
    port: i + 1,
    dataCentre: CENTRES[i]!,
    slots: 3,
    connections: 20,
    leaving: false,
  })),
};

/** A status as `[endpoint, requested at, offset]`; of term 1 by default. */
type Seen = readonly [string, number, number, Partial<EndpointStatus>?];

function statusEvent([endpoint, askedAt, offset, change]: Seen): GroupEvent {
  const status: EndpointStatus = {
    role: endpoint === 'e1' ? 'primary' : 'replica',
    term: 1,
    promisedTerm: 1,
    promisedTo: '',
    last: {term: 1, offset},
    upstreamSilenceMs: endpoint === 'e1' ? null : 0,
    ...change,
  };
  return {type: 'status', endpoint, status, askedAt};
}

/** A group of an instance in data centre natal, after these statuses. */
function groupAfter(seen: readonly Seen[]): GroupState {
  let state = initialGroup(CONFIG, 'a', LIMITS, 'natal');
  for (const item of seen) {
    state = stepGroup(state, statusEvent(item), item[1]).state;
  }
  return state;
}

function requestOf(change: Partial<GroupRequest> = {}): GroupRequest {
  return {
    id: 1,
    needsPrimary: false,
    kind: {...DEFAULT_READ_KIND, maxAgeMs: 1000},
    floor: {term: 1, offset: 5},
    arrivedAt: 100,
    deadline: 5100,
    bytes: 10,
    avoid: [],
    ...change,
  };
}

function outcomeOf(effects: readonly GroupEffect[]): string {
  for (const effect of effects) {
    if (effect.type === 'grant') {
      return `${effect.grant.endpoint} ${effect.grant.reason}`;
    }
    if (effect.type === 'refuse') return effect.reason;
  }
  return 'waits';
}

function placeOf(
  seen: readonly Seen[],
  change: Partial<GroupRequest>,
  now = 100,
): string {
  const event = {type: 'requested', req: requestOf(change)} as const;
  return outcomeOf(stepGroup(groupAfter(seen), event, now).effects);
}

const FRESH: readonly Seen[] = [
  ['e1', 90, 5],
  ['e2', 90, 5],
  ['e3', 90, 5],
];
const maxAge = (maxAgeMs: number) => ({kind: {...DEFAULT_READ_KIND, maxAgeMs}});
const FLOOR_6 = {floor: {term: 1, offset: 6}};
/** e2 advanced 10 ms after the primary; e3 never advanced. */
const LAGGING: readonly Seen[] = [
  ['e1', 40, 4],
  ['e2', 40, 3],
  ['e3', 40, 3],
  ['e2', 50, 4],
  ['e1', 95, 6],
  ['e3', 95, 3],
];

const CASES: ReadonlyArray<
  readonly [string, readonly Seen[], Partial<GroupRequest>, string]
> = [
  ['a replica of this data centre', FRESH, {}, 'e3 replica-fresh'],
  [
    'the other replica if the request failed on the first',
    FRESH,
    {avoid: ['e3']},
    'e2 replica-fresh',
  ],
  [
    'age 0 waits until the primary is confirmed after the arrival',
    FRESH,
    maxAge(0),
    'waits',
  ],
  [
    'age 0 with statuses of a majority requested after the arrival',
    [...FRESH, ['e1', 100, 5], ['e2', 100, 5]],
    maxAge(0),
    'e3 replica-fresh',
  ],
  [
    'age 0 goes to the primary if the replicas are behind it',
    [...FRESH, ['e1', 100, 6], ['e2', 100, 5]],
    maxAge(0),
    'e1 no-replica-young-enough',
  ],
  [
    'a replica that has reached a newer sample',
    [...FRESH, ['e1', 99, 6], ['e2', 99, 6]],
    maxAge(5),
    'e2 replica-fresh',
  ],
  [
    'a confirmation that is too old, although the primary responds',
    [...FRESH, ['e1', 2000, 5]],
    {arrivedAt: 2000, deadline: 7000},
    'waits',
  ],
  [
    'waits for a replica with a known lag of 10 ms',
    LAGGING,
    {...FLOOR_6, deadline: 5100},
    'waits',
  ],
  [
    'does not wait for a replica longer than a fraction of the time limit',
    LAGGING,
    {...FLOOR_6, deadline: 300},
    'e1 no-replica-at-floor',
  ],
  [
    'does not wait for a replica of unknown lag',
    FRESH,
    FLOOR_6,
    'e1 no-replica-at-floor',
  ],
  [
    'does not wait for a replica that is overdue by its lag',
    [...LAGGING.slice(0, 4), ['e1', 41, 5], ['e1', 95, 6], ['e3', 95, 3]],
    FLOOR_6,
    'e1 no-replica-at-floor',
  ],
  [
    'a session token confirmed by one endpoint',
    FRESH,
    {unproved: true},
    'e3 replica-fresh',
  ],
  [
    'a session token not confirmed yet',
    FRESH,
    {...FLOOR_6, unproved: true},
    'waits',
  ],
  [
    'a session token ahead of a majority that reported after the arrival',
    [...FRESH, ['e1', 100, 5], ['e2', 100, 5]],
    {...FLOOR_6, unproved: true},
    'the session token is ahead of the group; open a connection without it',
  ],
  [
    'a floor of a later term than the known primary',
    FRESH,
    {floor: {term: 2, offset: 6}, needsPrimary: true},
    'waits',
  ],
  [
    'no token, no statuses of a majority since the arrival',
    FRESH,
    {floor: undefined},
    'waits',
  ],
  [
    'no token, statuses of a majority since the arrival',
    [...FRESH, ['e1', 100, 5], ['e2', 100, 5]],
    {floor: undefined},
    'e3 replica-fresh',
  ],
];

for (const [name, seen, change, expected] of CASES) {
  const now = Math.max(100, change.arrivedAt ?? 0);
  test(name, () => assert.equal(placeOf(seen, change, now), expected));
}

test('samples of a replaced primary do not count for staleness', () => {
  // e1 is partitioned after time 90 and still reports itself as primary. e2 is
  // primary of term 2; e3 has only old records.
  const next = {role: 'primary', term: 2, promisedTerm: 2} as const;
  const seen: readonly Seen[] = [
    ...FRESH,
    ['e1', 3000, 5],
    ['e2', 3001, 7, {...next, last: {term: 2, offset: 7}}],
    ['e3', 3001, 5],
  ];
  const change = {arrivedAt: 3002, deadline: 8002, avoid: ['e1']};
  assert.equal(placeOf(seen, change, 3002), 'e2 no-replica-young-enough');
});

test('a slow replica is avoided until its latency measurement is old', () => {
  let state = groupAfter(FRESH);
  state = stepGroup(
    state,
    {type: 'released', endpoint: 'e3', elapsedMs: 400},
    100,
  ).state;
  const req = requestOf({kind: {...DEFAULT_READ_KIND, maxAgeMs: 1e6}});
  const at = (now: number) =>
    outcomeOf(stepGroup(state, {type: 'requested', req}, now).effects);
  assert.equal(at(100), 'e2 replica-fresh');
  assert.equal(at(100_000), 'e3 replica-fresh');
});

test('under overload, reads that allow more staleness are refused first', () => {
  const kinds = [1000, 100, 0];
  const accepted = kinds.map(maxAgeMs => {
    let state = groupAfter([]);
    let count = 0;
    for (let id = 1; id <= LIMITS.maxWaiting + 1; id++) {
      const req = requestOf({id, kind: {...DEFAULT_READ_KIND, maxAgeMs}});
      const result = stepGroup(state, {type: 'requested', req}, 100);
      state = result.state;
      if (outcomeOf(result.effects) === 'waits') count++;
    }
    return count;
  });
  assert.deepEqual(accepted, [4, 6, 8]);
});
