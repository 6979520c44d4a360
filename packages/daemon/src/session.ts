/** One caller's session: serves its requests one by one. */
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

/** Why a request is refused before anything runs. */
interface Refusal {
  readonly code: string;
  readonly message: string;
}

/** A session without a transaction and without a floor. */
export function callerSession(session: SessionContext): CallerSession {
  const settings: SessionSettings = {kind: undefined};
  let transaction: Transaction | undefined;
  let partial = false;
  let skipping = false;
  let closed = false;
  const status = () => transaction?.status ?? TransactionStatus.Idle;
  const isOpen = () => status() !== TransactionStatus.Idle;
  const reply = replyOn(session.socket, {
    status,
    isPartial: () => partial,
    onPartialError: () => {
      skipping = true;
    },
  });
  const context: RequestContext = {
    ...session,
    floor: floorKeeper(session.group.name),
    reply,
    residue: {left: false},
  };

  /** After an error and a Flush, everything up to the next Sync is skipped. */
  function skip(request: CallerRequest): void {
    if (request.partial || request.sql !== undefined) return;
    skipping = false;
    session.socket.write(readyForQuery(status()));
  }

  async function serveAlone(request: CallerRequest): Promise<void> {
    const kind = kindOf(session, settings, request);
    if ('code' in kind) {
      reply.fail(kind.code, kind.message);
      return;
    }
    const isRead = request.statement.class === StatementClass.Read;
    context.residue.left = request.statement.leavesState;
    const opened =
      isRead && kind.access === 'read'
        ? await serveRead(context, request, kind)
        : await serveWrite(context, request, kind);
    if (!opened) return;
    const {placed, status: openedAs, answer} = opened;
    transaction = pinnedTransaction(context, placed, openedAs);
    if (closed) transaction.abandon();
    else await transaction.opened(answer);
  }

  return {
    async serve(request) {
      if (skipping) {
        skip(request);
        return;
      }
      partial = request.partial;
      const refusal = refusalOf(request, isOpen());
      if (refusal) {
        reply.fail(refusal.code, refusal.message);
      } else if (request.statement.class === StatementClass.Session) {
        serveCommand(context, request, settings, status);
      } else if (transaction && isOpen()) {
        if (request.statement.leavesState) context.residue.left = true;
        await transaction.serve(request);
      } else await serveAlone(request);
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

/** Why a request can't be served in this place. */
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
  const runs = request.partial && request.steps.includes('execute');
  const isHarmless =
    statementClass === StatementClass.Read ||
    statementClass === StatementClass.Begin;
  if (runs && !isHarmless) {
    const message =
      'Flush after the Execute of a write would commit it early; not run. ' +
      'Send Sync, or open a transaction.';
    return {code, message};
  }
  return undefined;
}

/** The kind of a request, or why it has none. */
function kindOf(
  session: SessionContext,
  settings: SessionSettings,
  request: CallerRequest,
): KindConfig | Refusal {
  const {kind: named, class: statementClass} = request.statement;
  const isRead = statementClass === StatementClass.Read;
  const standard = isRead ? DEFAULT_READ_KIND : DEFAULT_WRITE_KIND;
  const {kinds} = session.configuration();
  if (named === undefined) {
    const chosen = kinds.find(item => item.name === settings.kind);
    return chosen?.access === standard.access ? chosen : standard;
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
