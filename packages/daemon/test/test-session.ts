/** Read-your-writes, and the proxy's own settings. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {tokenCodec} from '@quetzalreel/position';
import type pg from 'pg';
import {type FakeInstance, type Fixture, fixture} from './fixture.js';

const READS = 6;
const LIST = "/*kind='list'*/";
/** A kind whose deadline is soon, for reads that must not be answered. */
const BRIEF = "/*kind='brief'*/";

/** Runs `body` with a fixture and cleans up after it. */
function withFixture(
  name: string,
  body: (all: Fixture) => Promise<void>,
): void {
  void test(name, async () => {
    const all = fixture();
    try {
      await body(all);
    } finally {
      all.dispose();
    }
  });
}

async function read(
  client: pg.Client,
  kind = LIST,
): Promise<string | undefined> {
  const sql = `SELECT value FROM entry WHERE key = 'rider' ${kind}`;
  const res = await client.query<{value: string}>(sql);
  return res.rows[0]?.value;
}

function write(client: pg.Client, value: string): Promise<unknown> {
  return client.query(
    `INSERT INTO entry (key, value) VALUES ('rider', '${value}')`,
  );
}

async function expectSeen(client: pg.Client): Promise<void> {
  for (let i = 0; i < READS; i++) assert.equal(await read(client), 'paid');
}

async function tokenOf(client: pg.Client): Promise<string> {
  const res = await client.query<Record<string, string>>(
    'SHOW quetzalreel.session',
  );
  return res.rows[0]!['quetzalreel.session']!;
}

function codeOf(work: Promise<unknown>): Promise<string> {
  return work.then(
    () => 'done',
    (err: {code?: string}) => err.code ?? String(err),
  );
}

/** A write that one replica has and the other lacks. */
async function writeWithLag(
  all: Fixture,
  instance: FakeInstance,
): Promise<pg.Client> {
  all.endpoints[1]!.follows = false;
  const client = await instance.client();
  await write(client, 'paid');
  return client;
}

/** Makes e3 the primary of term 2, with e2 its replica. */
function changePrimary(all: Fixture): void {
  const [, e2, e3] = all.endpoints;
  const attempt = {term: 2, holder: 'test'};
  e2!.db.fence(attempt);
  e3!.db.fence(attempt);
  e3!.db.promote(attempt);
  e2!.db.follow(attempt, '127.0.0.1', 1);
  e2!.follows = true;
  all.replicate();
}

withFixture('a caller sees its write past a replica that lags', async all => {
  const client = await writeWithLag(all, await all.instance('a'));
  await expectSeen(client);
});

withFixture('a kind says where a write must be to be answered', async all => {
  const client = await (await all.instance('a')).client();
  await write(client, 'before');
  for (const endpoint of all.endpoints) endpoint.follows = false;
  const insert = (kind: string) =>
    client.query(
      `/*kind='${kind}'*/ INSERT INTO entries (key, value) VALUES ('k', 'v')`,
    );
  assert.equal(await codeOf(insert('pay')), 'QR002');
  assert.equal(await codeOf(insert('note')), 'done');
  assert.equal(await codeOf(insert('pay')), 'QR002');
});

withFixture('the primary serves when the only replica lags', async all => {
  const a = await all.instance('a');
  const client = await writeWithLag(all, a);
  a.cut.add('e3');
  await expectSeen(client);
});

withFixture('a caller that roams without a token sees its write', async all => {
  const b = await all.instance('b');
  const roamed = await b.client();
  await writeWithLag(all, await all.instance('a'));
  await expectSeen(roamed);
});

withFixture('a caller that roams with a token sees its write', async all => {
  const b = await all.instance('b');
  const client = await writeWithLag(all, await all.instance('a'));
  const token = await tokenOf(client);
  const roamed = await b.client();
  await roamed.query(`SET quetzalreel.session = '${token}'`);
  await expectSeen(roamed);
});

withFixture('a token stands in for a majority that is away', async all => {
  const b = await all.instance('b');
  assert.equal(await read(await b.client()), undefined);
  const client = await writeWithLag(all, await all.instance('a'));
  const token = await tokenOf(client);
  b.cut.add('e1').add('e2');
  const roamed = await b.client();
  await roamed.query(`SET quetzalreel.session = '${token}'`);
  await expectSeen(roamed);
  assert.equal(await codeOf(read(await b.client(), BRIEF)), 'QR001');
});

withFixture('a caller sees its write after a change of primary', async all => {
  const a = await all.instance('a');
  const b = await all.instance('b');
  const client = await writeWithLag(all, a);
  a.cut.add('e1');
  b.cut.add('e1');
  changePrimary(all);
  await expectSeen(client);
  await expectSeen(await b.client());
});

withFixture('an old primary serves no caller that saw the next', async all => {
  const a = await all.instance('a');
  const b = await all.instance('b');
  const known = await a.client();
  assert.equal(await read(known), undefined);
  a.cut.add('e2').add('e3');
  b.cut.add('e1');
  changePrimary(all);
  const client = await b.client();
  await write(client, 'paid');
  const token = await tokenOf(client);
  const withToken = await a.client();
  await withToken.query(`SET quetzalreel.session = '${token}'`);
  assert.equal(await codeOf(read(withToken, BRIEF)), 'QR001');
  assert.equal(await codeOf(read(await a.client(), BRIEF)), 'QR001');
});

