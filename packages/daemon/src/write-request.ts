/** Serves a write outside of a transaction, or the start of a transaction. */
import {messageOf} from '@quetzalreel/common';
import {AckRule, type KindConfig} from '@quetzalreel/config';
import type {Position} from '@quetzalreel/position';
import {StatementClass, splitStatements} from '@quetzalreel/statement';
import {SqlState, TransactionStatus} from '@quetzalreel/wire';
import {type Answer, sendRequest} from './answer.js';
import {serveKeyedWrite} from './keyed-write.js';
import {
  type PlacedConnection,
  acquireConnection,
  releaseConnection,
} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import {type RequestContext, withUnknownOutcome} from './session-context.js';

/** A transaction opened by a request. */
export interface OpenedTransaction {
  readonly placed: PlacedConnection;
  readonly status: TransactionStatus;
  /** Answer to the request that opened it; not sent to the caller yet. */
  readonly answer: Buffer;
}

/**
 * Serves a write. The write is sent once; it is retried only if it provably
 * changed nothing or its kind is idempotent. Returns the transaction that the
 * request opened, if any.
 */
export async function serveWrite(
  context: RequestContext,
  request: CallerRequest,
  kind: KindConfig,
): Promise<OpenedTransaction | undefined> {
  const {clock, group, reply} = context;
  const {key, class: statementClass} = request.statement;
  if (key !== undefined && statementClass === StatementClass.Write) {
    await serveKeyedWrite(context, request, kind, key);
    return undefined;
  }
  const deadline = clock.now() + kind.deadlineMs;
  const bytes = request.bytes.length;
  let current = context;
  do {
    const wanted = {needsPrimary: true, kind, deadline, bytes, avoid: []};
    const placed = await acquireConnection(current, wanted);
    if (!placed) return undefined;
    const {connection, grant} = placed;
    if (!connection.open) {
      // The connection closed before any byte was sent.
      releaseConnection(context, placed, false);
      continue;
    }
    const sentAt = clock.now();
    const guard = group.closeWhenSuperseded(grant.term, connection);
    let answer: Answer;
    try {
      const bound = {clock, until: deadline};
      answer = await sendRequest(
        connection,
        request.bytes,
        request.answerFramesToDrop,
        bound,
      );
    } catch (err) {
      releaseConnection(context, placed, false);
      if (isBareBegin(request)) continue;
      if (kind.idempotent) {
        current = withUnknownOutcome(context);
        continue;
      }
      const why = `outcome unknown: ${messageOf(err)}`;
      reply.fail(SqlState.OutcomeUnknown, why);
      return undefined;
    } finally {
      guard.dispose();
    }
    if (answer.status !== TransactionStatus.Idle) {
      return {placed, status: answer.status, answer: answer.bytes};
    }
    const {commitPosition: committed} = connection;
    releaseConnection(context, placed, true, clock.now() - sentAt);
    if (answer.error?.code === SqlState.ReadOnly && !committed) {
      group.reportReadOnly(grant.endpoint, sentAt);
      continue;
    }
    const ack = {id: placed.id, rule: kind.ack, deadline};
    await replyWhenAcknowledged(current, ack, answer.bytes, committed);
    return undefined;
  } while (clock.now() < deadline);
  current.reply.fail(SqlState.NotRun, 'not run: no endpoint takes writes');
  return undefined;
}

/** Whether a request consists of a single BEGIN statement. */
function isBareBegin({sql, statement}: CallerRequest): boolean {
  if (sql === undefined || statement.class !== StatementClass.Begin) {
    return false;
  }
  return splitStatements(sql).length === 1;
}

/** How long and for what a committed write waits before its answer is sent. */
export interface AckOptions {
  /** Identifier of the request in its group. */
  readonly id: number;
  readonly rule: AckRule;
  /** End of the wait for a majority, in monotonic milliseconds. */
  readonly deadline: number;
}

/**
 * Sends `answer` once the commit at `position` meets the acknowledgement rule,
 * or at once when nothing was committed. Sends "outcome unknown" when the rule
 * is not met by the deadline or the position is unknown.
 */
export async function replyWhenAcknowledged(
  context: RequestContext,
  ack: AckOptions,
  answer: Buffer,
  position: Position | 'unknown' | undefined,
): Promise<void> {
  const {reply} = context;
  const isDurable = !position || (await isAcknowledged(context, ack, position));
  if (isDurable) {
    reply.answer(answer);
    return;
  }
  const why = 'outcome unknown: no majority held it in time';
  reply.fail(SqlState.OutcomeUnknown, why);
}

async function isAcknowledged(
  {group, floor}: RequestContext,
  {id, rule, deadline}: AckOptions,
  position: Position | 'unknown',
): Promise<boolean> {
  if (position === 'unknown') return false;
  if (rule === AckRule.Primary) {
    floor.raise(position);
    return true;
  }
  const result = await group.waitForAck(id, position, deadline);
  floor.raise(position);
  return result === 'acknowledged';
}
