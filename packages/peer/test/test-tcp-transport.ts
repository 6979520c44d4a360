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
  const made = await tcpTransport<Note>({
    host: '127.0.0.1',
    port: 0,
    clock,
    limits: LIMITS,
    check: (value): value is Note =>
      typeof (value as Partial<Note> | null)?.text === 'string',
    onMessage: onNote,
    onLinkError: (_, why) => errors.push(why),
  });
  return {made, errors};
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5));
}

test('messages pass both ways over one link', async () => {
  const seen: string[] = [];
  const a = await transport(systemClock(), note => seen.push(note.text));
  const b = await transport(systemClock(), note => {
    b.made.send(a.made.address, {text: `${note.text} back`});
  });
  a.made.send(b.made.address, {text: 'hello'});
  await until(() => seen.length > 0);
  assert.deepEqual(seen, ['hello back']);
  assert.equal(a.made.traffic.links, 1);
  a.made.dispose();
  b.made.dispose();
});

test('a silent link is closed, and the next message takes a new one', async t => {
  let accepted = 0;
  const deaf = net.createServer(socket => {
    accepted++;
    socket.on('error', () => {});
    socket.resume();
  });
  await new Promise<void>(resolve => deaf.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(deaf.address() as net.AddressInfo).port}`;
  const clock = manualClock();
  const {made, errors} = await transport(clock);
  t.after(() => {
    made.dispose();
    deaf.close();
  });
  made.send(address, {text: 'one'});
  await until(() => accepted === 1);
  clock.advance(LIMITS.responseTimeoutMs);
  made.send(address, {text: 'two'});
  assert.equal(made.traffic.links, 1);
  clock.advance(LIMITS.responseTimeoutMs);
  assert.deepEqual(errors, ['silent']);
  made.send(address, {text: 'three'});
  await until(() => accepted === 2);
});

const BAD: ReadonlyArray<[string, Buffer[], RegExp]> = [
  ['another version', [encodeFrame({version: 99, address: 'x:1'})], /99/],
  [
    'a value that is no message',
    [encodeFrame({version: 1, address: 'x:1'}), encodeFrame({other: 1})],
    /no known message/,
  ],
  ['a frame over the limit', [Buffer.from([0x7f, 0, 0, 0])], /bytes/],
  ['bytes that are no value', [Buffer.from([0, 0, 0, 1, 0xff])], /read/],
];

for (const [name, frames, why] of BAD) {
  test(`${name} ends that link alone`, async () => {
    const seen: string[] = [];
    const a = await transport(systemClock(), note => seen.push(note.text));
    const port = Number(a.made.address.split(':')[1]);
    const bad = net.connect(port, '127.0.0.1', () =>
      bad.write(Buffer.concat(frames)),
    );
    bad.on('error', () => {});
    bad.resume();
    await new Promise(resolve => bad.on('close', resolve));
    assert.match(a.errors.join(), why);
    const b = await transport();
    b.made.send(a.made.address, {text: 'still served'});
    await until(() => seen.length > 0);
    a.made.dispose();
    b.made.dispose();
  });
}
