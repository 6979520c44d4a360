import assert from 'node:assert/strict';
import {type TestContext, test} from 'node:test';
import {systemClock} from '@quetzalreel/common';
import {httpPlatformClient} from '@quetzalreel/object-store';
import {platformServer} from '@quetzalreel/standin';
import {
  type InstanceState,
  type InstanceClient,
  type RunContext,
  parseCommand,
  runCommand,
} from '../src/index.js';

/** State of an instance with `generation` in force. */
function stateOf(instance: string, generation: number): InstanceState {
  const endpoints = ['e1', 'e2'].map((name, i) => ({
    name,
    dataCentre: 'recife',
    leaving: false,
    reach: 'up',
    role: i === 0 ? 'primary' : 'replica',
    term: 1,
    position: '1/5',
    busy: 0,
    capacity: 3,
  }));
  const member = (id: string) => ({
    id,
    admin: id,
    dataCentre: 'recife',
    status: 'alive',
  });
  return {
    instance,
    dataCentre: 'recife',
    ready: true,
    generation,
    changeId: `c${generation}`,
    storeDown: false,
    callers: 4,
    groups: [{name: 'g', step: 'steady', waiting: 0, held: 0, endpoints}],
    members: ['i1', 'i2'].map(member),
    shares: [
      {endpoint: 'e1', connections: 20, held: 10, target: 10, allowed: 10},
    ],
  };
}

/** Two instances; the callback gives the generation in force on the second. */
function fakeInstances(generationOfSecond: () => number): InstanceClient {
  return {
    entry: async () => stateOf('i1', 9),
    all: async () => [
      {id: 'i1', status: 'alive', state: stateOf('i1', 9)},
      {id: 'i2', status: 'alive', state: stateOf('i2', generationOfSecond())},
    ],
    promote: async () => {},
  };
}

async function setUp(
  t: TestContext,
  generationOfSecond: () => number = () => 9,
) {
  const server = await platformServer(0);
  t.after(() => server.close());
  const out: string[] = [];
  const progress: string[] = [];
  let changes = 0;
  const run = (text: string, options: Partial<RunContext> = {}) => {
    const context: RunContext = {
      platform: httpPlatformClient({
        url: `http://127.0.0.1:${server.port}`,
        timeoutMs: 300,
      }),
      instances: fakeInstances(generationOfSecond),
      clock: systemClock(),
      changeId: `c${++changes}`,
      by: 'ana',
      at: '2026-01-01T00:00:00Z',
      output: 'json',
      wait: false,
      dryRun: false,
      timeoutMs: 5000,
      print: line => out.push(line),
      progress: line => progress.push(line),
      ...options,
    };
    return runCommand(context, parseCommand(text));
  };
  const rows = () => JSON.parse(out.at(-1)!) as Array<Record<string, unknown>>;
  return {server, run, out, progress, rows};
}

const SHOWN: ReadonlyArray<[string, Record<string, unknown>]> = [
  ['show endpoints in group g', {endpoint: 'e1', role: 'primary', term: 1}],
  ['show groups', {group: 'g', primary: 'e1', step: 'steady'}],
  ['show members', {instance: 'i1', status: 'alive', answers: true}],
  ['show generation', {instance: 'i1', generation: 9, change: 'c9'}],
  ['show shares', {instance: 'i1', endpoint: 'e1', allowed: 10}],
  ['show sessions', {instance: 'i1', callers: 4}],
];

for (const [text, expected] of SHOWN) {
  test(`${text}`, async t => {
    const {run, rows} = await setUp(t);
    await run(text);
    const first = rows()[0]!;
    for (const [column, value] of Object.entries(expected)) {
      assert.equal(first[column], value, column);
    }
  });
}

test('a dry run shows the difference and changes nothing', async t => {
  const {run, rows} = await setUp(t);
  await run('set kind k access=read maxAgeMs=700', {dryRun: true});
  const lines = rows().map(row => row['change']);
  assert.ok(lines.includes('kinds/k/maxAgeMs: none -> 700'));
  await run('show kinds');
  assert.deepEqual(rows(), []);
});

test('--wait reports progress until the change is in force on every live instance', async t => {
  let asked = 0;
  const {run, progress} = await setUp(t, () => (++asked < 3 ? 0 : 1));
  await run('set kind k access=read', {wait: true});
  assert.match(progress[0]!, /in force on 1 of 2/);
  assert.match(progress.at(-1)!, /in force on 2 of 2/);
});

test('a --wait timeout names the instances where the change is not in force', async t => {
  const {run} = await setUp(t, () => 0);
  const waiting = run('set kind k access=read', {wait: true, timeoutMs: 1});
  await assert.rejects(waiting, {kind: 'NotInForceError', message: /i2/});
});

test('show changes lists an accepted change that is not in force everywhere', async t => {
  const {run, rows} = await setUp(t, () => 0);
  await run('set kind k access=read');
  await run('show changes');
  assert.equal(rows()[0]!['missing'], 'i2');
  await run('history');
  assert.equal(rows()[0]!['order'], 'set kind k access=read');
});

test('with the store down, show still works and a change is rejected', async t => {
  const {server, run, progress, rows} = await setUp(t);
  server.faults.down = true;
  await run('show generation');
  assert.equal(rows()[0]!['stored'], '-');
  assert.match(progress[0]!, /can't be reached/);
  await assert.rejects(run('drain endpoint e1'), {
    kind: 'StoreDownError',
    message: /nothing was changed/,
  });
});

test('a table has a column for each field', async t => {
  const {run, out} = await setUp(t);
  await run('show sessions', {output: 'table'});
  assert.match(out[0]!, /instance.*callers/);
});
