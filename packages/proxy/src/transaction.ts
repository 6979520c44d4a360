/**
 * A caller's transaction on one connection. The transaction is opened at an
 * endpoint only with its first statement that needs one, so that the endpoint
 * can be chosen by the needs of that statement.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {
  type Answer,
  type CallerRequest,
  ErrorCode,
  SessionState,
  didNotRun,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';
import {RelayLostError, type RelayedConnection} from '@quetzalreel/relay';
import {LIMITS} from './defaults.js';
import type {ConnectionLease} from './group-types.js';
import {
  isUsableAsPrimary,
  openAndRun,
  openingRelay,
  rollBackAndRelease,
  openTransaction,
  runStatement,
  countInFlight,
} from './run-request.js';
import {
  NotRunReason,
  type ServeContext,
  forwardRequest,
  deadlineOf,
  noEndpointAvailable,
  acquireConnection,
  noteCommit,
  noteRefusal,
  originOf,
} from './session-context.js';
import {type TriedEndpoints, noneTried} from './tried-endpoints.js';

/** A transaction of a caller. */
export interface Transaction {
  /** Open or failed; idle once the transaction has ended. */
  readonly state: SessionState;
  /**
   * When its last request was answered, in monotonic milliseconds; Infinity
   * while a request is served.
   */
  readonly idleSince: number;
  /** Serves a statement, COMMIT or ROLLBACK. */
  serve(context: ServeContext, req: CallerRequest): Promise<Answer>;
  /**
   * Rolls the transaction back if it is idle; the caller gets the error with
   * its next request.
   */
  rollBackIfIdle(why: string): void;
  /**
   * Rolls the transaction back because a request of the caller failed in this
   * instance; the caller already got the error, and only COMMIT or ROLLBACK are
   * accepted now.
   */
  fail(): void;
  /** Rolls the transaction back because the caller has disconnected. */
  abandon(): void;
}

/** A transaction that was opened at an endpoint. */
interface Opened {
  /** Undefined if it was lost with its first statement. */
  readonly lease: ConnectionLease | undefined;
  /** The answer to the first statement; undefined if it was not sent yet. */
  readonly answer: Answer | undefined;
}

