import assert from 'node:assert/strict';
import {test} from 'node:test';
import {systemClock} from '@quetzalreel/common';
import {type Configuration} from '@quetzalreel/config';
import {httpPlatformClient} from '@quetzalreel/object-store';
import {
  type PlatformFaults,
  type PlatformServer,
  platformServer,
} from '@quetzalreel/standin';
import {
  type Command,
  type Edit,
  difference,
  nextConfiguration,
  parseCommand,
  readStored,
  submit,
} from '../src/index.js';

const ENDPOINT = {host: '127.0.0.1', dataCentre: 'recife'};
const FILE = {
  groups: [
    {
      name: 'g',
      endpoints: [1, 2, 3].map(i => ({...ENDPOINT, name: `e${i}`, port: i})),
    },
  ],
};

function operator(server: PlatformServer, by: string) {
  const url = `http://127.0.0.1:${server.port}`;
  const platform = httpPlatformClient({url, timeoutMs: 300});
  const clock = systemClock();
  const context = {platform, clock, resolveMs: 1500, retryMs: 30};
  const build = (cfg: Configuration, command: string, changeId: string) => {
    const edit = parseCommand(command) as Edit;
    const note = {changeId, by, at: '2026-01-01T00:00:00Z', order: command};
    return nextConfiguration(cfg, edit, FILE, note);
  };
  return {
    platform,
    build,
    read: () => readStored(platform),
    async order(command: string, changeId: string): Promise<void> {
      const base = await readStored(platform);
      await submit(context, base, build(base.cfg, command, changeId));
    },
    submit: (
      base: Awaited<ReturnType<typeof readStored>>,
      next: Configuration,
    ) => submit(context, base, next),
  };
}

const COMMANDS: ReadonlyArray<[string, Command]> = [
  ['show endpoints in group g', {type: 'show', topic: 'endpoints', group: 'g'}],
  ['show generation', {type: 'show', topic: 'generation', group: undefined}],
  ['drain endpoint e-1', {type: 'leaving', endpoint: 'e-1', leaving: true}],
  ['return endpoint e1', {type: 'leaving', endpoint: 'e1', leaving: false}],
  [
    'promote endpoint e2 in group g',
    {type: 'promote', endpoint: 'e2', group: 'g'},
  ],
  [
    'set kind k access=read maxAgeMs = 5000 idempotent=true',
    {
      type: 'setKind',
      kind: 'k',
      fields: {access: 'read', maxAgeMs: 5000, idempotent: true},
    },
  ],
  ['apply ./a/b.json', {type: 'apply', path: './a/b.json'}],
  ['history', {type: 'history'}],
];

for (const [text, command] of COMMANDS) {
  test(`parses: ${text}`, () => assert.deepEqual(parseCommand(text), command));
}

for (const text of ['', 'show', 'show endpointsx', 'drain e1', 'set kind k']) {
  test(`rejects: "${text}"`, () => {
    assert.throws(() => parseCommand(text), {kind: 'CommandError'});
  });
}

interface Case {
  readonly name: string;
  readonly faults: Partial<PlatformFaults>;
  /** Expected error kind; undefined when the change is accepted. */
  readonly error: string | undefined;
  readonly generation: number;
}

const CASES: readonly Case[] = [
  {name: 'no fault', faults: {}, error: undefined, generation: 2},
  {
    name: 'a response is lost',
    faults: {loseAnswers: 1},
    error: undefined,
    generation: 2,
  },
  {
    name: 'the store is slow',
    faults: {slowMs: 100},
    error: undefined,
    generation: 2,
  },
  {
    name: 'watches are silent',
    faults: {silentWatches: true, loseAnswers: 1},
    error: undefined,
    generation: 2,
  },
  {
    name: 'the store is down',
    faults: {down: true},
    error: 'StoreDownError',
    generation: 1,
  },
  {
    name: 'the store never answers in time',
    faults: {slowMs: 1000},
    error: 'StoreDownError',
    generation: 1,
  },
];

