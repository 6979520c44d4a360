/**
 * Both ends of a connection through a relay under arbitrary input. An answer of
 * another shape than the others expect fails where it is used, outside of the
 * connection that brought it; a request of another shape is sent to an endpoint.
 */
import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, describe, it} from 'node:test';
import fc from 'fast-check';
import {
  anyBytes,
  inChunks,
  mutated,
  mutatedBytes,
  oddValue,
} from '@quetzalreel/checks';
import {parseAddress} from '@quetzalreel/common';
import {encodeFrame} from '@quetzalreel/peer';
import {
  Access,
  type Answer,
  ConnectionLostError,
  ErrorCode,
  SessionState,
  answerMemory,
  localAnswer,
  sizeOfRows,
} from '@quetzalreel/requests';
import {type Relay, connectViaRelay, startRelay} from '../src/index.js';
import {
  type EndpointObservation,
  isObservationRequest,
  isRelayMessage,
  isRelayTarget,
  isRequest,
} from '../src/messages.js';

const SEED = 45;
const RUNS = 3000;
const HOST = '127.0.0.1';
const TIMEOUT_MS = 10_000;
const TARGET = {group: 'g', endpoint: 'e'};
const POSITION = {term: 1, offset: 4};

const ANSWER: Answer = {
  rows: ['a', 'b'],
  signature: 's',
  error: {code: ErrorCode.Busy, text: 'busy'},
  state: SessionState.Idle,
  position: POSITION,
};
const OBSERVATION: EndpointObservation = {
  position: POSITION,
  heardMsAgo: 5,
  silentMs: 7,
  isRefusing: false,
};
const MESSAGES: readonly unknown[] = [
  {type: 'open'},
  {type: 'rows', rows: ['a']},
  {type: 'answer', answer: ANSWER},
  {type: 'answer', answer: localAnswer(SessionState.Open)},
  {type: 'sign', sign: OBSERVATION},
  {type: 'lost', what: 'reset', wasReset: true},
  {type: 'stopping'},
];
const REQUESTS: readonly unknown[] = [
  {type: 'forward', id: 'r', text: 'READ k', atLeast: POSITION},
  {type: 'execute', id: 'r', name: 'n', args: 'k'},
  {type: 'begin', readOnly: true},
  {type: 'rollback'},
  {type: 'set', name: 'a', value: 'b'},
  {type: 'prepare', name: 'n', access: Access.Read, shape: 's'},
  {type: 'discard'},
  {type: 'status'},
  {type: 'stepDown', term: 3},
];

const STATES: ReadonlySet<unknown> = new Set(Object.values(SessionState));
const CODES: ReadonlySet<unknown> = new Set(Object.values(ErrorCode));

function assertAnswer(answer: Answer): void {
  const {rows, signature, error, state, position} = answer;
  assert.ok(rows.every(row => typeof row === 'string'));
  assert.ok(Number.isFinite(sizeOfRows(answer)));
  assert.ok(signature === undefined || typeof signature === 'string');
  assert.ok(STATES.has(state));
  if (error) {
    assert.ok(CODES.has(error.code));
    assert.equal(typeof error.text, 'string');
  }
  if (position) assert.ok(Number.isInteger(position.term));
}

function assertObservation({position, heardMsAgo}: EndpointObservation): void {
  assert.equal(typeof heardMsAgo, 'number');
  if (position) assert.ok(Number.isInteger(position.offset));
}

