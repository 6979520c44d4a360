/** Serves the requests of an open transaction, all on one connection. */
import {type Disposable, messageOf} from '@quetzalreel/common';
import {AckRule, DEFAULT_WRITE_KIND} from '@quetzalreel/config';
import {StatementClass} from '@quetzalreel/statement';
import {
  SqlState,
  TransactionStatus,
  commandComplete,
  readyForQuery,
} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import {TIMES} from './defaults.js';
import {type Placed, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';
import {
  CUT_OFF,
  type CutOff,
  Phase,
  lossOf,
  moveFor,
} from './transaction-rules.js';
import {acknowledge} from './write-request.js';

/** A transaction pinned to its connection. */
export interface Transaction {
  /** How it stands; idle once it has ended. */
  readonly status: TransactionStatus;
  /** Endpoint that carries it. */
  readonly endpoint: string;
  /** Sends the answer to the request that opened it. */
  opened(answer: Buffer): Promise<void>;
  /** Serves a request inside it. */
  serve(request: CallerRequest): Promise<void>;
  /** Rolls it back; the caller is told at its next request. */
  cutOff(why: CutOff): void;
  /** Ends it without an answer, as when the caller has left. */
  abandon(): void;
}

/** The transaction that was opened on `placed`. */
export function pinnedTransaction(
  context: RequestContext,
  placed: Placed,
  openedAs: TransactionStatus,
): Transaction {
  const {clock, reply, group} = context;
  let phase: Phase = Phase.Running;
  let status = openedAs;
  let why: CutOff = CUT_OFF.lost;
  let idle: Disposable | undefined;
  let cutLater: CutOff | undefined;
  let returned = false;
  /** True while a request of it has no answer yet. */
  let serving = false;

  const closed = placed.connection.onClose(() => {
    if (!serving) cut(CUT_OFF.lost);
  });

  const {endpoint} = placed.grant;
  const vacating = group.onVacate(endpoint, () => cutOff(CUT_OFF.leaving));

  /** Rolls back now, or after the answer that is due. */
  function cutOff(reason: CutOff): void {
    if (serving) cutLater = reason;
    else cut(reason);
  }

  /** Gives place and connection back, whoever asks first. */
  function giveBackOnce(reusable: boolean): void {
    idle?.dispose();
    if (returned) return;
    returned = true;
    closed.dispose();
    vacating.dispose();
    giveBack(context, placed, reusable);
  }

  function end(reusable: boolean): void {
    phase = Phase.Ended;
    status = TransactionStatus.Idle;
    giveBackOnce(reusable);
  }

  function cut(reason: CutOff): void {
    if (phase !== Phase.Running) return;
    phase = Phase.CutOff;
    status = TransactionStatus.Failed;
    why = reason;
    giveBackOnce(false);
  }

  function watchIdle(): void {
    idle?.dispose();
    if (phase !== Phase.Running) return;
    idle = clock.after(TIMES.idleTransactionMs, () => cut(CUT_OFF.idle));
  }

  function sayRolledBack(): void {
    end(false);
    const done = [commandComplete('ROLLBACK'), readyForQuery(status)];
    reply.answer(Buffer.concat(done));
  }

  /** Tells the caller what a missing answer means. */
  function lost(request: CallerRequest, sent: boolean, err: unknown): void {
    const text = request.bytes.toString('latin1');
    const loss = lossOf(request.statement.class, text, sent);
    if (loss === 'asWanted') {
      sayRolledBack();
    } else if (loss === 'unknown') {
      end(false);
      const what = `outcome unknown: ${messageOf(err)}`;
      reply.fail(SqlState.OutcomeUnknown, what);
    } else {
      cut(CUT_OFF.lost);
      // A refused COMMIT ends the transaction for its caller too.
      if (request.statement.class === StatementClass.Commit) end(false);
      reply.fail(why.code, why.message);
    }
  }

  /** A commit inside an answer that leaves a transaction open. */
  async function answerOpen(answer: Buffer): Promise<void> {
    const {commitPosition: committed} = placed.connection;
    if (committed) {
      const deadline = clock.now() + DEFAULT_WRITE_KIND.deadlineMs;
      const result = await group.written(placed.id, committed, deadline);
      context.floor.raise(committed);
      if (result !== 'acknowledged') {
        cut(CUT_OFF.replaced);
        const what = 'outcome unknown: no majority held it in time';
        reply.fail(SqlState.OutcomeUnknown, what);
        return;
      }
    }
    reply.answer(answer);
    if (cutLater) cut(cutLater);
    else watchIdle();
  }

  async function answered(answer: Answer): Promise<void> {
    const readOnly = answer.error?.code === SqlState.ReadOnly;
    if (answer.status !== TransactionStatus.Idle) {
      status = answer.status;
      if (!readOnly) {
        await answerOpen(answer.bytes);
        return;
      }
      cut(CUT_OFF.replaced);
      reply.fail(why.code, why.message);
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
    const terms = {id: placed.id, rule: AckRule.Majority, deadline};
    await acknowledge(context, terms, answer.bytes, committed);
  }

  async function send(request: CallerRequest): Promise<void> {
    const {bytes, hiddenFrames} = request;
    const sent = placed.connection.open;
    const until = clock.now() + DEFAULT_WRITE_KIND.deadlineMs;
    let answer: Answer;
    idle?.dispose();
    serving = true;
    try {
      const bound = {clock, until};
      answer = await ask(placed.connection, bytes, hiddenFrames, bound);
    } catch (err) {
      serving = false;
      lost(request, sent, err);
      return;
    }
    serving = false;
    await answered(answer);
  }

  watchIdle();
  return {
    get status() {
      return status;
    },
    endpoint,
    opened: answerOpen,
    async serve(request) {
      switch (moveFor(phase, request.statement.class)) {
        case 'send':
          await send(request);
          return;
        case 'rolledBack':
          sayRolledBack();
          return;
        case 'refuseAndEnd':
          end(false);
          reply.fail(why.code, why.message);
          return;
        case 'refuse':
          reply.fail(why.code, why.message);
          return;
      }
    },
    cutOff,
    abandon() {
      if (phase === Phase.Running) end(false);
    },
  };
}
