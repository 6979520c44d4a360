/**
 * Serves a write with a request key (an idempotency key). The key and the
 * answer are stored in a table of the callers' schema, in the same transaction
 * as the write. A write whose outcome is unknown can therefore be sent again:
 * if its key is stored, the stored answer is returned; otherwise it has not run
 * and runs now.
 */
import {messageOf} from '@quetzalreel/common';
import type {KindConfig} from '@quetzalreel/config';
import {
  SqlState,
  TransactionStatus,
  frameSplitter,
  query,
} from '@quetzalreel/wire';
import {type Answer, sendRequest} from './answer.js';
import {
  type PlacedConnection,
  acquireConnection,
  releaseConnection,
} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import {type RequestContext, withUnknownOutcome} from './session-context.js';
import {replyWhenAcknowledged} from './write-request.js';

/** Table in the callers' schema with the columns `key` (unique) and `value`. */
export const REQUEST_TABLE = 'quetzalreel_request';

/** Largest answer that is stored with a key, in bytes. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024;
const IDLE_STATUS_BYTE = 'I'.charCodeAt(0);
/** Message type, length, number of columns, and length of the first column. */
const DATA_ROW_HEADER_BYTES = 11;

/** Result of one attempt. */
type AttemptResult =
  /**
   * Committed by this or an earlier request; the answer is sent after a
   * majority has the commit.
   */
  | {readonly type: 'done'; readonly answer: Buffer; readonly isFirst: boolean}
  /** The write failed and changed nothing; its answer is sent unchanged. */
  | {readonly type: 'failed'; readonly answer: Buffer}
  /** Refused by this proxy; nothing was written. */
  | {readonly type: 'refused'; readonly why: string}
  /** The write provably did not run and may be retried. */
  | {readonly type: 'retry'}
  /** COMMIT was sent and got no answer. */
  | {readonly type: 'inDoubt'};

/** Serves a write that has a request key and is outside of a transaction. */
export async function serveKeyedWrite(
  context: RequestContext,
  request: CallerRequest,
  kind: KindConfig,
  key: string,
): Promise<void> {
  const deadline = context.clock.now() + kind.deadlineMs;
  const bytes = request.bytes.length;
  const wanted = {needsPrimary: true, kind, deadline, bytes, avoid: []};
  let current = context;
  while (current.clock.now() < deadline) {
    const placed = await acquireConnection(current, wanted);
    if (!placed) return;
    const outcome = await attemptWrite(current, placed, request, key, deadline);
    const isReusable = outcome.type === 'done' || outcome.type === 'failed';
    const {commitPosition: committed} = placed.connection;
    releaseConnection(current, placed, isReusable);
    if (outcome.type === 'inDoubt') current = withUnknownOutcome(context);
    if (outcome.type === 'inDoubt' || outcome.type === 'retry') continue;
    if (outcome.type === 'refused') {
      current.reply.fail(SqlState.NotRun, `not run: ${outcome.why}`);
    } else if (outcome.type === 'failed') {
      current.reply.answer(outcome.answer);
    } else {
      const position = outcome.isFirst
        ? committed
        : await lastPositionOf(current, placed.grant.endpoint);
      const {answer} = outcome;
      const ack = {id: placed.id, rule: kind.ack, deadline};
      await replyWhenAcknowledged(current, ack, answer, position);
    }
    return;
  }
  current.reply.fail(SqlState.NotRun, 'not run: no endpoint took it in time');
}

/** Position of the last log record of the endpoint, or `unknown`. */
async function lastPositionOf(context: RequestContext, endpoint: string) {
  try {
    return (await context.group.statusOf(endpoint)).last;
  } catch {
    return 'unknown' as const;
  }
}

