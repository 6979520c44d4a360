import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {manualClock, systemClock} from '@quetzalreel/common';
import {encodeFrame, frameDecoder, tcpTransport} from '../src/index.js';

interface Note {
  readonly text: string;
}

const LIMITS = {
  maxFrameBytes: 10_000,
  maxQueuedBytes: 100_000,
  responseTimeoutMs: 500,
  idleMs: 5000,
  connectMs: 1000,
};

async function transport(
  clock = systemClock(),
  onNote: (note: Note) => void = () => {},
) {
  const errors: string[] = [];
  const peer = await tcpTransport<Note>({
    host: '127.0.0.1',
    port: 0,
    clock,
    limits: LIMITS,
    check: (value): value is Note =>
      typeof (value as Partial<Note> | null)?.text === 'string',
    onMessage: onNote,
    onLinkError: (_, why) => errors.push(why),
  });
  return {peer, errors};
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

test('messages pass both ways over one link', async () => {
  const seen: string[] = [];
  const a = await transport(systemClock(), note => seen.push(note.text));
  const b = await transport(systemClock(), note => {
    b.peer.send(a.peer.address, {text: `${note.text} back`});
  });
  a.peer.send(b.peer.address, {text: 'hello'});
  await until(() => seen.length > 0);
  assert.deepEqual(seen, ['hello back']);
  assert.equal(a.peer.traffic.links, 1);
  a.peer.dispose();
  b.peer.dispose();
});

test('an unresponsive link is closed, and the next message opens a new one', async t => {
  let accepted = 0;
  const unresponsive = net.createServer(socket => {
    accepted++;
    socket.on('error', () => {});
    socket.resume();
  });
  await new Promise<void>(resolve =>
    unresponsive.listen(0, '127.0.0.1', resolve),
  );
  const address = `127.0.0.1:${(unresponsive.address() as net.AddressInfo).port}`;
  const clock = manualClock();
  const {peer, errors} = await transport(clock);
  t.after(() => {
    peer.dispose();
    unresponsive.close();
  });
  peer.send(address, {text: 'one'});
  await until(() => accepted === 1);
  clock.advance(LIMITS.responseTimeoutMs);
  peer.send(address, {text: 'two'});
  assert.equal(peer.traffic.links, 1);
  clock.advance(LIMITS.responseTimeoutMs);
  assert.deepEqual(errors, ['response timeout']);
  peer.send(address, {text: 'three'});
  await until(() => accepted === 2);
});

test('a link is kept though the peer has nothing to send on it', async t => {
  const seen: string[] = [];
  const a = await transport();
  const b = await transport(systemClock(), note => seen.push(note.text));
  t.after(() => {
    a.peer.dispose();
    b.peer.dispose();
  });
  a.peer.send(b.peer.address, {text: 'one'});
  await until(() => seen.length === 1 && a.peer.traffic.receivedBytes > 0);
  a.peer.send(b.peer.address, {text: 'two'});
  // Twice the time without a response after which a link is closed.
  const endAt = performance.now() + 2 * LIMITS.responseTimeoutMs;
  await until(() => performance.now() > endAt);
  a.peer.send(b.peer.address, {text: 'three'});
  await until(() => seen.length === 3);
  assert.deepEqual([...a.errors, ...b.errors], []);
});

test('a peer whose old link is silent is answered on its new link', async t => {
  let received = 0;
  const {peer} = await transport(systemClock(), () => received++);
  const sockets: net.Socket[] = [];
  t.after(() => {
    peer.dispose();
    for (const socket of sockets) socket.destroy();
  });
  const PEER_ADDRESS = '127.0.0.1:1';
  /** Opens a link as a peer does; the texts that it receives. */
  async function openLink(): Promise<string[]> {
    const texts: string[] = [];
    const decoder = frameDecoder(LIMITS.maxFrameBytes);
    const socket = net.connect(Number(peer.address.split(':')[1]), '127.0.0.1');
    sockets.push(socket);
    socket.on('data', chunk => {
      for (const value of decoder.push(chunk))
        texts.push((value as Partial<Note>).text ?? 'hello');
    });
    socket.write(encodeFrame({version: 1, address: PEER_ADDRESS}));
    await until(() => texts.length > 0);
    const before = received;
    socket.write(encodeFrame({text: 'from the peer'}));
    await until(() => received > before);
    return texts;
  }
  const onOld = await openLink();
  peer.send(PEER_ADDRESS, {text: 'first'});
  await until(() => onOld.includes('first'));
  const onNew = await openLink();
  peer.send(PEER_ADDRESS, {text: 'second'});
  await until(() => [...onOld, ...onNew].includes('second'));
  assert.deepEqual(onNew, ['hello', 'second']);
});

test('a silent link is closed soon after the limit, not up to twice as late', async t => {
  const clock = manualClock();
  const {peer, errors} = await transport(clock);
  const silent = net.createServer(socket => socket.resume());
  await new Promise<void>(resolve => silent.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    peer.dispose();
    silent.close();
  });
  clock.advance(LIMITS.responseTimeoutMs * 0.1);
  const {port} = silent.address() as net.AddressInfo;
  peer.send(`127.0.0.1:${port}`, {text: 'one'});
  clock.advance(LIMITS.responseTimeoutMs * 1.3);
  assert.deepEqual(errors, ['response timeout']);
});

