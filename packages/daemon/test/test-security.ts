import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, utimesSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {Writable} from 'node:stream';
import {type TestContext, test} from 'node:test';
import tls from 'node:tls';
import {manualClock, systemClock} from '@quetzalreel/common';
import {hashSecret, parseConfiguration} from '@quetzalreel/config';
import {tcpTransport} from '@quetzalreel/peer';
import bunyan from 'bunyan';
import {start, stop} from 'nact';
import pg from 'pg';
import {generate} from 'selfsigned';
import {startAdmin} from '../src/admin.js';
import {startListener} from '../src/caller-listener.js';
import {credentialChecker} from '../src/credentials.js';
import type {GroupHandle} from '../src/group-handle.js';
import {keyFiles} from '../src/key-files.js';
import {createLog} from '../src/log.js';
import {startMetrics} from '../src/metrics.js';
import {SettingError, type Settings, checkSettings} from '../src/settings.js';

const PASSWORD = 'hunter2-of-ana';
const quiet = createLog('test', 'fatal');

async function configurationWith(password: string) {
  const callers = [{name: 'ana', secret: await hashSecret(password)}];
  return parseConfiguration({generation: 1, groups: [], callers});
}

test('a right password is hashed once, whoever asks how often', async () => {
  const cfg = await configurationWith(PASSWORD);
  const checker = credentialChecker(() => cfg);
  const logins = Array.from({length: 1000}, () =>
    checker.verify('ana', PASSWORD),
  );
  assert.ok((await Promise.all(logins)).every(Boolean));
  assert.equal(checker.hashCount, 1);
});

test('a wrong password, an unknown caller and a replaced one are refused', async () => {
  let cfg = await configurationWith(PASSWORD);
  const checker = credentialChecker(() => cfg);
  assert.equal(await checker.verify('ana', 'wrong'), false);
  assert.equal(await checker.verify('ana', 'wrong'), false);
  assert.equal(await checker.verify('rui', PASSWORD), false);
  assert.equal(await checker.verify('ana', PASSWORD), true);
  cfg = await configurationWith('another');
  assert.equal(await checker.verify('ana', PASSWORD), false);
});

async function keys(commonName: string) {
  const made = await generate([{name: 'commonName', value: commonName}]);
  return {key: made.private, cert: made.cert};
}

function folder() {
  const dir = mkdtempSync(path.join(os.tmpdir(), 'keys-'));
  let edits = 0;
  const paths = {
    cert: path.join(dir, 'cert.pem'),
    key: path.join(dir, 'key.pem'),
  };
  return {
    paths,
    write(made: {key: string; cert: string}) {
      const time = ++edits;
      for (const name of ['cert', 'key'] as const) {
        writeFileSync(paths[name], made[name]);
        utimesSync(paths[name], time, time);
      }
    },
    remove: () => rmSync(dir, {recursive: true}),
  };
}

test('callers log in over TLS, and a replaced key is taken up', async () => {
  const files = folder();
  files.write(await keys('first'));
  const cfg = await configurationWith(PASSWORD);
  const system = start();
  const lines: string[] = [];
  const log = bunyan.createLogger({
    name: 'test',
    level: 'trace',
    stream: new Writable({
      write(line, _encoding, done) {
        lines.push(String(line));
        done();
      },
    }),
  });
  const listener = await startListener({
    system,
    clock: systemClock(),
    log,
    host: '127.0.0.1',
    port: 0,
    tokens: undefined,
    maxMessageBytes: 1000,
    loginTimeoutMs: 5000,
    configuration: () => cfg,
    verify: credentialChecker(() => cfg).verify,
    tls: keyFiles(files.paths, log),
    groupOf: () => ({}) as GroupHandle,
  });
  const names: string[] = [];
  const client = (password: string) =>
    new pg.Client({
      host: '127.0.0.1',
      port: listener.port,
      user: 'ana',
      password,
      database: 'g',
      ssl: {rejectUnauthorized: false},
    });
  const login = async (password: string) => {
    const caller = client(password);
    caller.on('error', () => {});
    await caller.connect();
    const socket = (caller as unknown as {connection: {stream: tls.TLSSocket}})
      .connection.stream;
    names.push(String(socket.getPeerCertificate().subject.CN));
    await caller.end();
  };
  await login(PASSWORD);
  files.write(await keys('second'));
  await login(PASSWORD);
  assert.deepEqual([...new Set(names)], ['first', 'second']);
  await assert.rejects(login('wrong-hunter3'), {code: '28P01'});
  assert.doesNotMatch(lines.join(), /hunter|scrypt/);
  listener.dispose();
  stop(system);
  files.remove();
});

test('keys that can not be read leave the last ones in use', async () => {
  const files = folder();
  const first = await keys('first');
  files.write(first);
  const read = keyFiles(files.paths, quiet);
  files.remove();
  assert.equal(read().cert.toString(), first.cert);
});

