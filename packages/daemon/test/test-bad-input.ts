/** What callers may send wrongly, and drivers that speak differently. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {frameSplitter, message, parse, query} from '@quetzalreel/wire';
import {MAX_CONCURRENT_LOGINS} from '../src/caller-listener.js';
import {type FakeInstance, type Fixture, fixture} from './fixture.js';

const MAX_BYTES = 1024 * 1024;
const SILENT_CALLERS = 2 * MAX_CONCURRENT_LOGINS;
const SYNC = message('S', Buffer.alloc(0));
const FLUSH = message('H', Buffer.alloc(0));
const INSERT = "INSERT INTO entry (key, value) VALUES ('rider', 'paid')";
const SELECT = "SELECT value FROM entry WHERE key = 'rider'";

const text = (value: string) => Buffer.from(`${value}\0`);
const bind = (portal: string, name: string) =>
  message('B', Buffer.concat([text(portal), text(name), Buffer.alloc(6)]));
const execute = (portal: string) =>
  message('E', Buffer.concat([text(portal), Buffer.alloc(4)]));
const describe = (target: string) => message('D', text(target));

/** A caller that sends bytes and reads the types of what comes back. */
interface RawCaller {
  send(...parts: Buffer[]): void;
  /** Types of the next messages up to one of type `last`, as one word. */
  until(last: string): Promise<string>;
  /** The last messages as text. */
  readonly seen: string;
  readonly closed: Promise<void>;
  end(): void;
}

async function rawCaller(instance: FakeInstance): Promise<RawCaller> {
  const socket = net.connect(instance.listener.port, '127.0.0.1');
  const splitter = frameSplitter(MAX_BYTES);
  const types: string[] = [];
  let seen = '';
  let wake = () => {};
  socket.on('error', () => {});
  socket.on('data', chunk => {
    for (const frame of splitter.push(chunk)) {
      // Parameters may be told at any time.
      if (frame.type === 'S') continue;
      types.push(frame.type);
      seen += frame.bytes.toString('latin1');
    }
    wake();
  });
  const closed = new Promise<void>(resolve =>
    socket.on('close', () => {
      wake();
      resolve();
    }),
  );
  async function until(last: string): Promise<string> {
    while (!types.includes(last) && !socket.destroyed) {
      await new Promise<void>(resolve => {
        wake = resolve;
      });
    }
    const end = types.indexOf(last);
    return types.splice(0, end < 0 ? types.length : end + 1).join('');
  }
  const names = text('user\0caller\0database\0entries\0');
  const startup = Buffer.alloc(8 + names.length);
  startup.writeInt32BE(startup.length, 0);
  startup.writeInt32BE(196608, 4);
  names.copy(startup, 8);
  socket.write(startup);
  await until('Z');
  return {
    send: (...parts) => void socket.write(Buffer.concat(parts)),
    until,
    get seen() {
      return seen;
    },
    closed,
    end: () => socket.destroy(),
  };
}

function withInstance(
  name: string,
  body: (instance: FakeInstance, all: Fixture) => Promise<void>,
): void {
  void test(name, async () => {
    const all = fixture();
    try {
      await body(await all.instance('a'), all);
    } finally {
      all.dispose();
    }
  });
}

const MALFORMED: ReadonlyArray<readonly [string, Buffer]> = [
  ['an unknown type', message('z', Buffer.alloc(3))],
  ['a length below itself', Buffer.from([0x51, 0, 0, 0, 1])],
  ['more than the limit', Buffer.from([0x51, 0x7f, 0, 0, 0])],
  ['a query without its end', message('Q', Buffer.from('SELECT 1'))],
  [
    'a query with more behind its end',
    message('Q', text(`SELECT 1\0${INSERT}`)),
  ],
  ['a Parse that is cut short', message('P', text('a'))],
  ['a Parse with types missing', message('P', Buffer.from('\0a\0\0\x02'))],
  ['a Bind that is cut short', message('B', text('a'))],
  [
    'a Bind with a value past its end',
    message('B', Buffer.from('\0\0\0\0\0\x01\0\0\x0f\0')),
  ],
  ['an Execute without its count', message('E', text(''))],
  ['a Describe of nothing', message('D', text('X'))],
  ['a password after login', message('p', text('secret'))],
  [
    'a request without end',
    Buffer.concat(
      Array.from({length: 9}, (_, i) =>
        parse(`s${i}`, `SELECT '${'x'.repeat(10_000)}'`),
      ),
    ),
  ],
];