/** Runs the write and stores its key and answer, in one transaction. */
async function attemptWrite(
  context: RequestContext,
  placed: PlacedConnection,
  request: CallerRequest,
  key: string,
  deadline: number,
): Promise<AttemptResult> {
  const {connection} = placed;
  const bound = {clock: context.clock, until: deadline};
  const guard = context.group.closeWhenSuperseded(
    placed.grant.term,
    connection,
  );
  const run = (sql: string) => sendRequest(connection, query(sql), 0, bound);
  let committing = false;
  try {
    const opened = await run(`BEGIN; ${insertKeySql(key)}`);
    if (isDuplicateKey(opened)) return await readStoredAnswer(run, key);
    if (opened.error) return keyInsertFailure(opened);
    const {bytes, answerFramesToDrop: hiddenFrames} = request;
    const answer = await sendRequest(connection, bytes, hiddenFrames, bound);
    const storedAnswer = withIdleStatus(answer.bytes);
    if (answer.error) return await rollBack(run, answer, storedAnswer);
    if (storedAnswer.length > MAX_STORED_ANSWER_BYTES)
      return await tooLarge(run);
    committing = true;
    const ended = await run(`${storeAnswerSql(key, storedAnswer)}; COMMIT`);
    if (isDuplicateKey(ended)) return await readStoredAnswer(run, key);
    if (ended.error)
      return await rollBack(run, ended, withIdleStatus(ended.bytes));
    return {type: 'done', answer: storedAnswer, isFirst: true};
  } catch (err) {
    const why = messageOf(err);
    context.log.info({endpoint: connection.endpoint, why, committing}, 'keyed');
    return {type: committing ? 'inDoubt' : 'retry'};
  } finally {
    guard.dispose();
  }
}

function insertKeySql(key: string): string {
  return `INSERT INTO ${REQUEST_TABLE} (key, value) VALUES (${quoteLiteral(key)}, '')`;
}

function storeAnswerSql(key: string, answer: Buffer): string {
  const value = quoteLiteral(answer.toString('base64'));
  return `UPDATE ${REQUEST_TABLE} SET value = ${value} WHERE key = ${quoteLiteral(key)}`;
}

function quoteLiteral(text: string): string {
  return `'${text.replace(/'/g, "''")}'`;
}

/** Whether the key is already stored: a request with it has committed. */
function isDuplicateKey(answer: Answer): boolean {
  return answer.error?.code === SqlState.UniqueViolation;
}

function keyInsertFailure({error}: Answer): AttemptResult {
  if (error!.code === SqlState.ReadOnly) return {type: 'retry'};
  const why =
    `the request key can't be kept (${error!.message}). ` +
    `Create the table ${REQUEST_TABLE} (key text primary key, value text).`;
  return {type: 'refused', why};
}

type RunSql = (sql: string) => Promise<Answer>;

/** Reads the stored answer of the earlier request with this key. */
async function readStoredAnswer(
  run: RunSql,
  key: string,
): Promise<AttemptResult> {
  const where = `WHERE key = ${quoteLiteral(key)}`;
  await run('ROLLBACK');
  const found = await run(`SELECT value FROM ${REQUEST_TABLE} ${where}`);
  const value = firstColumn(found.bytes);
  if (value === undefined) return {type: 'retry'};
  const answer = Buffer.from(value, 'base64');
  return {type: 'done', answer, isFirst: false};
}

function firstColumn(answer: Buffer): string | undefined {
  for (const frame of frameSplitter(answer.length).push(answer)) {
    if (frame.type !== 'D') continue;
    return frame.bytes.toString('utf8', DATA_ROW_HEADER_BYTES);
  }
  return undefined;
}

/**
 * Rolls the transaction back. A read-only error allows a retry; any other error
 * is returned to the caller.
 */
async function rollBack(
  run: RunSql,
  {error, status}: Answer,
  answer: Buffer,
): Promise<AttemptResult> {
  if (status !== TransactionStatus.Idle) await run('ROLLBACK');
  if (error!.code === SqlState.ReadOnly) return {type: 'retry'};
  return {type: 'failed', answer};
}

async function tooLarge(run: RunSql): Promise<AttemptResult> {
  await run('ROLLBACK');
  const why =
    `an answer over ${MAX_STORED_ANSWER_BYTES} bytes can't be kept with a key. ` +
    'Return fewer rows.';
  return {type: 'refused', why};
}

/** A copy of the answer whose ReadyForQuery reports no open transaction. */
function withIdleStatus(answer: Buffer): Buffer {
  const copy = Buffer.from(answer);
  copy[copy.length - 1] = IDLE_STATUS_BYTE;
  return copy;
}