for (const {name, faults, error, generation} of CASES) {
  test(`a change while ${name}`, async t => {
    const server = await platformServer(0);
    t.after(() => server.close());
    const ana = operator(server, 'ana');
    await ana.order('apply file', 'first');
    Object.assign(server.faults, faults);
    const ordered = ana.order('drain endpoint e3', 'second');
    if (error) await assert.rejects(ordered, {kind: error});
    else await ordered;
    Object.assign(server.faults, {down: false, slowMs: 0});
    const {cfg} = await ana.read();
    assert.equal(cfg.generation, generation);
    assert.equal(cfg.groups[0]!.endpoints[2]!.leaving, generation === 2);
  });
}

test('of two concurrent changes one is accepted, and the error of the other names it', async t => {
  const server = await platformServer(0);
  t.after(() => server.close());
  const ana = operator(server, 'ana');
  const rui = operator(server, 'rui');
  await ana.order('apply file', 'first');
  const base = await ana.read();
  await ana.submit(base, ana.build(base.cfg, 'drain endpoint e1', 'a-1'));
  const lost = rui.submit(
    base,
    rui.build(base.cfg, 'drain endpoint e2', 'r-1'),
  );
  await assert.rejects(lost, {
    kind: 'RaceLostError',
    winner: 'a-1',
    difference: ['groups/g/endpoints/e1/leaving: false -> true'],
    message: /change a-1 by ana/,
  });
});

test('a conflict is reported as a lost race although reads are stale', async t => {
  const server = await platformServer(0);
  t.after(() => server.close());
  const ana = operator(server, 'ana');
  await ana.order('apply file', 'first');
  const base = await ana.read();
  await ana.submit(base, ana.build(base.cfg, 'drain endpoint e1', 'a-1'));
  server.faults.staleReads = 1;
  const rui = operator(server, 'rui').order('drain endpoint e2', 'r-1');
  await assert.rejects(rui, {kind: 'RaceLostError', winner: 'a-1'});
});

test('a lost response is resolved although another change followed', async t => {
  const server = await platformServer(0);
  t.after(() => server.close());
  const ana = operator(server, 'ana');
  await ana.order('apply file', 'first');
  const base = await ana.read();
  const mine = ana.build(base.cfg, 'drain endpoint e1', 'a-1');
  await ana.submit(base, mine);
  const rui = operator(server, 'rui');
  await rui.order('set kind k access=read', 'r-1');
  // The same update is sent again, as after a lost response.
  await ana.submit(base, mine);
  assert.equal((await ana.read()).cfg.generation, 3);
});

test('an unanswered update is reported as unknown, with its change id', async t => {
  const server = await platformServer(0);
  t.after(() => server.close());
  const ana = operator(server, 'ana');
  await ana.order('apply file', 'first');
  const base = await ana.read();
  server.faults.down = true;
  const next = ana.build(base.cfg, 'drain endpoint e1', 'a-1');
  await assert.rejects(ana.submit(base, next), {
    kind: 'ChangeUnknownError',
    message: /a-1/,
  });
});

test('invalid edits are rejected, and the difference shows no secrets', () => {
  const server = {port: 1} as PlatformServer;
  const ana = operator(server, 'ana');
  const cfg = ana.build(
    {
      generation: 0,
      changeId: '',
      groups: [],
      kinds: [],
      callers: [],
      changes: [],
    },
    'apply file',
    'first',
  );
  const order = (text: string) => () => ana.build(cfg, text, 'x');
  assert.throws(order('drain endpoint e9'), {kind: 'OrderError'});
  assert.throws(order('set kind k maxAgeMs=1'), {kind: 'ConfigurationError'});
  const caller = (secret: string) => ({...cfg, callers: [{name: 'c', secret}]});
  const lines = difference(caller('scrypt$a$b'), caller('scrypt$c$d'));
  assert.deepEqual(lines, ['callers/c/secret: changed']);
});