test('instances talk over TLS, and one of another authority is refused', async () => {
  const own = await keys('fleet');
  const other = await keys('stranger');
  const seen: string[] = [];
  const transport = (made: {key: string; cert: string}) =>
    tcpTransport<{text: string}>({
      host: '127.0.0.1',
      port: 0,
      clock: systemClock(),
      limits: {
        maxFrameBytes: 1000,
        maxQueuedBytes: 1000,
        responseTimeoutMs: 1000,
        idleMs: 1000,
        connectMs: 1000,
      },
      tls: () => ({
        key: Buffer.from(made.key),
        cert: Buffer.from(made.cert),
        ca: Buffer.from(made.cert),
      }),
      check: (value): value is {text: string} => value !== undefined,
      onMessage: message => seen.push(message.text),
      onLinkError: () => failed(),
    });
  let failed = () => {};
  const refused = new Promise<void>(resolve => {
    failed = resolve;
  });
  const a = await transport(own);
  const b = await transport(own);
  const stranger = await transport(other);
  stranger.send(a.address, {text: 'stranger'});
  await refused;
  b.send(a.address, {text: 'friend'});
  while (seen.length === 0) await new Promise(r => setTimeout(r, 5));
  assert.deepEqual(seen, ['friend']);
  for (const item of [a, b, stranger]) item.dispose();
});

async function adminWith(t: TestContext, token: string) {
  const metrics = startMetrics({
    clock: manualClock(),
    groups: () => [],
    fleet: () => undefined,
    shares: () => undefined,
    generation: () => 7,
    storeDown: () => false,
    callers: () => 2,
    primaryCheckIntervalMs: 1000,
  });
  const admin = await startAdmin({
    host: '127.0.0.1',
    port: 0,
    token,
    groups: () => [],
    ready: () => false,
    state: () => ({instance: 'i1'}),
    metrics,
  });
  const ask = async (url: string, sent?: string, method = 'GET') => {
    const headers = sent ? {Authorization: `Bearer ${sent}`} : {};
    const base = `http://127.0.0.1:${admin.port}`;
    const res = await fetch(base + url, {method, headers});
    return {status: res.status, text: await res.text()};
  };
  t.after(() => {
    admin.dispose();
    metrics.dispose();
  });
  return {ask};
}

const ASKED: ReadonlyArray<[string, string, string | undefined, number]> = [
  ['GET', '/state', undefined, 401],
  ['GET', '/state', 'wrong', 401],
  ['GET', '/state', 'right', 200],
  ['POST', '/promote/g/e', undefined, 401],
  ['POST', '/promote/g/e', 'right', 400],
  ['GET', '/nothing', 'right', 404],
  ['GET', '/healthz', undefined, 200],
  ['GET', '/readyz', undefined, 503],
  ['GET', '/metrics', undefined, 200],
];

for (const [method, url, sent, status] of ASKED) {
  test(`${method} ${url} with token ${sent}: ${status}`, async t => {
    const {ask} = await adminWith(t, 'right');
    const res = await ask(url, sent, method);
    assert.equal(res.status, status);
    assert.doesNotMatch(res.text, /right|wrong/);
  });
}

test('metrics have their names and values', async t => {
  const {ask} = await adminWith(t, '');
  const {text} = await ask('/metrics');
  assert.match(text, /^quetzalreel_configuration_generation 7$/m);
  assert.match(text, /^quetzalreel_caller_connections 2$/m);
  assert.match(text, /^# TYPE quetzalreel_failover_gap_seconds histogram$/m);
});

const GOOD: Settings = {
  instance: 'i1',
  dataCentre: 'recife',
  host: '127.0.0.1',
  port: 0,
  adminPort: 0,
  peerPort: 0,
  peers: '10.0.0.1:6434, 10.0.0.2:6434',
  platformUrl: 'http://127.0.0.1:1',
  endpointUser: 'u',
  sessionKey: '',
  endpointPassword: PASSWORD,
  instances: 8,
  operatorToken: '',
  tlsCert: '',
  tlsKey: '',
  peerTlsCert: '',
  peerTlsKey: '',
  peerTlsCa: '',
  maxMessageBytes: 1000,
  logLevel: 'info',
};

const SETTINGS: ReadonlyArray<[string, Partial<Settings>, RegExp]> = [
  ['a port over 65535', {peerPort: 70_000}, /--peer-port/],
  ['a peer without a port', {peers: '10.0.0.1'}, /--peers/],
  ['no token off loopback', {host: '0.0.0.0'}, /OPERATOR_TOKEN/],
  ['a certificate without a key', {tlsCert: 'c'}, /--tls-cert/],
  ['a peer key without an authority', {peerTlsKey: 'k'}, /--peer-tls-cert/],
];

test('good settings are taken as they are', () => {
  assert.deepEqual(checkSettings(GOOD), GOOD);
});

for (const [name, change, message] of SETTINGS) {
  test(`settings are refused: ${name}`, () => {
    assert.throws(
      () => checkSettings({...GOOD, ...change}),
      (err: Error) =>
        err instanceof SettingError &&
        message.test(err.message) &&
        !err.message.includes(PASSWORD),
    );
  });
}
