/** `qrctl explain` and `qrctl instance`: what they send and print. */
import type {AccountQuotaState} from '@quetzalreel/quota';
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Readable} from 'node:stream';
import {type TestContext, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import type {
  EndpointVerdict,
  Explanation,
  InstanceDescription,
  Outcome,
} from '@quetzalreel/proxy';
import {
  CommandError,
  formatExplanation,
  formatInstance,
  readKeyDigest,
} from '../src/index.js';

const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url));
const KEY = 'k-0123456789';
const DIGEST = createHash('sha256').update(KEY).digest('hex');

const OF = {instance: 'n-1', dataCentre: 'recife', generation: 7};

function verdict(change: Partial<EndpointVerdict> = {}): EndpointVerdict {
  return {
    endpoint: 'e1',
    dataCentre: 'recife',
    state: 'ready',
    role: 'replica',
    position: {term: 2, offset: 40},
    knownMsAgo: 12,
    silentMs: undefined,
    answerMs: 9,
    limit: {inFlight: 1, most: 8, slots: 4},
    connections: {
      open: 3,
      idle: 2,
      idleDirect: 0,
      most: 4,
      isHolder: false,
      holders: ['n-2', 'n-3'],
      isOnDetour: false,
    },
    lag: {terms: 0, records: 2},
    costMs: 9,
    isTaken: false,
    rejection: 'behind',
    ...change,
  };
}

const RUNS: Outcome = {type: 'runs', endpoint: 'e2', mayBeBehind: false};

const QUOTA: AccountQuotaState = {
  account: 'acme',
  limit: {ratePerSecond: 10, burst: 4},
  ownerCount: 2,
  owners: ['n-1', 'n-2'],
  backup: 'n-3',
  role: 'none',
  pending: undefined,
  level: 0,
  outstanding: 0,
  held: 1,
  waiting: 0,
  admitted: 7,
  refused: 3,
  lastRefusedBy: 'n-2',
};

function explanation(change: Partial<Explanation> = {}): Explanation {
  return {
    ...OF,
    statement: 'read',
    route: {
      database: 'db',
      name: 'r-db',
      rule: 'ownWrites',
      group: 'g',
      isPublic: false,
      statementTimeoutMs: 800,
      objectiveMs: 200,
      priority: 1,
      maxStalenessMs: 2500,
    },
    group: {
      group: 'g',
      primary: 'e2',
      primaryMissingMs: undefined,
      isPrimaryOutOfReach: false,
      waiting: 3,
    },
    need: {
      primaryOnly: false,
      primaryBecause: undefined,
      atLeast: {term: 2, offset: 42},
    },
    endpoints: [
      verdict(),
      verdict({endpoint: 'e2', isTaken: true, rejection: undefined}),
    ],
    outcome: RUNS,
    ...change,
  };
}

