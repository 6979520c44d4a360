/** One caller's session: serves its requests one at a time, in order. */
import {type Clock, messageOf} from '@quetzalreel/common';
import {
  Access,
  type Answer,
  type CallerConnection,
  type CallerHandler,
  type CallerRequest,
  ErrorCode,
  type OnLimit,
  type SessionLimits,
  SessionState,
  type Statement,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {ClientAccount} from './accounts.js';
import type {OperationQuotas} from './operation-quotas.js';
import type {GroupRuntime} from './group-types.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import {TIMES} from './defaults.js';
import type {Route} from './routes.js';
import {type ServeContext, newSessionData} from './session-context.js';
import {limitedSessionData} from './session-limits.js';
import {routeRefusal} from './session-refusal.js';
import type {SessionRight} from './session-right.js';
import {serveRead, serveWrite} from './single-statement.js';
import {type Transaction, callerTransaction} from './transaction.js';

/** Dependencies of a session. */
export interface SessionContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly database: string;
  readonly connection: CallerConnection;
  /** On whose behalf the session runs when it starts. */
  readonly account: ClientAccount;
  /** What the session may do by the configuration in force. */
  readonly right: () => SessionRight;
  /** Calls back once what callers had sent by now was read. */
  readonly afterPendingReads: (callback: () => void) => void;
  /** The route in force; undefined once the route has been removed. */
  readonly route: () => Route | undefined;
  readonly group: (name: string) => GroupRuntime | undefined;
  /** Decides whether the account may start another operation. */
  readonly admit: OperationQuotas['admit'];
  /** Maximum idle time of a transaction, in milliseconds. */
  readonly idleTransactionMs: () => number;
  readonly metrics: Metrics;
  /** Whether this instance is stopping. */
  readonly stopping: () => boolean;
  /** When this instance stops answering, in monotonic milliseconds. */
  readonly answerBy: () => number;
  readonly limits: SessionLimits;
  /** Called when a limit refuses a statement. */
  readonly onLimit: OnLimit;
  readonly onEnd: () => void;
}

/** A session. */
export interface CallerSession extends CallerHandler {
  readonly database: string;
  /** Name of the client account; '' for none. */
  readonly account: string;
  /**
   * Applies a new configuration: a session whose key was removed, or belongs to
   * another account now, ends after what it has under way, and one whose route was
   * dropped after its open transaction.
   */
  applyConfiguration(): void;
  /** Ends the session unless a request or a transaction is open. */
  endIfIdle(): void;
  /** Rolls back an idle transaction, with `why` as the caller's error text. */
  rollBackIfIdle(why: string): void;
  /** Rolls back a transaction that exceeds the idle time. */
  tick(): void;
}

/** Errors after whose answer the session is closed. */
const ENDING_CODES: ReadonlySet<ErrorCode | undefined> = new Set([
  ErrorCode.NoDatabase,
  ErrorCode.Unauthorized,
]);

/** Statements that start an operation outside of transactions. */
const STARTING_TYPES: ReadonlySet<Statement['type']> = new Set([
  'begin',
  'read',
  'write',
  'execute',
]);

/** Tells the caller why its session ends. */
const REVOKED = 'the key of this session was removed; nothing is kept';

function unauthorized(): Answer {
  return localError(ErrorCode.Unauthorized, REVOKED, SessionState.Idle);
}

