import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {manualClock, systemClock} from '@quetzalreel/common';
import {encodeFrame, tcpTransport} from '../src/index.js';

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