/** An instance that answers everything with `body` and records requests. */
async function startInstance(t: TestContext, status: number, body: unknown) {
  const requests: Array<{path: string | undefined; body: string}> = [];
  const server = http.createServer(async (req, res) => {
    let text = '';
    for await (const chunk of req) text += String(chunk);
    requests.push({path: req.url, body: text});
    res.writeHead(status).end(JSON.stringify(body));
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.after(() => server.close());
  const {port} = server.address() as {port: number};
  return {requests, admin: `127.0.0.1:${port}`};
}

/** Runs qrctl with `input` on its standard input. */
function runQrctl(args: readonly string[], input = '') {
  return new Promise<{code: unknown; out: string; err: string}>(resolve => {
    const child = execFile(
      process.execPath,
      [MAIN, ...args],
      (err, stdout, stderr) =>
        resolve({code: err?.code ?? 0, out: stdout, err: stderr}),
    );
    child.stdin!.end(input);
  });
}

describe('an explanation as text', () => {
  it('tells the request, what it needs, the result and each endpoint', () => {
    const text = formatExplanation(explanation());
    assert.match(text, /n-1 in recife, configuration 7/);
    assert.match(text, /read on database db by route r-db: ownWrites/);
    assert.match(text, /needs +a log at 2\.42 or later/);
    assert.match(text, /result +runs on e2\n/);
    assert.match(text, /e1 .* 2\.40 .* 1 of 8 .* n-2 n-3 .* is behind/);
    assert.match(text, /e2 .* taken/);
  });

  it('tells account and quota when the instance does', () => {
    const account = {name: 'acme', priority: 2};
    const quota = QUOTA;
    const text = formatExplanation(explanation({account, quota}));
    assert.match(
      text,
      /account +acme, priority 2; 1 tokens held of 10\/s, burst 4; owners n-1 n-2; 3 refused here, last by n-2/,
    );
  });

  it('tells what a request waits for, and the error afterwards', () => {
    const outcome: Outcome = {
      type: 'waits',
      cause: 'connection',
      endpoints: ['e1'],
      waiting: 3,
      opening: 'e1',
      atMostMs: 800,
      otherwise: {code: 'busy', text: 'not run'},
    };
    assert.match(
      formatExplanation(explanation({outcome})),
      /waits for an idle connection \(e1\); one to e1 is opened; 3 wait already; after 800 ms busy: not run/,
    );
  });

  it('tells a refusal without a table', () => {
    const outcome: Outcome = {
      type: 'refused',
      isSession: true,
      error: {code: 'noDatabase', text: 'no route is named db'},
    };
    const none = {route: undefined, group: undefined, need: undefined};
    const found = explanation({...none, endpoints: [], outcome});
    const text = formatExplanation(found);
    assert.equal(text.split('\n').length, 4);
    assert.match(text, /the session is refused, noDatabase: no route is named/);
  });

  it('shows an instance with its groups', () => {
    const found: InstanceDescription = {
      ...OF,
      takesSessions: false,
      sessions: 5,
      quotas: [QUOTA],
      groups: [
        {
          group: 'g',
          primary: undefined,
          primaryMissingMs: 420,
          isPrimaryOutOfReach: false,
          waiting: 0,
          endpoints: [verdict({knownMsAgo: undefined, position: undefined})],
        },
      ],
    };
    const text = formatInstance(found);
    assert.match(text, /sessions +5; takes no more/);
    assert.match(text, /g: no primary for 420 ms; 0 requests wait/);
    assert.match(text, /e1 +│ recife +│ ready +│ replica +│ - +│ - /);
  });
});

describe('the digest of a key', () => {
  it('is the same from a file and standard input, with and without line break', async t => {
    const folder = await mkdtemp(path.join(tmpdir(), 'qrctl-'));
    t.after(() => rm(folder, {recursive: true}));
    const file = path.join(folder, 'key');
    await writeFile(file, `${KEY}\n`);
    assert.equal(await readKeyDigest(file), DIGEST);
    const pieces = [Buffer.from(KEY.slice(0, 3)), Buffer.from(KEY.slice(3))];
    assert.equal(await readKeyDigest('-', Readable.from(pieces)), DIGEST);
    const bytes = Buffer.from([0xff, 0xc3, 0x28]);
    assert.equal(
      await readKeyDigest('-', Readable.from([bytes])),
      createHash('sha256').update(bytes).digest('hex'),
    );
  });

  it('is refused for no key, a long one and an unreadable file', async () => {
    const inputs = [[], [Buffer.from('\n')], [Buffer.alloc(5000, 'a')]];
    for (const input of inputs) {
      const read = readKeyDigest('-', Readable.from(input));
      await assert.rejects(read, CommandError);
    }
    await assert.rejects(readKeyDigest('/nonexistent/key'), CommandError);
  });
});

describe('qrctl explain', () => {
  it('sends the digest of the key and never the key', async t => {
    const {requests, admin} = await startInstance(t, 200, explanation());
    const args = ['--admin', admin, '--database', 'db', '--position', '2.42'];
    const {code, out} = await runQrctl(
      ['explain', ...args, '--key-file', '-'],
      `${KEY}\n`,
    );
    assert.equal(code, 0);
    assert.match(out, /runs on e2/);
    assert.equal(requests.length, 1);
    assert.equal(requests[0]!.path, '/explain');
    assert.ok(!requests[0]!.body.includes(KEY));
    assert.deepEqual(JSON.parse(requests[0]!.body), {
      database: 'db',
      keyDigest: DIGEST,
      statement: 'read',
      position: '2.42',
    });
    const {out: json} = await runQrctl(['explain', ...args, '--json']);
    assert.equal(JSON.parse(json).outcome.endpoint, 'e2');
  });

  it('refuses contradicting options, and names what the instance rejects', async t => {
    const body = {error: 'body.position is wrong. Correct the query.'};
    const {requests, admin} = await startInstance(t, 400, body);
    const call = ['explain', '--admin', admin];
    for (const options of [
      [],
      ['--database', 'db', '--route', 'r'],
      ['--database', 'db', '--account', 'a', '--key-file', '-'],
    ]) {
      const {code} = await runQrctl([...call, ...options], KEY);
      assert.equal(code, 2);
    }
    assert.equal(requests.length, 0);
    const {code, err} = await runQrctl([...call, '--route', 'r']);
    assert.equal(code, 8);
    assert.match(err, /body\.position is wrong\. Correct the query\. Check/);
  });

  it('takes no key as an argument', async t => {
    const {requests, admin} = await startInstance(t, 200, explanation());
    const args = ['--admin', admin, '--database', 'db', '--key', KEY];
    const {code} = await runQrctl(['explain', ...args]);
    assert.notEqual(code, 0);
    assert.equal(requests.length, 0);
  });
});

describe('qrctl instance', () => {
  it('prints the instance as text and as JSON', async t => {
    const found = {
      ...OF,
      takesSessions: true,
      sessions: 5,
      quotas: [],
      groups: [],
    };
    const {requests, admin} = await startInstance(t, 200, found);
    const text = await runQrctl(['instance', '--admin', admin]);
    assert.match(text.out, /sessions +5\n/);
    const json = await runQrctl(['instance', '--admin', admin, '--json']);
    assert.deepEqual(JSON.parse(json.out), found);
    assert.deepEqual(
      requests.map(req => req.path),
      ['/instance', '/instance'],
    );
  });
});
