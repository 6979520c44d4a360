/**
 * A write with a request key. The key and the answer are kept in the callers'
 * own table, in the write's transaction, so that a write whose outcome is in
 * doubt can be sent again: either it is found done, or it runs for the first
 * time.
 */
import {messageOf} from '@quetzalreel/common';
import type {KindConfig} from '@quetzalreel/config';
import {
  SqlState,
  TransactionStatus,
  frameSplitter,
  query,
} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import {type Placed, findPlace, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import {type RequestContext, inDoubt} from './session-context.js';
import {acknowledge} from './write-request.js';

/** Table of the callers' schema with the columns `key`, unique, and `value`. */
export const REQUEST_TABLE = 'quetzalreel_request';

/** Largest answer that is kept with a key, in bytes. */
const MAX_KEPT_BYTES = 64 * 1024;
const IDLE = 'I'.charCodeAt(0);
const DATA_ROW_HEADER_BYTES = 11;

/** What became of one try. */
type Try =
  /** Done, now or earlier; the answer waits for a majority. */
  | {readonly type: 'done'; readonly answer: Buffer; readonly isFirst: boolean}
  /** An answer to pass on as it is; nothing was written. */
  | {readonly type: 'failed'; readonly answer: Buffer}
  /** Refused; nothing was written. */
  | {readonly type: 'refused'; readonly why: string}
  /** Proved not to have run. */
  | {readonly type: 'again'}
  /** COMMIT was sent and not answered. */
  | {readonly type: 'inDoubt'};

/** Serves a write that stands alone and names a key. */
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
    const placed = await findPlace(current, wanted);
    if (!placed) return;
    const outcome = await tryOnce(current, placed, request, key, deadline);
    const clean = outcome.type === 'done' || outcome.type === 'failed';
    const {commitPosition: committed} = placed.connection;
    giveBack(current, placed, clean);
    if (outcome.type === 'inDoubt') current = inDoubt(context);
    if (outcome.type === 'inDoubt' || outcome.type === 'again') continue;
    if (outcome.type === 'refused') {
      current.reply.fail(SqlState.NotRun, `not run: ${outcome.why}`);
    } else if (outcome.type === 'failed') {
      current.reply.answer(outcome.answer);
    } else {
      const position = outcome.isFirst
        ? committed
        : await positionOf(current, placed.grant.endpoint);
      const {answer} = outcome;
      const terms = {id: placed.id, rule: kind.ack, deadline};
      await acknowledge(current, terms, answer, position);
    }
    return;
  }
  current.reply.fail(SqlState.NotRun, 'not run: no endpoint took it in time');
}

/** A position that covers all that the endpoint holds now. */
async function positionOf(context: RequestContext, endpoint: string) {
  try {
    return (await context.group.statusOf(endpoint)).last;
  } catch {
    return 'unknown' as const;
  }
}

/** Runs the write and keeps its key, in one transaction. */
async function tryOnce(
  context: RequestContext,
  placed: Placed,
  request: CallerRequest,
  key: string,
  deadline: number,
): Promise<Try> {
  const {connection} = placed;
  const bound = {clock: context.clock, until: deadline};
  const guard = context.group.guard(placed.grant.term, connection);
  const run = (sql: string) => ask(connection, query(sql), 0, bound);
  let committing = false;
  try {
    const opened = await run(`BEGIN; ${insertOf(key)}`);
    if (isRepeat(opened)) return await firstAnswer(run, key);
    if (opened.error) return refusalOf(opened);
    const {bytes, hiddenFrames} = request;
    const answer = await ask(connection, bytes, hiddenFrames, bound);
    const kept = asIdle(answer.bytes);
    if (answer.error) return await rollBack(run, answer, kept);
    if (kept.length > MAX_KEPT_BYTES) return await tooLarge(run);
    committing = true;
    const ended = await run(`${updateOf(key, kept)}; COMMIT`);
    if (isRepeat(ended)) return await firstAnswer(run, key);
    if (ended.error) return await rollBack(run, ended, asIdle(ended.bytes));
    return {type: 'done', answer: kept, isFirst: true};
  } catch (err) {
    const why = messageOf(err);
    context.log.info({endpoint: connection.endpoint, why, committing}, 'keyed');
    return {type: committing ? 'inDoubt' : 'again'};
  } finally {
    guard.dispose();
  }
}

function insertOf(key: string): string {
  return `INSERT INTO ${REQUEST_TABLE} (key, value) VALUES (${literal(key)}, '')`;
}

function updateOf(key: string, answer: Buffer): string {
  const value = literal(answer.toString('base64'));
  return `UPDATE ${REQUEST_TABLE} SET value = ${value} WHERE key = ${literal(key)}`;
}

function literal(text: string): string {
  return `'${text.replace(/'/g, "''")}'`;
}

/** Another request with this key has committed. */
function isRepeat(answer: Answer): boolean {
  return answer.error?.code === SqlState.UniqueViolation;
}

function refusalOf({error}: Answer): Try {
  if (error!.code === SqlState.ReadOnly) return {type: 'again'};
  const why =
    `the request key can't be kept (${error!.message}). ` +
    `Create the table ${REQUEST_TABLE} (key text primary key, value text).`;
  return {type: 'refused', why};
}

type Run = (sql: string) => Promise<Answer>;

/** The answer that an earlier request with the key got. */
async function firstAnswer(run: Run, key: string): Promise<Try> {
  const where = `WHERE key = ${literal(key)}`;
  await run('ROLLBACK');
  const found = await run(`SELECT value FROM ${REQUEST_TABLE} ${where}`);
  const value = firstValue(found.bytes);
  if (value === undefined) return {type: 'again'};
  const answer = Buffer.from(value, 'base64');
  return {type: 'done', answer, isFirst: false};
}

function firstValue(answer: Buffer): string | undefined {
  for (const frame of frameSplitter(answer.length).push(answer)) {
    if (frame.type !== 'D') continue;
    return frame.bytes.toString('utf8', DATA_ROW_HEADER_BYTES);
  }
  return undefined;
}

/** Drops the transaction; the caller gets the error, or another try. */
async function rollBack(
  run: Run,
  {error, status}: Answer,
  answer: Buffer,
): Promise<Try> {
  if (status !== TransactionStatus.Idle) await run('ROLLBACK');
  if (error!.code === SqlState.ReadOnly) return {type: 'again'};
  return {type: 'failed', answer};
}

async function tooLarge(run: Run): Promise<Try> {
  await run('ROLLBACK');
  const why =
    `an answer over ${MAX_KEPT_BYTES} bytes can't be kept with a key. ` +
    'Return fewer rows.';
  return {type: 'refused', why};
}

/** The answer as it looks outside of a transaction. */
function asIdle(answer: Buffer): Buffer {
  const copy = Buffer.from(answer);
  copy[copy.length - 1] = IDLE;
  return copy;
}
