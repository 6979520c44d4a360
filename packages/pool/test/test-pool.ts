import assert from 'node:assert/strict';
import {test} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {
  type ResponseSink,
  EndpointConnection,
  type EndpointControl,
  EndpointDownError,
  EndpointDriver,
} from '@quetzalreel/endpoint';
import {TransactionStatus, readyForQuery} from '@quetzalreel/wire';
import {type PoolTimes, connectionPool} from '../src/index.js';

const TIMES: PoolTimes = {
  maxAgeForWriteMs: 200,
  idleCheckAfterMs: 1000,
  checkTimeoutMs: 250,
  maxWaitMs: 500,
  initialRetryDelayMs: 20,
  maxRetryDelayMs: 1000,
  tickMs: 20,
};

class FakeConnection extends EndpointConnection {
  readonly endpoint = 'a';
  readonly commitPosition = undefined;
  readonly heardAt = 0;
  open = true;
  idle = true;
  isSilent = false;
  readonly sent: string[] = [];

  send(request: Buffer, sink: ResponseSink): void {
    this.sent.push(String.fromCharCode(request[0]!));
    if (this.isSilent) return;
    const bytes = readyForQuery(TransactionStatus.Idle);
    sink.frame({type: 'Z', bytes});
  }

  onClose() {
    return {dispose() {}};
  }

  dispose(): void {
    this.open = false;
  }
}

class FakeDriver extends EndpointDriver {
  readonly endpoint = 'a';
  readonly opened: FakeConnection[] = [];
  attempts = 0;

  constructor(public refusals: number) {
    super();
  }

  control(): EndpointControl {
    throw new Error('not used');
  }

  async connect(): Promise<EndpointConnection> {
    this.attempts++;
    if (this.refusals > 0) {
      this.refusals--;
      const cause = Object.assign(new Error('full'), {code: '53300'});
      throw new EndpointDownError('a', 'login failed', cause);
    }
    const connection = new FakeConnection();
    this.opened.push(connection);
    return connection;
  }
}

const nextTurn = () => new Promise(resolve => setImmediate(resolve));

async function advance(clock: ReturnType<typeof manualClock>, ms: number) {
  for (let i = 0; i < ms; i += TIMES.tickMs) {
    clock.advance(TIMES.tickMs);
    await nextTurn();
  }
}

test('acquire retries with backoff while the endpoint has no free connections', async () => {
  const clock = manualClock();
  const driver = new FakeDriver(4);
  const pool = connectionPool(driver, clock, TIMES, 1);
  const acquired = pool.acquire(true, 5000);
  await nextTurn();
  await advance(clock, 400);
  assert.ok(await acquired);
  assert.equal(driver.attempts, 5);
  pool.dispose();
});

test('acquire fails within maxWaitMs and reports the cause when no connection opens', async () => {
  const clock = manualClock();
  const pool = connectionPool(new FakeDriver(100), clock, TIMES, 1);
  const rejected = assert.rejects(
    pool.acquire(true, 5000),
    (err: Error) =>
      err instanceof EndpointDownError && /full/.test(err.message),
  );
  await nextTurn();
  await advance(clock, TIMES.maxWaitMs);
  await rejected;
  pool.dispose();
});

test('a connection that misses a check is replaced before a write uses it', async () => {
  const clock = manualClock();
  const driver = new FakeDriver(0);
  const pool = connectionPool(driver, clock, TIMES, 1);
  await nextTurn();
  await advance(clock, 400);
  driver.opened[0]!.isSilent = true;
  const acquired = pool.acquire(true, 5000);
  await advance(clock, 400);
  assert.equal(await acquired, driver.opened[1]);
  assert.equal(driver.opened[0]!.open, false);
  assert.deepEqual(driver.opened[0]!.sent, ['S']);
  pool.dispose();
});

test('session state of a request is discarded before the next request', async () => {
  const clock = manualClock();
  const driver = new FakeDriver(0);
  const pool = connectionPool(driver, clock, TIMES, 1);
  const first = await pool.acquire(true, 5000);
  first.needsReset = true;
  pool.release(first, true);
  assert.equal(await pool.acquire(true, 5000), first);
  assert.deepEqual(driver.opened[0]!.sent, ['Q']);
  assert.equal(first.needsReset, false);
  pool.dispose();
});

test('a connection returned inside a transaction is closed, not lent again', async () => {
  const clock = manualClock();
  const driver = new FakeDriver(0);
  const pool = connectionPool(driver, clock, TIMES, 1);
  const first = await pool.acquire(true, 5000);
  (first as FakeConnection).idle = false;
  pool.release(first, true);
  assert.equal(first.open, false);
  assert.notEqual(await pool.acquire(true, 5000), first);
  pool.dispose();
});