test('a long message is compressed once the peer said that it takes that', async t => {
  const LONG = 'x'.repeat(8000);
  const seen: string[] = [];
  const a = await transport(systemClock(), note => seen.push(note.text));
  const b = await transport(systemClock(), () => {
    b.peer.sendToAll([a.peer.address], {text: LONG});
  });
  t.after(() => {
    a.peer.dispose();
    b.peer.dispose();
  });
  a.peer.send(b.peer.address, {text: 'hello'});
  await until(() => seen.length > 0);
  assert.deepEqual(seen, [LONG]);
  assert.ok(b.peer.traffic.sentBytes < LONG.length / 10);
});

test('a long message to a peer of an older build is not compressed', async t => {
  const {peer} = await transport();
  const decoder = frameDecoder(LIMITS.maxFrameBytes);
  const values: unknown[] = [];
  let bytes = 0;
  const older = net.createServer(socket => {
    socket.write(encodeFrame({version: 1, address: '127.0.0.1:1'}));
    socket.on('data', chunk => {
      bytes += chunk.length;
      values.push(...decoder.push(chunk));
    });
  });
  await new Promise<void>(resolve => older.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    peer.dispose();
    older.close();
  });
  const {port} = older.address() as net.AddressInfo;
  for (const text of ['x'.repeat(8000), 'y'.repeat(8000)]) {
    const before = values.length;
    peer.send(`127.0.0.1:${port}`, {text});
    await until(() => values.length > before + (before === 0 ? 1 : 0));
  }
  assert.ok(bytes > 2 * 8000);
});

const INVALID_INPUTS: ReadonlyArray<[string, Buffer[], RegExp]> = [
  ['another version', [encodeFrame({version: 99, address: 'x:1'})], /99/],
  [
    'an unknown message',
    [encodeFrame({version: 1, address: 'x:1'}), encodeFrame({other: 1})],
    /unknown message/,
  ],
  ['a frame over the limit', [Buffer.from([0x7f, 0, 0, 0])], /bytes/],
  [
    'bytes that do not decode to a value',
    [Buffer.from([0, 0, 0, 1, 0xff])],
    /read/,
  ],
];

for (const [name, frames, why] of INVALID_INPUTS) {
  test(`${name} closes only the link that received it`, async () => {
    const seen: string[] = [];
    const a = await transport(systemClock(), note => seen.push(note.text));
    const port = Number(a.peer.address.split(':')[1]);
    const bad = net.connect(port, '127.0.0.1', () =>
      bad.write(Buffer.concat(frames)),
    );
    bad.on('error', () => {});
    bad.resume();
    await new Promise(resolve => bad.on('close', resolve));
    assert.match(a.errors.join(), why);
    const b = await transport();
    b.peer.send(a.peer.address, {text: 'still served'});
    await until(() => seen.length > 0);
    a.peer.dispose();
    b.peer.dispose();
  });
}

test('a message to an address that can not be connected to is reported, not thrown', async t => {
  const {peer, errors} = await transport();
  t.after(() => peer.dispose());
  for (const address of ['10.0.0.1:99999', 'nowhere', ''])
    peer.send(address, {text: 'hello'});
  assert.equal(errors.length, 3);
  assert.equal(peer.traffic.links, 0);
});
