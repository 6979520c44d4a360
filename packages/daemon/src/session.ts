/** A caller's session: serves its requests sequentially. */
import {
  DEFAULT_READ_KIND,
  DEFAULT_WRITE_KIND,
  type KindConfig,
} from '@quetzalreel/config';
import {StatementClass} from '@quetzalreel/statement';
import {SqlState, TransactionStatus, readyForQuery} from '@quetzalreel/wire';
import {serveRead} from './read-request.js';
import type {CallerRequest} from './request-reader.js';
import {type SessionSettings, serveCommand} from './session-command.js';
import {
  type RequestContext,
  type SessionContext,
  sessionFloor,
  socketReply,
} from './session-context.js';
import {type Transaction, pinnedTransaction} from './transaction.js';
import {serveWrite} from './write-request.js';

/** The session of one caller's connection. */
export interface CallerSession {
  /** Serves a request; resolves after its answer is written to the socket. */
  serve(request: CallerRequest): Promise<void>;
  /** True while a transaction is open. */
  readonly inTransaction: boolean;
  /** Ends an open transaction after the caller has disconnected. */
  close(): void;
}

/** Error for a request that is refused before anything runs. */
interface Refusal {
  readonly code: string;
  readonly message: string;
}

/** Creates a session with no open transaction and no floor. */
export function callerSession(session: SessionContext): CallerSession {
  const settings: SessionSettings = {kind: undefined};
  let transaction: Transaction | undefined;
  let endsWithFlush = false;
  let skippingToSync = false;
  let closed = false;
  const status = () => transaction?.status ?? TransactionStatus.Idle;
  const isOpen = () => status() !== TransactionStatus.Idle;
  const reply = socketReply(session.socket, {
    status,
    endsWithFlush: () => endsWithFlush,
    onErrorBeforeSync: () => {
      skippingToSync = true;
    },
  });
  const context: RequestContext = {
    ...session,
    floor: sessionFloor(session.group.name),
    reply,
    connectionReset: {needed: false},
  };

  /**
   * Discards requests up to the next Sync, as the protocol requires after an
   * error.
   */
  function skipUntilSync(request: CallerRequest): void {
    if (request.endsWithFlush || request.sql !== undefined) return;
    skippingToSync = false;
    session.socket.write(readyForQuery(status()));
  }

  async function serveOutsideTransaction(
    request: CallerRequest,
  ): Promise<void> {
    const kind = kindOf(session, settings, request);
    if ('code' in kind) {
      reply.fail(kind.code, kind.message);
      return;
    }
    const isRead = request.statement.class === StatementClass.Read;
    context.connectionReset.needed = request.statement.leavesState;
    const opened =
      isRead && kind.access === 'read'
        ? await serveRead(context, request, kind)
        : await serveWrite(context, request, kind);
    if (!opened) return;
    const {placed, status: initialStatus, answer} = opened;
    transaction = pinnedTransaction(context, placed, initialStatus);
    if (closed) transaction.abandon();
    else await transaction.sendOpeningAnswer(answer);
  }

  return {
    async serve(request) {
      if (skippingToSync) {
        skipUntilSync(request);
        return;
      }
      endsWithFlush = request.endsWithFlush;
      const refusal = refusalOf(request, isOpen());
      if (refusal) {
        reply.fail(refusal.code, refusal.message);
      } else if (request.statement.class === StatementClass.Session) {
        serveCommand(context, request, settings, status);
      } else if (transaction && isOpen()) {
        if (request.statement.leavesState)
          context.connectionReset.needed = true;
        await transaction.serve(request);
      } else await serveOutsideTransaction(request);
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

/** The error if the request is not allowed in the session's current state. */
function refusalOf(
  request: CallerRequest,
  inTransaction: boolean,
): Refusal | undefined {
  const {class: statementClass, verb} = request.statement;
  const code = SqlState.NotSupported;
  if (statementClass === StatementClass.Unsupported) {
    const message = `${verb} is not offered here; not run`;
    return {code, message};
  }
  if (inTransaction) return undefined;
  if (statementClass === StatementClass.Setting) {
    const message =
      `${verb} outside of a transaction would not last until the next ` +
      'request; not run. Use SET LOCAL inside of a transaction.';
    return {code, message};
  }
  const executes = request.endsWithFlush && request.steps.includes('execute');
  const commitsNothing =
    statementClass === StatementClass.Read ||
    statementClass === StatementClass.Begin;
  if (executes && !commitsNothing) {
    const message =
      'Flush after the Execute of a write would commit it early; not run. ' +
      'Send Sync, or open a transaction.';
    return {code, message};
  }
  return undefined;
}

/** The kind of a request, or the error if the named kind does not apply. */
function kindOf(
  session: SessionContext,
  settings: SessionSettings,
  request: CallerRequest,
): KindConfig | Refusal {
  const {kind: named, class: statementClass} = request.statement;
  const isRead = statementClass === StatementClass.Read;
  const defaultKind = isRead ? DEFAULT_READ_KIND : DEFAULT_WRITE_KIND;
  const {kinds} = session.configuration();
  if (named === undefined) {
    const chosen = kinds.find(item => item.name === settings.kind);
    return chosen?.access === defaultKind.access ? chosen : defaultKind;
  }
  const kind = kinds.find(item => item.name === named);
  const code = SqlState.NotRoutable;
  if (!kind) {
    const message = `no kind ${named} is configured; not run. Name one that is, or none.`;
    return {code, message};
  }
  if (kind.access === 'read' && !isRead) {
    const message =
      `kind ${named} only reads and the statement may write; not run. ` +
      'Name a kind with access "write".';
    return {code, message};
  }
  return kind;
}
