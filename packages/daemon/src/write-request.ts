/** Serves a write that stands alone, or the start of a transaction. */
import {messageOf} from '@quetzalreel/common';
import {AckRule, type KindConfig} from '@quetzalreel/config';
import type {Position} from '@quetzalreel/position';
import {StatementClass, splitStatements} from '@quetzalreel/statement';
import {SqlState, TransactionStatus} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import {serveKeyedWrite} from './keyed-write.js';
import {type Placed, findPlace, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import {type RequestContext, inDoubt} from './session-context.js';

/** A transaction that a request has opened. */
export interface OpenedTransaction {
  readonly placed: Placed;
  readonly status: TransactionStatus;
  /** The answer to the request that opened it, not sent yet. */
  readonly answer: Buffer;
}

/**
 * Serves a write. It is sent once; only a proof that it changed nothing, or a
 * kind that is idempotent, allows another try. Returns the transaction that it opened, if it did.
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
    const placed = await findPlace(current, wanted);
    if (!placed) return undefined;
    const {connection, grant} = placed;
    if (!connection.open) {
      // It broke before a byte was sent.
      giveBack(context, placed, false);
      continue;
    }
    const sentAt = clock.now();
    const guard = group.guard(grant.term, connection);
    let answer: Answer;
    try {
      const bound = {clock, until: deadline};
      answer = await ask(
        connection,
        request.bytes,
        request.hiddenFrames,
        bound,
      );
    } catch (err) {
      giveBack(context, placed, false);
      if (onlyOpens(request)) continue;
      if (kind.idempotent) {
        current = inDoubt(context);
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
    giveBack(context, placed, true, clock.now() - sentAt);
    if (answer.error?.code === SqlState.ReadOnly && !committed) {
      group.readOnly(grant.endpoint, sentAt);
      continue;
    }
    const terms = {id: placed.id, rule: kind.ack, deadline};
    await acknowledge(current, terms, answer.bytes, committed);
    return undefined;
  } while (clock.now() < deadline);
  current.reply.fail(SqlState.NotRun, 'not run: no endpoint takes writes');
  return undefined;
}

/** Whether a request opens a transaction and does nothing in it. */
function onlyOpens({sql, statement}: CallerRequest): boolean {
  if (sql === undefined || statement.class !== StatementClass.Begin) {
    return false;
  }
  return splitStatements(sql).length === 1;
}

/** How a committed write is acknowledged. */
export interface AckTerms {
  /** Identity of the request in its group. */
  readonly id: number;
  readonly rule: AckRule;
  /** When waiting for a majority is given up, monotonic milliseconds. */
  readonly deadline: number;
}

/**
 * Sends `answer` once the commit at `position` is as safe as the terms ask; at
 * once when there is none, and "outcome unknown" when the position itself is
 * unknown.
 */
export async function acknowledge(
  context: RequestContext,
  terms: AckTerms,
  answer: Buffer,
  position: Position | 'unknown' | undefined,
): Promise<void> {
  const {reply} = context;
  const isSafe = !position || (await isHeld(context, terms, position));
  if (isSafe) {
    reply.answer(answer);
    return;
  }
  const why = 'outcome unknown: no majority held it in time';
  reply.fail(SqlState.OutcomeUnknown, why);
}

async function isHeld(
  {group, floor}: RequestContext,
  {id, rule, deadline}: AckTerms,
  position: Position | 'unknown',
): Promise<boolean> {
  if (position === 'unknown') return false;
  if (rule === AckRule.Primary) {
    floor.raise(position);
    return true;
  }
  const result = await group.written(id, position, deadline);
  floor.raise(position);
  return result === 'acknowledged';
}
