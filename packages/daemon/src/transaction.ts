/** Serves the requests of an open transaction, all on the same connection. */
import {type Disposable, messageOf} from '@quetzalreel/common';
import {AckRule, DEFAULT_WRITE_KIND} from '@quetzalreel/config';
import {StatementClass} from '@quetzalreel/statement';
import {
  SqlState,
  TransactionStatus,
  commandComplete,
  readyForQuery,
} from '@quetzalreel/wire';
import {type Answer, sendRequest} from './answer.js';
import {TIMES} from './defaults.js';
import {type PlacedConnection, releaseConnection} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';
import {
  ABORT_REASONS,
  type AbortReason,
  Phase,
  outcomeWithoutAnswer,
  actionFor,
} from './transaction-rules.js';
import {replyWhenAcknowledged} from './write-request.js';

/** A transaction pinned to its connection. */
export interface Transaction {
  /** Transaction status; `Idle` after the transaction has ended. */
  readonly status: TransactionStatus;
  /** Endpoint that it runs on. */
  readonly endpoint: string;
  /** Sends the answer to the request that opened the transaction. */
  sendOpeningAnswer(answer: Buffer): Promise<void>;
  /** Serves a request in the transaction. */
  serve(request: CallerRequest): Promise<void>;
  /** Rolls the transaction back; the caller's next request gets the error. */
  abort(why: AbortReason): void;
  /**
   * Ends the transaction without an answer, as after the caller disconnects.
   */
  abandon(): void;
}

/** Creates the transaction that was opened on the connection of `placed`. */
export function pinnedTransaction(
  context: RequestContext,
  placed: PlacedConnection,
  initialStatus: TransactionStatus,
): Transaction {
  const {clock, reply, group} = context;
  let phase: Phase = Phase.Running;
  let status = initialStatus;
  let abortReason: AbortReason = ABORT_REASONS.lost;
  let idleTimer: Disposable | undefined;
  let pendingAbort: AbortReason | undefined;
  let released = false;
  /** True while a request of the transaction waits for its answer. */
  let inFlight = false;

  const closeListener = placed.connection.onClose(() => {
    if (!inFlight) abortNow(ABORT_REASONS.lost);
  });

  const {endpoint} = placed.grant;
  const vacateListener = group.onEndpointLeaving(endpoint, () =>
    abort(ABORT_REASONS.leaving),
  );

  /** Rolls back now, or after the request in flight is answered. */
  function abort(reason: AbortReason): void {
    if (inFlight) pendingAbort = reason;
    else abortNow(reason);
  }

  /** Releases the endpoint and the connection on the first call only. */
  function releaseOnce(reusable: boolean): void {
    idleTimer?.dispose();
    if (released) return;
    released = true;
    closeListener.dispose();
    vacateListener.dispose();
    releaseConnection(context, placed, reusable);
  }

  function end(reusable: boolean): void {
    phase = Phase.Ended;
    status = TransactionStatus.Idle;
    releaseOnce(reusable);
  }

  function abortNow(reason: AbortReason): void {
    if (phase !== Phase.Running) return;
    phase = Phase.Aborted;
    status = TransactionStatus.Failed;
    abortReason = reason;
    releaseOnce(false);
  }

  function restartIdleTimer(): void {
    idleTimer?.dispose();
    if (phase !== Phase.Running) return;
    idleTimer = clock.after(TIMES.idleTransactionMs, () =>
      abortNow(ABORT_REASONS.idle),
    );
  }

  function replyRolledBack(): void {
    end(false);
    const done = [commandComplete('ROLLBACK'), readyForQuery(status)];
    reply.answer(Buffer.concat(done));
  }

  /** Sends the caller the outcome of a request that got no answer. */
  function handleMissingAnswer(
    request: CallerRequest,
    sent: boolean,
    err: unknown,
  ): void {
    const text = request.bytes.toString('latin1');
    const loss = outcomeWithoutAnswer(request.statement.class, text, sent);
    if (loss === 'rolledBackAsRequested') {
      replyRolledBack();
    } else if (loss === 'unknown') {
      end(false);
      const what = `outcome unknown: ${messageOf(err)}`;
      reply.fail(SqlState.OutcomeUnknown, what);
    } else {
      abortNow(ABORT_REASONS.lost);
      // After a failed COMMIT the caller has no open transaction either.
      if (request.statement.class === StatementClass.Commit) end(false);
      reply.fail(abortReason.code, abortReason.message);
    }
  }

  /**
   * Sends an answer that leaves a transaction open. If the request also
   * committed, for example by COMMIT followed by BEGIN, the answer waits for a
   * majority.
   */
  async function replyInTransaction(answer: Buffer): Promise<void> {
    const {commitPosition: committed} = placed.connection;
    if (committed) {
      const deadline = clock.now() + DEFAULT_WRITE_KIND.deadlineMs;
      const result = await group.waitForAck(placed.id, committed, deadline);
      context.floor.raise(committed);
      if (result !== 'acknowledged') {
        abortNow(ABORT_REASONS.replaced);
        const what = 'outcome unknown: no majority held it in time';
        reply.fail(SqlState.OutcomeUnknown, what);
        return;
      }
    }
    reply.answer(answer);
    if (pendingAbort) abortNow(pendingAbort);
    else restartIdleTimer();
  }

  async function handleAnswer(answer: Answer): Promise<void> {
    const readOnly = answer.error?.code === SqlState.ReadOnly;
    if (answer.status !== TransactionStatus.Idle) {
      status = answer.status;
      if (!readOnly) {
        await replyInTransaction(answer.bytes);
        return;
      }
      abortNow(ABORT_REASONS.replaced);
      reply.fail(abortReason.code, abortReason.message);
      return;
    }
    const {commitPosition: committed} = placed.connection;
    end(true);
    if (readOnly) {
      const what = 'not run: the primary was replaced before the commit';
      reply.fail(SqlState.NotRun, what);
      return;
    }
    const deadline = clock.now() + DEFAULT_WRITE_KIND.deadlineMs;
    const ack = {id: placed.id, rule: AckRule.Majority, deadline};
    await replyWhenAcknowledged(context, ack, answer.bytes, committed);
  }

  async function send(request: CallerRequest): Promise<void> {
    const {bytes, answerFramesToDrop: hiddenFrames} = request;
    const sent = placed.connection.open;
    const until = clock.now() + DEFAULT_WRITE_KIND.deadlineMs;
    let answer: Answer;
    idleTimer?.dispose();
    inFlight = true;
    try {
      const bound = {clock, until};
      answer = await sendRequest(placed.connection, bytes, hiddenFrames, bound);
    } catch (err) {
      inFlight = false;
      handleMissingAnswer(request, sent, err);
      return;
    }
    inFlight = false;
    await handleAnswer(answer);
  }

  restartIdleTimer();
  return {
    get status() {
      return status;
    },
    endpoint,
    sendOpeningAnswer: replyInTransaction,
    async serve(request) {
      switch (actionFor(phase, request.statement.class)) {
        case 'send':
          await send(request);
          return;
        case 'confirmRollback':
          replyRolledBack();
          return;
        case 'refuseAndEnd':
          end(false);
          reply.fail(abortReason.code, abortReason.message);
          return;
        case 'refuse':
          reply.fail(abortReason.code, abortReason.message);
          return;
      }
    },
    abort,
    abandon() {
      if (phase === Phase.Running) end(false);
    },
  };
}