describe('the check of a value', () => {
  it('accepts the messages and requests that instances send', () => {
    for (const message of MESSAGES) assert.ok(isRelayMessage(message));
    for (const req of REQUESTS) assert.ok(isRequest(req));
    assert.ok(isObservationRequest({type: 'sign'}));
    assert.ok(isRelayTarget(TARGET));
  });

  it('accepts messages with the fields of their type only', () => {
    const value = fc.oneof(...MESSAGES.map(mutated), oddValue);
    const property = fc.property(value, item => {
      if (!isRelayMessage(item)) return;
      if (item.type === 'answer') assertAnswer(item.answer);
      if (item.type === 'sign') assertObservation(item.sign);
      if (item.type === 'rows')
        assert.ok(item.rows.every(row => typeof row === 'string'));
      if (item.type === 'lost') assert.equal(typeof item.what, 'string');
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('accepts requests with the fields of their type only', () => {
    const texts = ['id', 'text', 'name', 'args', 'value', 'shape'];
    const value = fc.oneof(...REQUESTS.map(mutated), oddValue);
    const property = fc.property(value, item => {
      if (!isRequest(item)) return;
      const valid = REQUESTS.find(
        req => (req as typeof item).type === item.type,
      );
      for (const name of Object.keys(valid as object)) {
        const found: unknown = (item as unknown as Record<string, unknown>)[
          name
        ];
        if (texts.includes(name)) assert.equal(typeof found, 'string', name);
      }
      if (item.type === 'stepDown') assert.ok(Number.isSafeInteger(item.term));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});

function isEncodable(value: unknown): boolean {
  try {
    encodeFrame(value);
    return true;
  } catch {
    // The encoder recurses into nested values.
    return false;
  }
}

/** Frames of these values, some of them changed, and some bytes of them too. */
function streamOf(
  first: unknown,
  values: readonly unknown[],
): fc.Arbitrary<readonly Buffer[]> {
  const value = fc.oneof(fc.constantFrom(...values), ...values.map(mutated));
  const stream = fc
    .array(value.filter(isEncodable), {maxLength: 6})
    .map(list =>
      Buffer.concat([first, ...list].map(item => encodeFrame(item))),
    );
  return inChunks(fc.oneof(stream, mutatedBytes(stream), anyBytes(100)));
}

function memoryOf(answerBytes: number) {
  const sharedBytes = Infinity;
  return answerMemory({
    sharedBytes,
    heldBytes: Infinity,
    shortBytes: 8,
    answerBytes,
  });
}

describe('a connection to a relay', () => {
  let opening: Buffer = Buffer.alloc(0);
  let chunks: readonly Buffer[] = [];
  let server: net.Server;
  before(async () => {
    server = net.createServer(socket => {
      socket.on('error', () => {});
      socket.setNoDelay(true);
      // The target is read first: a reset would hide what was sent.
      socket.once('data', () => {
        socket.write(opening);
        // The first request.
        socket.once('data', () => {
          for (const chunk of chunks) socket.write(chunk);
          socket.end();
        });
      });
    });
    await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  });
  after(() => server.close());

  const via = () => `${HOST}:${(server.address() as net.AddressInfo).port}`;

  it('gives whole answers or rejects, and keeps nothing afterwards', async () => {
    const memory = memoryOf(Infinity);
    const stream = streamOf({type: 'rows', rows: ['a']}, MESSAGES);
    opening = encodeFrame({type: 'open'});
    const property = fc.asyncProperty(stream, async list => {
      chunks = list;
      try {
        const connection = await connectViaRelay(
          via(),
          TARGET,
          TIMEOUT_MS,
          memory,
        );
        const answers = [
          connection.send({type: 'status'}).then(assertAnswer),
          connection.fetchObservation(TIMEOUT_MS).then(assertObservation),
        ];
        for (const item of await Promise.allSettled(answers)) {
          if (item.status === 'fulfilled') continue;
          const {reason} = item;
          assert.ok(reason instanceof ConnectionLostError, String(reason));
        }
        connection.dispose();
      } catch (err) {
        assert.ok(err instanceof ConnectionLostError, String(err));
      }
      assert.equal(memory.heldBytes, 0);
    });
    await fc.assert(property, {seed: SEED, numRuns: 100});
  });

  it('opens or is rejected in time, whatever the relay sends first', async () => {
    const memory = memoryOf(Infinity);
    const other = streamOf({type: 'stopping'}, MESSAGES.slice(1));
    const property = fc.asyncProperty(other, async list => {
      opening = Buffer.concat(list);
      chunks = [];
      const timeoutMs = 20;
      await connectViaRelay(via(), TARGET, timeoutMs, memory).then(
        connection => connection.dispose(),
        (err: unknown) => assert.ok(err instanceof ConnectionLostError),
      );
    });
    await fc.assert(property, {seed: SEED, numRuns: 30});
  });

  it('gives up an answer whose rows do not end, within the limit of an answer', async () => {
    const memory = memoryOf(50_000);
    const rows = encodeFrame({type: 'rows', rows: ['r'.repeat(1000)]});
    opening = encodeFrame({type: 'open'});
    chunks = Array(200).fill(rows);
    const outcome = await connectViaRelay(via(), TARGET, TIMEOUT_MS, memory)
      .then(connection => connection.send({type: 'status'}))
      .catch((err: unknown) => err);
    const isGivenUp =
      outcome instanceof ConnectionLostError ||
      (outcome as Answer).error?.code === ErrorCode.TooLarge;
    assert.ok(isGivenUp, String(outcome));
    assert.equal(memory.heldBytes, 0);
  });

  it('is rejected for an address that none can have', async () => {
    const address = fc.oneof(
      fc.string(),
      fc.constantFrom('h', 'h:', 'h:x', `${HOST}:0`, `${HOST}:99999`, ':1'),
    );
    const property = fc.asyncProperty(
      address.filter(text => !parseAddress(text)),
      async text => {
        const memory = memoryOf(Infinity);
        await assert.rejects(
          async () => connectViaRelay(text, TARGET, 50, memory),
          (err: unknown) => err instanceof ConnectionLostError,
        );
      },
    );
    await fc.assert(property, {seed: SEED, numRuns: 50});
  });
});

describe('a relay', () => {
  let relay: Relay;
  let received: unknown[] = [];
  before(async () => {
    relay = await startRelay({
      host: HOST,
      port: 0,
      idleTimeoutMs: TIMEOUT_MS,
      memory: memoryOf(Infinity),
      serve: ({endpoint}) =>
        endpoint === TARGET.endpoint
          ? {
              async send(req) {
                received.push(req);
                return localAnswer(SessionState.Idle);
              },
              observe: () => OBSERVATION,
              dispose() {},
            }
          : undefined,
      onEnd: (_, why) => assert.equal(typeof why, 'string'),
    });
  });
  after(() => relay.dispose());

  function send(chunks: readonly Buffer[]): Promise<number> {
    return new Promise(resolve => {
      let length = 0;
      const socket = net.connect({host: HOST, port: relay.port});
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('data', chunk => (length += chunk.length));
      socket.on('close', () => resolve(length));
      for (const chunk of chunks) socket.write(chunk);
      socket.end();
    });
  }

  it('passes on valid requests only, and serves the next requester', async () => {
    const stream = streamOf(TARGET, [...REQUESTS, {type: 'sign'}]);
    const property = fc.asyncProperty(stream, async chunks => {
      received = [];
      await send(chunks);
      for (const req of received) assert.ok(isRequest(req));
      const before = received.length;
      await send([encodeFrame(TARGET), encodeFrame({type: 'status'})]);
      assert.equal(received.length, before + 1);
    });
    await fc.assert(property, {seed: SEED, numRuns: 100});
  });
});
