/**
 * Settings and callers' messages under arbitrary input: any other error than the
 * documented one ends the process or is told to the caller as one of the proxy.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {anyBytes, inChunks, mutatedBytes, oddWord} from '@quetzalreel/checks';
import {
  FrameError,
  closeStatement,
  frameSplitter,
  message,
  parse,
  query,
} from '@quetzalreel/wire';
import {requestReader} from '../src/request-reader.js';
import {SettingError, type Settings, checkSettings} from '../src/settings.js';

const SEED = 52;
const RUNS = 2000;
const MAX_BYTES = 256;
/** Bytes that the reader adds for each statement that is prepared again. */
const MAX_REQUEST_BYTES = 4 * MAX_BYTES;

const text = (value: string) => Buffer.from(`${value}\0`, 'latin1');
const frames = fc
  .array(
    fc.constantFrom(
      query('SELECT 1'),
      parse('s', 'SELECT 1'),
      parse('t', 'INSERT INTO a VALUES (1)'),
      parse('', ''),
      message('B', Buffer.concat([text(''), text('s'), Buffer.alloc(6)])),
      message('E', Buffer.concat([text(''), Buffer.alloc(4)])),
      message('D', text('Ss')),
      message('D', text('P')),
      closeStatement('s'),
      message('S', Buffer.alloc(0)),
      message('H', Buffer.alloc(0)),
      message('F', Buffer.alloc(4)),
      message('d', Buffer.alloc(0)),
    ),
    {maxLength: 12},
  )
  .map(list => Buffer.concat(list));

test('any messages in any chunks are requests within the limit, or result in a FrameError', () => {
  const stream = fc.oneof(frames, mutatedBytes(frames), anyBytes(100));
  const property = fc.property(inChunks(stream), chunks => {
    const splitter = frameSplitter(MAX_BYTES);
    const reader = requestReader(MAX_BYTES);
    try {
      for (const frame of chunks.flatMap(chunk => splitter.push(chunk))) {
        const req = reader.push(frame);
        if (!req) continue;
        assert.ok(req.bytes.length <= MAX_REQUEST_BYTES);
        assert.equal(typeof req.statement.class, 'string');
      }
    } catch (err) {
      assert.ok(err instanceof FrameError, String(err));
    }
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test('statements that are prepared without an end are refused at the limit', () => {
  const name = fc.string({maxLength: 20}).filter(item => !item.includes('\0'));
  const property = fc.property(name, prefix => {
    const reader = requestReader(MAX_BYTES);
    const splitter = frameSplitter(MAX_BYTES);
    let bytes = 0;
    const prepareAll = () => {
      for (let i = 0; bytes <= MAX_BYTES; i++) {
        const frame = Buffer.concat([
          parse(`${prefix}${i}`, 'SELECT 1'),
          message('S', Buffer.alloc(0)),
        ]);
        bytes += frame.length - 5;
        for (const item of splitter.push(frame)) reader.push(item);
      }
    };
    assert.throws(prepareAll, FrameError);
  });
  fc.assert(property, {seed: SEED, numRuns: 200});
});

const SETTINGS: Settings = {
  instance: 'i-1',
  dataCentre: 'z',
  host: '127.0.0.1',
  port: 6432,
  adminPort: 6433,
  peerPort: 6434,
  peers: '10.0.0.1:6434',
  platformUrl: 'http://10.0.0.1:8080',
  endpointUser: 'u',
  endpointPassword: '',
  instances: 8,
  operatorToken: '',
  tlsCert: '',
  tlsKey: '',
  peerTlsCert: '',
  peerTlsKey: '',
  peerTlsCa: '',
  maxMessageBytes: 1024,
  sessionKey: '',
  logLevel: 'info',
};
const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'];

test('any settings can be used, or result in a SettingError', () => {
  const number = fc.oneof(
    fc.constantFrom(-1, 0, 0.5, 65_536, 1e300, NaN, Infinity),
    fc.integer(),
  );
  const word = oddWord('', 'a b', 'h:1,h:2', 'h:99999', '::', 'http:', 'loud');
  const changes = fc.record(
    Object.fromEntries(
      Object.entries(SETTINGS).map(([name, value]) => [
        name,
        typeof value === 'number' ? number : word,
      ]),
    ),
    {requiredKeys: []},
  );
  // A few changes at once, or the first check refuses nearly all of them.
  const few = fc
    .tuple(changes, fc.shuffledSubarray(Object.keys(SETTINGS), {maxLength: 2}))
    .map(([all, names]) =>
      Object.fromEntries(
        names.filter(name => name in all).map(name => [name, all[name]]),
      ),
    );
  const property = fc.property(few, change => {
    try {
      const settings = checkSettings({...SETTINGS, ...change} as Settings);
      for (const port of [settings.port, settings.adminPort, settings.peerPort])
        assert.ok(Number.isInteger(port) && port >= 0 && port <= 65_535);
      assert.ok(Number.isInteger(settings.instances) && settings.instances > 0);
      assert.ok(settings.maxMessageBytes >= 1, `${settings.maxMessageBytes}`);
      assert.ok(LOG_LEVELS.includes(settings.logLevel), settings.logLevel);
    } catch (err) {
      assert.ok(err instanceof SettingError, String(err));
    }
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});