for (const [name, bytes] of MALFORMED) {
  withInstance(`${name} ends its caller and no other`, async instance => {
    const other = await rawCaller(instance);
    const caller = await rawCaller(instance);
    caller.send(query(INSERT), bytes);
    assert.equal(await caller.until('E'), 'CZE');
    await caller.closed;
    assert.match(caller.seen, /SFATAL\0.*C08P01/);
    other.send(query(SELECT));
    assert.equal(await other.until('Z'), 'TDCZ');
    other.end();
  });
}

withInstance(
  'pipelined requests are answered whole and in order',
  async instance => {
    const caller = await rawCaller(instance);
    const count = 200;
    const parts: Buffer[] = [];
    for (let i = 0; i < count; i++) {
      parts.push(query(i % 3 === 1 ? 'COPY a FROM STDIN' : `SELECT 'n${i}.'`));
    }
    caller.send(...parts);
    for (let i = 0; i < count; i++) {
      assert.equal(await caller.until('Z'), i % 3 === 1 ? 'EZ' : 'TDCZ');
    }
    const numbers = [...caller.seen.matchAll(/n(\d+)\./g)].map(m =>
      Number(m[1]),
    );
    assert.deepEqual(
      numbers,
      [...numbers].sort((a, b) => a - b),
    );
    assert.equal(numbers.length, count - Math.floor((count + 1) / 3));
    caller.end();
  },
);

withInstance(
  'Parse and Describe with Flush are answered at once',
  async instance => {
    const caller = await rawCaller(instance);
    caller.send(parse('s', SELECT), describe('Ss'), FLUSH);
    assert.equal(await caller.until('T'), '1tT');
    caller.send(bind('', 's'), execute(''), SYNC);
    assert.equal(await caller.until('Z'), '2CZ');
    caller.send(parse('w', INSERT), describe('Sw'), FLUSH);
    assert.equal(await caller.until('n'), '1tn');
    caller.send(bind('', 'w'), execute(''), SYNC);
    assert.equal(await caller.until('Z'), '2CZ');
    caller.end();
  },
);

withInstance(
  'after an error and Flush, all up to Sync is skipped',
  async (instance, all) => {
    const caller = await rawCaller(instance);
    const mistakes = [
      [parse('', 'SELEKT'), describe('S'), FLUSH],
      [parse('c', 'COPY a FROM STDIN'), FLUSH],
      [parse('w', INSERT), bind('', 'w'), execute(''), FLUSH],
    ];
    for (const parts of mistakes.slice(1)) {
      caller.send(...parts, query(INSERT), parse('', INSERT), bind('', ''));
      caller.send(execute(''), SYNC);
      assert.equal(await caller.until('Z'), 'EZ');
    }
    assert.equal(all.endpoints[0]!.db.log.rows('entry').length, 0);
    caller.end();
  },
);

withInstance(
  'a caller gets in while a thousand say nothing',
  async instance => {
    const silent: net.Socket[] = [];
    for (let i = 0; i < SILENT_CALLERS; i++) {
      const socket = net.connect(instance.listener.port, '127.0.0.1');
      socket.on('error', () => {});
      silent.push(socket);
    }
    await Promise.all(
      silent.map(
        socket => new Promise(resolve => socket.on('connect', resolve)),
      ),
    );
    const caller = await rawCaller(instance);
    caller.send(query(SELECT));
    assert.equal(await caller.until('Z'), 'TCZ');
    assert.ok(instance.listener.callers <= MAX_CONCURRENT_LOGINS + 1);
    for (const socket of silent) socket.destroy();
    caller.end();
  },
);