/** Creates the transaction of a caller that has sent BEGIN. */
export function callerTransaction(
  readOnly: boolean,
  clock: Clock,
): Transaction {
  let state: SessionState = SessionState.Open;
  let lease: ConnectionLease | undefined;
  let wrote = false;
  let cutReason: string | undefined;
  let restsSince = clock.now();
  let serving = false;
  let abandoned = false;
  /** Set while the transaction is open at an endpoint as the primary. */
  let endPrimaryWork: (() => void) | undefined;

  function forgetLease(): void {
    lease = undefined;
    endPrimaryWork?.();
    endPrimaryWork = undefined;
  }

  function release(reusable: boolean): void {
    lease?.release(reusable);
    forgetLease();
  }

  function rollBack(): void {
    if (lease) rollBackAndRelease(clock, lease);
    forgetLease();
  }

  function failWith(code: ErrorCode, text: string): Answer {
    state = SessionState.Failed;
    return localError(code, text, state);
  }

  function endWith(answer: Answer): Answer {
    state = SessionState.Idle;
    return {...answer, state};
  }

  /**
   * Opens the transaction at an endpoint for the request, which relays run at the
   * same time; undefined when none accepted it in time.
   */
  async function open(
    context: ServeContext,
    req: CallerRequest,
    tried: TriedEndpoints,
  ): Promise<Opened | undefined> {
    const limit = deadlineOf(context);
    for (let attempt = 0; attempt < LIMITS.maxAttempts; attempt++) {
      const taken = await acquireConnection(context, !readOnly, tried);
      if (!taken) return undefined;
      const {atLeast} = taken.need;
      const relay = openingRelay(taken);
      if (relay && req.statement.type !== 'commit') {
        const opened = await beginWith(context, taken, relay, req, tried);
        if (opened) return opened;
      } else if (await begin(context, taken, atLeast, tried)) {
        return {lease: taken, answer: undefined};
      }
      if (clock.now() >= limit) return undefined;
    }
    return undefined;
  }

  /**
   * Opens the transaction and runs its first statement through a relay; undefined
   * if the endpoint did not open it.
   */
  async function beginWith(
    context: ServeContext,
    taken: ConnectionLease,
    relay: RelayedConnection,
    req: CallerRequest,
    tried: TriedEndpoints,
  ): Promise<Opened | undefined> {
    const {log, sessionData: memory} = context;
    const endpoint = taken.link.listed.id;
    const {atLeast} = taken.need;
    const isReadOnly = atLeast !== undefined;
    taken.pooled.applySettings(memory.settings);
    const origin = originOf(context);
    const opening = {
      begin: {type: 'begin', readOnly: isReadOnly, atLeast, origin},
      statement: forwardRequest(context, taken, req),
      endsAfter: false,
    } as const;
    const timeoutMs = Math.max(1, deadlineOf(context) - clock.now());
    try {
      const {isOpened, answer} = await countInFlight(taken, () =>
        openAndRun(context, taken, relay, opening, timeoutMs),
      );
      if (!isOpened) {
        const code = answer.error?.code ?? ErrorCode.Aborted;
        log.info({event: 'beginRefused', endpoint, code});
        taken.release(true);
        noteRefusal(tried, endpoint, code);
        return undefined;
      }
      if (!isReadOnly) endPrimaryWork = context.group.countPrimaryWork();
      if (isWrite(context, req)) wrote = true;
      state = answer.state;
      return {lease: taken, answer};
    } catch (err) {
      const why = messageOf(err);
      log.info({event: 'beginLost', endpoint, why});
      taken.release(false);
      // The statement may have run; the transaction is not kept.
      if (!(err instanceof RelayLostError))
        return {lease: undefined, answer: abort(context, req, false, why)};
      tried.noteUnfit(endpoint);
      return undefined;
    }
  }

  async function begin(
    context: ServeContext,
    taken: ConnectionLease,
    atLeast: Position | undefined,
    tried: TriedEndpoints,
  ): Promise<boolean> {
    const {sessionData: memory, log} = context;
    const endpoint = taken.link.listed.id;
    taken.pooled.applySettings(memory.settings);
    // Without a required position, only a transaction that is not read-only
    // proves that the endpoint is the primary.
    const readOnly = atLeast !== undefined;
    const origin = originOf(context);
    const req = {type: 'begin', readOnly, atLeast, origin} as const;
    const timeoutMs = deadlineOf(context) - clock.now();
    try {
      const answer = await openTransaction(context, taken, req, timeoutMs);
      if (!answer.error) {
        if (!readOnly) endPrimaryWork = context.group.countPrimaryWork();
        return true;
      }
      const {code} = answer.error;
      log.info({event: 'beginRefused', endpoint, code});
      taken.release(answer.state === SessionState.Idle);
      noteRefusal(tried, endpoint, code);
    } catch (err) {
      log.info({event: 'beginLost', endpoint, why: messageOf(err)});
      taken.release(false);
      tried.noteUnfit(endpoint);
    }
    return false;
  }

  /**
   * Opens the transaction and runs its first statement; repeats both at another
   * endpoint if the statement did not run.
   */
  async function runFirst(
    context: ServeContext,
    req: CallerRequest,
  ): Promise<Answer> {
    const tried = noneTried();
    for (let attempt = 0; attempt < LIMITS.maxAttempts; attempt++) {
      const opened = await open(context, req, tried);
      if (!opened) break;
      ({lease} = opened);
      const answer = opened.answer ?? (await run(context, req));
      const code = answer.error?.code;
      const mayRetry =
        code !== undefined &&
        didNotRun(code) &&
        req.statement.type !== 'commit';
      if (!mayRetry) return answer;
      if (clock.now() >= deadlineOf(context)) return answer;
      if (opened.lease) noteRefusal(tried, opened.lease.link.listed.id, code);
      rollBack();
      state = SessionState.Open;
    }
    return refuse(context, req);
  }

  function refuse(context: ServeContext, req: CallerRequest): Answer {
    const isEnd = req.statement.type === 'commit';
    state = isEnd ? SessionState.Idle : SessionState.Failed;
    return noEndpointAvailable(context, req, state, NotRunReason.Transaction);
  }

  async function run(
    context: ServeContext,
    req: CallerRequest,
  ): Promise<Answer> {
    const {sessionData: memory} = context;
    const held = lease!;
    const isCommit = req.statement.type === 'commit';
    const commits = isCommit && wrote;
    const unusable = whyUnusable(context, held);
    if (unusable) {
      release(false);
      return abort(context, req, isCommit, unusable);
    }
    held.pooled.applySettings(memory.settings);
    const forward = forwardRequest(context, held, req);
    const timeoutMs = Math.max(1, deadlineOf(context) - clock.now());
    try {
      const answer = await countInFlight(held, () =>
        runStatement(context, held, forward, {
          timeoutMs,
          commits,
          onPrimary: endPrimaryWork !== undefined,
        }),
      );
      if (!isCommit) {
        if (isWrite(context, req)) wrote = true;
        state = answer.state;
        return answer;
      }
      release(answer.state === SessionState.Idle);
      if (!answer.error && wrote) noteCommit(context, answer);
      return endWith(answer);
    } catch (err) {
      return lost(context, req, isCommit, messageOf(err));
    }
  }

  function lost(
    context: ServeContext,
    req: CallerRequest,
    isCommit: boolean,
    why: string,
  ): Answer {
    const {log} = context;
    const endpoint = lease?.link.listed.id;
    release(false);
    const inDoubt = isCommit && wrote;
    if (!inDoubt) return abort(context, req, isCommit, why);
    log.warn({event: 'commitInDoubt', id: req.id, endpoint, why});
    state = SessionState.Idle;
    return localError(
      ErrorCode.Unknown,
      'COMMIT was sent and has no answer; read back what it was to change',
      state,
    );
  }

  /** Why the open transaction can't go on; undefined if it can. */
  function whyUnusable(
    {group}: ServeContext,
    held: ConnectionLease,
  ): string | undefined {
    if (!held.pooled.connection.isOpen) return 'the connection is closed';
    if (!endPrimaryWork || isUsableAsPrimary(group, held)) return undefined;
    return 'the endpoint may have been replaced as the primary';
  }

  /** Answers a request that was not sent, or whose loss keeps nothing. */
  function abort(
    {log}: ServeContext,
    req: CallerRequest,
    isCommit: boolean,
    why: string,
  ): Answer {
    log.warn({event: 'transactionLost', id: req.id, why});
    const text = 'the connection to the endpoint was lost; nothing is kept';
    if (!isCommit) return failWith(ErrorCode.Aborted, text);
    state = SessionState.Idle;
    return localError(ErrorCode.Aborted, text, state);
  }

  /** Answers a request in a transaction that has already failed. */
  function afterFailure(req: CallerRequest): Answer {
    const {type} = req.statement;
    if (type === 'rollback') return endWith(localAnswer(SessionState.Idle));
    if (type === 'commit') {
      const text = 'the transaction had failed and was rolled back';
      return endWith(localError(ErrorCode.Aborted, text, SessionState.Idle));
    }
    const text = 'the transaction has failed; send ROLLBACK';
    return localError(ErrorCode.Malformed, text, state);
  }

  async function serveNow(
    context: ServeContext,
    req: CallerRequest,
  ): Promise<Answer> {
    if (cutReason !== undefined && state === SessionState.Open) {
      const answer = failWith(ErrorCode.Aborted, cutReason);
      const {type} = req.statement;
      if (type === 'rollback') return afterFailure(req);
      return type === 'commit' ? endWith(answer) : answer;
    }
    if (state === SessionState.Failed) {
      rollBack();
      return afterFailure(req);
    }
    if (req.statement.type === 'rollback') {
      rollBack();
      return endWith(localAnswer(SessionState.Idle));
    }
    return lease ? run(context, req) : runFirst(context, req);
  }

  return {
    get state() {
      return state;
    },
    get idleSince() {
      return serving ? Infinity : restsSince;
    },
    async serve(context, req) {
      serving = true;
      try {
        return await serveNow(context, req);
      } finally {
        serving = false;
        restsSince = clock.now();
        if (abandoned) rollBack();
      }
    },
    rollBackIfIdle(why) {
      if (serving || state !== SessionState.Open) return;
      cutReason = why;
      rollBack();
    },
    fail() {
      state = SessionState.Failed;
      rollBack();
    },
    abandon() {
      abandoned = true;
      // Closing the connection rolls back the request in flight.
      if (serving) release(false);
      else rollBack();
    },
  };
}

function isWrite(
  {sessionData: memory}: ServeContext,
  {statement}: CallerRequest,
): boolean {
  if (statement.type === 'write') return true;
  if (statement.type !== 'execute') return false;
  return memory.prepared.get(statement.name)?.access === 'write';
}