/** Creates the session of a caller that was just accepted. */
export function callerSession(context: SessionContext): CallerSession {
  const {clock, log, connection} = context;
  const memory = newSessionData();
  const kept = limitedSessionData({
    data: memory,
    limits: context.limits,
    connection,
    onLimit: context.onLimit,
  });
  const queue: Array<{req: CallerRequest; arrivedAt: number}> = [];
  let transaction: Transaction | undefined;
  /** The route in force when the open transaction began; used until it ends. */
  let pinned: Route | undefined;
  let serving = false;
  let ended = false;
  let {account} = context;
  /** When the key was found to be removed, in monotonic milliseconds. */
  let revokedAt: number | undefined;
  /** Whether requests that were sent before the key was removed may be unread. */
  let hasPendingReads = false;

  function end(): void {
    if (ended) return;
    ended = true;
    transaction?.abandon();
    transaction = undefined;
    // A request in progress may hold on to the session.
    queue.splice(0);
    context.onEnd();
  }

  function stateNow(): SessionState {
    return transaction?.state ?? SessionState.Idle;
  }

  /**
   * Answers a statement that needs no endpoint; returns undefined for others.
   */
  function answerLocally(statement: Statement): Answer | undefined {
    const state = stateNow();
    if (state === SessionState.Failed) return undefined;
    switch (statement.type) {
      case 'set':
        return kept.set(statement.name, statement.value, state);
      case 'prepare': {
        const {name, access, shape} = statement;
        return kept.prepare(name, access, shape, state);
      }
      case 'close':
        return kept.close(statement.name, state);
      case 'execute':
        if (memory.prepared.has(statement.name)) return undefined;
        return localError(
          ErrorCode.NoStatement,
          'nothing is prepared under this name; prepare it first',
          state === SessionState.Open ? SessionState.Failed : state,
        );
      case 'invalid':
        return localError(ErrorCode.Malformed, statement.why, state);
      default:
        return undefined;
    }
  }

  function serveContext(arrivedAt: number): ServeContext | Answer {
    const route = pinned ?? context.route();
    const group = route && context.group(route.group);
    if (route && group) {
      const hasDisconnected = () => ended;
      return {
        clock,
        log,
        metrics: context.metrics,
        route,
        group,
        sessionData: memory,
        account,
        arrivedAt,
        answerBy: context.answerBy,
        hasDisconnected,
      };
    }
    const {code, text} = routeRefusal(context.database);
    return localError(code, text, SessionState.Idle);
  }

  async function serve(req: CallerRequest, arrivedAt: number): Promise<Answer> {
    const local = answerLocally(req.statement);
    if (local) {
      if (local.state === SessionState.Failed) transaction?.fail();
      return local;
    }
    if (isRevoked()) return unauthorized();
    const serving = serveContext(arrivedAt);
    if ('rows' in serving) return serving;
    if (transaction) return serveInTransaction(transaction, serving, req);
    return (await refuseOverQuota(req)) ?? serveAlone(serving, req);
  }

  /** The error answer for an operation beyond the account's quota. */
  async function refuseOverQuota(
    req: CallerRequest,
  ): Promise<Answer | undefined> {
    if (!STARTING_TYPES.has(req.statement.type)) return undefined;
    const admission = await context.admit(account);
    if (admission.type === 'admitted') return undefined;
    const {why, retryMs} = admission;
    const {name} = account;
    log.info({event: 'quotaRefused', id: req.id, account: name, why, retryMs});
    const text = `not run: ${why}; try again in ${Math.ceil(retryMs)} ms`;
    return localError(ErrorCode.Busy, text, SessionState.Idle);
  }

  async function serveInTransaction(
    current: Transaction,
    serving: ServeContext,
    req: CallerRequest,
  ): Promise<Answer> {
    if (req.statement.type === 'begin') {
      const text = 'a transaction is open already';
      return localError(ErrorCode.Malformed, text, current.state);
    }
    const answer = await current.serve(serving, req);
    if (current.state === SessionState.Idle) {
      transaction = undefined;
      pinned = undefined;
    }
    return answer;
  }

  async function serveAlone(
    serving: ServeContext,
    req: CallerRequest,
  ): Promise<Answer> {
    switch (req.statement.type) {
      case 'begin':
        transaction = callerTransaction(req.statement.readOnly, clock);
        pinned = serving.route;
        return localAnswer(SessionState.Open);
      case 'read':
        return serveRead(serving, req);
      case 'write':
        return serveWrite(serving, req);
      case 'execute': {
        const {access} = memory.prepared.get(req.statement.name)!;
        const run = access === Access.Read ? serveRead : serveWrite;
        return run(serving, req);
      }
      default: {
        const text = 'no transaction is open';
        return localError(ErrorCode.Malformed, text, SessionState.Idle);
      }
    }
  }

  async function serveAll(): Promise<void> {
    serving = true;
    while (queue.length > 0 && !ended) {
      const {req, arrivedAt} = queue[0]!;
      let answer: Answer;
      try {
        answer = await serve(req, arrivedAt);
      } catch (err) {
        log.error({event: 'requestFailed', id: req.id, why: messageOf(err)});
        connection.end();
        end();
        break;
      }
      const rule = (pinned ?? context.route())?.rule;
      if (rule)
        context.metrics.observeAnswer(rule, answer, clock.now() - arrivedAt);
      if (ended) break;
      const sending = connection.answer(answer);
      // Until then the session counts as busy.
      if (sending) await sending;
      queue.shift();
      if (ENDING_CODES.has(answer.error?.code)) closeSession();
      else endRevoked();
    }
    serving = false;
    if (context.stopping()) session.endIfIdle();
  }

  function closeSession(): void {
    connection.end();
    end();
  }

  /**
   * Ends a session whose key was removed, once nothing of it is under way, or an
   * open transaction has had its time. A request that is still unread gets an
   * answer first.
   */
  function endRevoked(): void {
    const isBusy = queue.length > 0 || hasPendingReads;
    if (isRevoked() && !ended && !isBusy) closeSession();
  }

  function noteRevoked(): void {
    if (revokedAt !== undefined) return;
    revokedAt = clock.now();
    log.info({
      event: 'sessionRevoked',
      database: context.database,
      account: account.name,
    });
    hasPendingReads = true;
    context.afterPendingReads(() => {
      hasPendingReads = false;
      endRevoked();
    });
  }

  function isRevoked(): boolean {
    if (revokedAt === undefined) return false;
    return (
      !transaction || clock.now() - revokedAt >= TIMES.revokedTransactionMs
    );
  }

  const session: CallerSession = {
    database: context.database,
    get account() {
      return account.name;
    },
    applyConfiguration() {
      const right = context.right();
      if (right.type === 'revoked') {
        noteRevoked();
        return;
      }
      ({account} = right);
      // A request that was sent before gets an answer first.
      if (right.type === 'routeDropped')
        context.afterPendingReads(session.endIfIdle);
    },
    request(req) {
      if (ended) return;
      queue.push({req, arrivedAt: clock.now()});
      if (!serving) void serveAll();
    },
    disconnected: end,
    endIfIdle() {
      if (ended || queue.length > 0 || transaction) return;
      closeSession();
    },
    rollBackIfIdle(why) {
      transaction?.rollBackIfIdle(why);
    },
    tick() {
      endRevoked();
      if (!transaction) return;
      const restedMs = clock.now() - transaction.idleSince;
      if (restedMs < context.idleTransactionMs()) return;
      transaction.rollBackIfIdle(
        'the transaction rested for too long; nothing is kept',
      );
    },
  };
  return session;
}
