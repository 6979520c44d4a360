/** One caller's session: serves its requests one by one. */
import {
  DEFAULT_READ,
  DEFAULT_WRITE,
  type KindConfig,
} from '@quetzalreel/config';
import {StatementClass} from '@quetzalreel/statement';
import {SqlState, TransactionStatus} from '@quetzalreel/wire';
import {serveRead} from './read-request.js';
import type {CallerRequest} from './request-reader.js';
import {
  type RequestContext,
  type SessionContext,
  floorKeeper,
  replyOn,
} from './session-context.js';
import {type Transaction, pinnedTransaction} from './transaction.js';
import {serveWrite} from './write-request.js';

/** A caller's session. */
export interface CallerSession {
  /** Serves a request; resolves when its answer is written. */
  serve(request: CallerRequest): Promise<void>;
  /** True while a transaction is open. */
  readonly inTransaction: boolean;
  /** Ends what the caller left open. */
  close(): void;
}

/** A session without a transaction and without a floor. */
export function callerSession(session: SessionContext): CallerSession {
  let transaction: Transaction | undefined;
  let closed = false;
  const status = () => transaction?.status ?? TransactionStatus.Idle;
  const isOpen = () => status() !== TransactionStatus.Idle;
  const context: RequestContext = {
    ...session,
    floor: floorKeeper(),
    reply: replyOn(session.socket, status),
  };

  function kindOf(request: CallerRequest): KindConfig | undefined {
    const {kind, class: statementClass} = request.statement;
    if (kind === undefined) {
      const isRead = statementClass === StatementClass.Read;
      return isRead ? DEFAULT_READ : DEFAULT_WRITE;
    }
    return session.configuration().kinds.find(item => item.name === kind);
  }

  async function serveAlone(request: CallerRequest): Promise<void> {
    const kind = kindOf(request);
    if (!kind) {
      const name = request.statement.kind;
      const why = `no kind ${name} is configured; not run`;
      context.reply.fail(SqlState.NotRoutable, why);
      return;
    }
    if (request.statement.class === StatementClass.Read) {
      await serveRead(context, request, kind);
      return;
    }
    const opened = await serveWrite(context, request, kind);
    if (!opened) return;
    const {placed, status: openedAs, answer} = opened;
    transaction = pinnedTransaction(context, placed, openedAs);
    if (closed) transaction.abandon();
    else await transaction.opened(answer);
  }

  return {
    async serve(request) {
      const {class: statementClass, verb} = request.statement;
      if (statementClass === StatementClass.Unsupported) {
        const why = `${verb} is not offered here; not run`;
        context.reply.fail(SqlState.NotSupported, why);
        return;
      }
      if (transaction && isOpen()) await transaction.serve(request);
      else await serveAlone(request);
    },
    get inTransaction() {
      return isOpen();
    },
    close() {
      closed = true;
      transaction?.abandon();
    },
  };
}
