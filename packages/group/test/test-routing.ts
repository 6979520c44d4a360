/** Where reads go, in tables of what is known of a group. */
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

/** A status as `[endpoint, asked at, offset]`, of term 1 unless said. */
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

/** A group in the data centre natal after what was seen. */
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
const age = (maxAgeMs: number) => ({kind: {...DEFAULT_READ_KIND, maxAgeMs}});
const FLOOR_6 = {floor: {term: 1, offset: 6}};
/** e2 moved 10 ms after the primary each time, e3 never did. */
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
    'the other one when that failed it',
    FRESH,
    {avoid: ['e3']},
    'e2 replica-fresh',
  ],
  ['age 0 needs the primary, confirmed anew', FRESH, age(0), 'waits'],
  [
    'age 0 with a majority asked after the arrival',
    [...FRESH, ['e1', 100, 5], ['e2', 100, 5]],
    age(0),
    'e3 replica-fresh',
  ],
  [
    'age 0 when the replicas lack what the primary had by then',
    [...FRESH, ['e1', 100, 6], ['e2', 100, 5]],
    age(0),
    'e1 no-replica-young-enough',
  ],
  [
    'a replica that holds a younger sample',
    [...FRESH, ['e1', 99, 6], ['e2', 99, 6]],
    age(5),
    'e2 replica-fresh',
  ],
  [
    'too old a confirmation, though the primary answers',
    [...FRESH, ['e1', 2000, 5]],
    {arrivedAt: 2000, deadline: 7000},
    'waits',
  ],
  [
    'a replica known to lag 10 ms is awaited',
    LAGGING,
    {...FLOOR_6, deadline: 5100},
    'waits',
  ],
  [
    'but not beyond the budget of the kind',
    LAGGING,
    {...FLOOR_6, deadline: 300},
    'e1 no-replica-at-floor',
  ],
  [
    'nor one that nothing was measured of',
    FRESH,
    FLOOR_6,
    'e1 no-replica-at-floor',
  ],
  [
    'nor one that is later than its lag',
    [...LAGGING.slice(0, 4), ['e1', 41, 5], ['e1', 95, 6], ['e3', 95, 3]],
    FLOOR_6,
    'e1 no-replica-at-floor',
  ],
  [
    'a token that is confirmed by one endpoint',
    FRESH,
    {unproved: true},
    'e3 replica-fresh',
  ],
  ['a token not confirmed yet', FRESH, {...FLOOR_6, unproved: true}, 'waits'],
  [
    'a token ahead of a majority asked since',
    [...FRESH, ['e1', 100, 5], ['e2', 100, 5]],
    {...FLOOR_6, unproved: true},
    'the session token is ahead of the group; open a connection without it',
  ],
  [
    'a floor of a later term than the primary known here',
    FRESH,
    {floor: {term: 2, offset: 6}, needsPrimary: true},
    'waits',
  ],
  ['no token, and no majority since', FRESH, {floor: undefined}, 'waits'],
  [
    'no token, and a majority since',
    [...FRESH, ['e1', 100, 5], ['e2', 100, 5]],
    {floor: undefined},
    'e3 replica-fresh',
  ],
];

for (const [name, seen, change, expected] of CASES) {
  const now = Math.max(100, change.arrivedAt ?? 0);
  test(name, () => assert.equal(placeOf(seen, change, now), expected));
}

test('samples of a primary after it was replaced tell no age', () => {
  // e1 goes on alone after 90; e2 leads term 2 and e3 has only old records.
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

test('a replica that was slow is passed over, and tried again later', () => {
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

test('reads that may be older are refused first under overload', () => {
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
