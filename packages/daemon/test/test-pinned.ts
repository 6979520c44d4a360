import assert from 'node:assert/strict';
import {test} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {type ResponseSink, EndpointConnection} from '@quetzalreel/endpoint';
import {EMPTY_LOG_POSITION} from '@quetzalreel/position';
import {classify} from '@quetzalreel/statement';
import {TransactionStatus, query, readyForQuery} from '@quetzalreel/wire';
import {TIMES} from '../src/defaults.js';
import type {RequestContext} from '../src/session-context.js';
import {ABORT_REASONS} from '../src/transaction-rules.js';
import {pinnedTransaction} from '../src/transaction.js';

class FakeConnection extends EndpointConnection {
  readonly endpoint = 'a';
  readonly heardAt = 0;
  readonly commitPosition = undefined;
  open = true;
  idle = true;
  sink: ResponseSink | undefined;
  readonly sent: Buffer[] = [];

  send(request: Buffer, sink: ResponseSink): void {
    this.sent.push(request);
    this.sink = sink;
  }

  answer(status: TransactionStatus): void {
    this.sink!.frame({type: 'Z', bytes: readyForQuery(status)});
  }

  onClose() {
    return {dispose() {}};
  }

  dispose(): void {
    this.open = false;
  }
}

function opened() {
  const clock = manualClock();
  const connection = new FakeConnection();
  const codes: string[] = [];
  const given: boolean[] = [];
  let releases = 0;
  const connectionReset = {needed: false};
  const context = {
    clock,
    connectionReset,
    reply: {answer() {}, fail: (code: string) => codes.push(code)},
    group: {
      release: () => releases++,
      onEndpointLeaving: () => ({dispose() {}}),
      returnConnection: (_: unknown, reusable: boolean) => given.push(reusable),
    },
  } as unknown as RequestContext;
  const grant = {
    endpoint: 'a',
    role: 'primary',
    term: 1,
    floor: EMPTY_LOG_POSITION,
    position: EMPTY_LOG_POSITION,
    reason: 'write',
  } as const;
  const placed = {grant, id: 1, connection};
  const transaction = pinnedTransaction(context, placed, 'T');
  const serve = (sql: string) =>
    transaction.serve({
      bytes: query(sql),
      statement: classify(sql),
      sql,
      answerFramesToDrop: 0,
      endsWithFlush: false,
      steps: ['query'],
    });
  const releaseCount = () => releases;
  return {
    clock,
    connection,
    transaction,
    connectionReset,
    serve,
    codes,
    given,
    releaseCount,
  };
}

test('an idle transaction is ended and its connection not reused', async () => {
  const {clock, connection, transaction, serve, codes, given} = opened();
  clock.advance(TIMES.idleTransactionMs - 1);
  assert.equal(transaction.status, 'T');
  clock.advance(1);
  assert.equal(transaction.status, 'E');
  assert.deepEqual(given, [false]);
  await serve('SELECT 1');
  await serve('COMMIT');
  assert.deepEqual(codes, ['25P03', '25P03']);
  assert.equal(transaction.status, 'I');
  assert.equal(connection.sent.length, 0);
});

test('a statement that runs is not idleness', async () => {
  const {clock, connection, transaction, serve} = opened();
  const serving = serve('SELECT 1');
  clock.advance(TIMES.idleTransactionMs - 1);
  connection.answer(TransactionStatus.Open);
  await serving;
  clock.advance(TIMES.idleTransactionMs - 1);
  assert.equal(transaction.status, 'T');
});

test('a silent COMMIT is given up with an unknown outcome', async () => {
  const {clock, connection, serve, codes} = opened();
  const serving = serve('COMMIT');
  clock.advance(10_000);
  await serving;
  assert.deepEqual(codes, ['QR002']);
  assert.equal(connection.open, false);
});

test('a transaction cut off while it runs answers first', async () => {
  const {connection, transaction, serve, codes, given} = opened();
  const serving = serve('SELECT 1');
  transaction.abort(ABORT_REASONS.leaving);
  assert.deepEqual(given, []);
  connection.answer(TransactionStatus.Open);
  await serving;
  assert.deepEqual(codes, []);
  await serve('SELECT 1');
  assert.deepEqual(codes, ['40000']);
});

test('place and connection are given back once', async () => {
  const {connection, transaction, serve, given, releaseCount} = opened();
  const serving = serve('SELECT 1');
  transaction.abandon();
  connection.sink!.broken(new Error('gone') as never);
  await serving;
  assert.deepEqual(given, [false]);
  assert.equal(releaseCount(), 1);
});

test('a session that left state has its connection reset', () => {
  const {connection, transaction, connectionReset, given} = opened();
  connectionReset.needed = true;
  transaction.abandon();
  assert.deepEqual(given, [false]);
  assert.equal(connection.needsReset, true);
});
