/** Serves a write that stands alone, or the start of a transaction. */
import {messageOf} from '@quetzalreel/common';
import type {KindConfig} from '@quetzalreel/config';
import type {Position} from '@quetzalreel/position';
import {SqlState, TransactionStatus} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import {type Placed, findPlace, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';

/** A transaction that a request has opened. */
export interface OpenedTransaction {
  readonly placed: Placed;
  readonly status: TransactionStatus;
  /** The answer to the request that opened it, not sent yet. */
  readonly answer: Buffer;
}

/** Tries of a write that was proved not to have run. */
const MAX_TRIES = 4;

/**
 * Serves a write. It is sent once; only a proof that it did not run allows
 * another try. Returns the transaction that it opened, if it did.
 */
export async function serveWrite(
  context: RequestContext,
  request: CallerRequest,
  kind: KindConfig,
): Promise<OpenedTransaction | undefined> {
  const deadline = context.clock.now() + kind.deadlineMs;
  const bytes = request.bytes.length;
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const wanted = {needsPrimary: true, kind, deadline, bytes, avoid: []};
    const placed = await findPlace(context, wanted);
    if (!placed) return undefined;
    let answer: Answer;
    try {
      answer = await ask(
        placed.connection,
        request.bytes,
        request.hiddenFrames,
      );
    } catch (err) {
      giveBack(context, placed, false);
      const why = `outcome unknown: ${messageOf(err)}`;
      context.reply.fail(SqlState.OutcomeUnknown, why);
      return undefined;
    }
    if (answer.status !== TransactionStatus.Idle) {
      return {placed, status: answer.status, answer: answer.bytes};
    }
    const {committed} = placed.connection;
    giveBack(context, placed, true);
    if (answer.error?.code === SqlState.ReadOnly) continue;
    await acknowledge(context, placed.id, answer, committed, deadline);
    return undefined;
  }
  context.reply.fail(SqlState.NotRun, 'not run: no endpoint takes writes');
  return undefined;
}

/** Sends an answer once the commit that it reports is safe. */
export async function acknowledge(
  context: RequestContext,
  id: number,
  answer: Answer,
  committed: Position | undefined,
  deadline: number,
): Promise<void> {
  const {group, floor, reply} = context;
  if (!committed) {
    reply.answer(answer.bytes);
    return;
  }
  const result = await group.written(id, committed, deadline);
  floor.raise(committed);
  if (result === 'acknowledged') {
    reply.answer(answer.bytes);
    return;
  }
  const why = 'outcome unknown: no majority held it in time';
  reply.fail(SqlState.OutcomeUnknown, why);
}
