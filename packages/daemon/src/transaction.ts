/** Serves the requests of an open transaction, all on one connection. */
import {messageOf} from '@quetzalreel/common';
import {DEFAULT_WRITE} from '@quetzalreel/config';
import {StatementClass} from '@quetzalreel/statement';
import {SqlState, TransactionStatus} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import {type Placed, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';
import {acknowledge} from './write-request.js';

/** A transaction pinned to its connection. */
export interface Transaction {
  /** How it stands; idle once it has ended. */
  readonly status: TransactionStatus;
  /** Serves a request inside it. */
  serve(request: CallerRequest): Promise<void>;
  /** Ends it without an answer, as when the caller has left. */
  abandon(): void;
}

/** The transaction that was opened on `placed`. */
export function pinnedTransaction(
  context: RequestContext,
  placed: Placed,
  opened: TransactionStatus,
): Transaction {
  let status = opened;

  function cutOff(request: CallerRequest, err: unknown): void {
    status = TransactionStatus.Idle;
    giveBack(context, placed, false);
    const commits = request.statement.class === StatementClass.Commit;
    const code = commits
      ? SqlState.OutcomeUnknown
      : SqlState.TransactionRollback;
    context.reply.fail(code, `the transaction was cut off: ${messageOf(err)}`);
  }

  return {
    get status() {
      return status;
    },
    async serve(request) {
      let answer: Answer;
      try {
        const {bytes, hiddenFrames} = request;
        answer = await ask(placed.connection, bytes, hiddenFrames);
      } catch (err) {
        cutOff(request, err);
        return;
      }
      status = answer.status;
      if (status !== TransactionStatus.Idle) {
        context.reply.answer(answer.bytes);
        return;
      }
      const {committed} = placed.connection;
      giveBack(context, placed, true);
      const deadline = context.clock.now() + DEFAULT_WRITE.deadlineMs;
      await acknowledge(context, placed.id, answer, committed, deadline);
    },
    abandon() {
      if (status === TransactionStatus.Idle) return;
      status = TransactionStatus.Idle;
      giveBack(context, placed, false);
    },
  };
}