withFixture('tokens that are no good are refused at once', async all => {
  const a = await all.instance('a');
  const client = await a.client();
  await write(client, 'paid');
  const token = await tokenOf(client);
  const forged = tokenCodec('another key').write(new Map());
  const bad = ['', 'x', forged, token.slice(0, -1), `${token}x`];
  for (const text of bad) {
    const set = client.query(`SET quetzalreel.session = '${text}'`);
    assert.equal(await codeOf(set), 'QR003');
  }
  await expectSeen(client);
});

withFixture('a token ahead of the group is an error, not a wait', async all => {
  const client = await (await all.instance('a')).client();
  for (const position of [
    {term: 1, offset: 99},
    {term: 9, offset: 1},
  ]) {
    const floors = new Map([['entries', position]]);
    const token = tokenCodec('a key of this test').write(floors);
    await client.query(`SET quetzalreel.session = '${token}'`);
    assert.equal(await codeOf(read(client)), 'QR003');
  }
});

withFixture('a kind is kept for the session, by both protocols', async all => {
  const client = await (await all.instance('a')).client();
  await client.query("SET quetzalreel.kind = 'list'");
  for (const name of ['', 'named']) {
    const show = {text: 'SHOW quetzalreel.kind', name};
    const res = await client.query<Record<string, string>>(show);
    assert.equal(res.rows[0]!['quetzalreel.kind'], 'list');
  }
  assert.equal(await codeOf(client.query('RESET quetzalreel.kind')), 'done');
  const unknown = client.query("SET quetzalreel.kind = 'none'");
  assert.equal(await codeOf(unknown), 'QR004');
});

withFixture('refusals name what is wrong and run nothing', async all => {
  const client = await (await all.instance('a')).client();
  const insert = "INSERT INTO entry (key, value) VALUES ('rider', 'x')";
  const cases: ReadonlyArray<readonly [string, string]> = [
    ['SET search_path = a', '0A000'],
    ['SELECT 1; SET search_path = a', '0A000'],
    ['COPY entry FROM STDIN', '0A000'],
    [`${insert} /*kind='none'*/`, 'QR004'],
    [`${insert} /*kind='list'*/`, 'QR004'],
    ['SET quetzalreel.other = 1', '22023'],
  ];
  for (const [sql, code] of cases) {
    assert.equal(await codeOf(client.query(sql)), code, sql);
  }
  assert.equal(await read(client), undefined);
});

withFixture('a connection that keeps a setting is reset', async all => {
  const client = await (await all.instance('a')).client();
  const [e1] = all.endpoints;
  const resetsAfter = async (inside: string): Promise<number> => {
    const resets = () =>
      e1!.requests.filter(sql => sql.includes('DISCARD ALL')).length;
    const before = resets();
    await client.query('BEGIN');
    await client.query(inside).catch(() => {});
    await client.query('ROLLBACK');
    await write(client, 'x');
    return resets() - before;
  };
  assert.equal(await resetsAfter('SELECT 1'), 0);
  const setting = "SELECT \"set_config\"('a', 'b', false)";
  assert.equal(await resetsAfter(setting), 1);
});
withFixture(
  'a connection that keeps a setting is reset before it is used again',
  async all => {
    const client = await (await all.instance('a')).client();
    const [e1] = all.endpoints;
    const resetsAfter = async (inside: string): Promise<number> => {
      await client.query('BEGIN');
      const before = e1!.requests.length;
      await client.query(inside);
      await client.query('COMMIT');
      await write(client, 'x');
      const sent = e1!.requests.slice(before);
      const next = sent.findIndex(sql => sql.includes('INSERT'));
      const resets = sent.filter(sql => sql.includes('DISCARD ALL'));
      assert.ok(next > sent.findIndex(sql => sql.includes('DISCARD ALL')));
      return resets.length;
    };
    assert.equal(await resetsAfter('SET LOCAL search_path = a'), 0);
    assert.equal(await resetsAfter('SET search_path = a'), 1);
    assert.equal(await resetsAfter('SELECT 1'), 0);
  },
);

withFixture('a read that may write is sent to a primary once', async all => {
  const a = await all.instance('a');
  const client = await a.client();
  const [e1] = all.endpoints;
  assert.equal(await read(client), undefined);
  a.cut.add('e2').add('e3');
  const sent = () => e1!.requests.filter(sql => sql.includes('charge')).length;
  e1!.loseAnswers = 1;
  assert.equal(await codeOf(client.query('SELECT charge(1)')), 'QR002');
  assert.equal(sent(), 1);
  e1!.loseAnswers = 1;
  const declared = `SELECT charge(1) ${LIST}`;
  assert.equal(await codeOf(client.query(declared)), '42601');
  assert.equal(sent(), 3);
});
