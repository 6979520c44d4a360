/**
 * Executes a requester's requests at one endpoint on connections of this
 * instance's pool. A connection is acquired for a statement or a transaction
 * and released after it. Session variables and prepared statements are kept
 * here and applied to whichever connection is acquired.
 */
import type {Disposable} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointRequest,
  ErrorCode,
  KeptKind,
  type RequestOrigin,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {
  KeepForRequester,
  OpenAndRunRequest,
  ServedConnection,
} from '@quetzalreel/relay';
import {TIMES} from './defaults.js';
import {ConnectionWay} from './connection-use.js';
import {reportOf} from './endpoint-pace.js';
import type {ConnectionLease} from './group-types.js';
import {ANY_ENDPOINT} from './placement.js';
import {
  NO_SETTINGS,
  type PreparedStatement,
  sizeOfPrepared,
  withValue,
} from './pooled-connection.js';
import {
  type RunContext,
  rollBackAndRelease,
  openTransaction,
  runStatement,
  sendWithTimeout,
  countInFlight,
} from './run-request.js';

/** Assumed of requests of older builds, which don't tell their origin. */
const UNKNOWN_ORIGIN: RequestOrigin = {
  account: '',
  priority: 1,
  accountPriority: 0,
  objectiveMs: TIMES.relayedAcquireMs,
  deadlineMs: TIMES.relayedAcquireMs,
};

function originOf(req: EndpointRequest): RequestOrigin {
  return ('origin' in req && req.origin) || UNKNOWN_ORIGIN;
}

/** Reason sent when a transaction was idle for too long. */
const IDLE_TOO_LONG =
  'the transaction was idle for too long and was rolled back';

/** Reason sent when the endpoint may no longer be the primary. */
const REPLACED = 'the endpoint may have been replaced as the primary';

/**
 * Whether a request outside of a transaction needs the primary: opening one
 * that is not read-only, or a write. Reads carry a position.
 */
function needsPrimary(req: EndpointRequest): boolean {
  switch (req.type) {
    case 'begin':
      return !req.readOnly;
    case 'forward':
    case 'execute':
      return req.atLeast === undefined;
    default:
      return false;
  }
}

/** Whether a request asks for the endpoint's status or changes its role. */
function controlsEndpoint({type}: EndpointRequest): boolean {
  return type === 'status' || type === 'stepDown';
}

/** Dependencies of relayed requests. */
export interface RelayedRequestsContext extends RunContext {
  readonly endpoint: string;
  /**
   * An idle transaction is rolled back after this time, in milliseconds. The
   * requester does so earlier unless it has failed.
   */
  readonly idleTransactionMs: () => number;
  /** Counts what is kept for the requester. */
  readonly keep: KeepForRequester;
}

/** Executes the requests of one requester at one endpoint. */
export function serveRelayedRequests(
  context: RelayedRequestsContext,
): ServedConnection {
  const {group, endpoint, clock, idleTransactionMs, keep} = context;
  let settings = NO_SETTINGS;
  const prepared = new Map<string, PreparedStatement>();
  let preparedBytes = 0;
  let lease: ConnectionLease | undefined;
  let hasDisconnected = false;
  let isServing = false;
  let idleTimer: Disposable | undefined;
  /** Set while `lease` is used as a connection to the primary. */
  let endPrimaryWork: (() => void) | undefined;
  /**
   * Whether a transaction was rolled back here that is still open for the
   * requester. Until the requester ends it too, none of its statements may run
   * outside of it.
   */
  let wasRolledBack = false;

  async function acquire(
    req: EndpointRequest,
  ): Promise<ConnectionLease | undefined> {
    const now = clock.now();
    if (controlsEndpoint(req)) {
      const until = now + TIMES.relayedAcquireMs;
      return group.acquireForControl(endpoint, until, ConnectionWay.Direct);
    }
    const {account, priority, accountPriority, objectiveMs, deadlineMs} =
      originOf(req);
    // Another endpoint may run a read, and another holder may reach the primary.
    const waitMs = Math.min(deadlineMs, TIMES.relayedAcquireMs);
    return group.acquire({
      primaryOnly: false,
      need: () => ({...ANY_ENDPOINT, only: endpoint, directOnly: true}),
      priority,
      account,
      accountPriority,
      settingsKey: settings.key,
      objectiveAt: now + objectiveMs,
      deadline: now + waitMs,
      hasDisconnected: () => hasDisconnected,
    });
  }

  function prepare(name: string, statement: PreparedStatement): void {
    const before = prepared.get(name);
    if (before) preparedBytes -= sizeOfPrepared(name, before);
    prepared.set(name, statement);
    preparedBytes += sizeOfPrepared(name, statement);
    keep(KeptKind.Prepared, preparedBytes);
  }

  function forgetLease(): void {
    lease = undefined;
    endPrimaryWork?.();
    endPrimaryWork = undefined;
  }

  function release(reusable: boolean): void {
    lease?.release(reusable);
    forgetLease();
  }

  /** Why a request may not be sent to the endpoint; undefined if it may. */
  function whyRefused(req: EndpointRequest): string | undefined {
    if (lease || !needsPrimary(req)) return undefined;
    if (group.mayStartOnPrimary(endpoint)) return undefined;
    return 'not run: the endpoint may have been replaced as the primary';
  }

  /** Replaces the statement name by the one in use on this connection. */
  function withLocalName(
    held: ConnectionLease,
    req: EndpointRequest,
  ): EndpointRequest {
    if (req.type !== 'execute') return req;
    const known = prepared.get(req.name);
    if (!known) {
      const what = `no statement ${req.name} is prepared on this connection`;
      throw new ConnectionLostError(endpoint, what, false);
    }
    return {...req, name: held.pooled.statementName(known)};
  }

  async function run(
    held: ConnectionLease,
    req: EndpointRequest,
  ): Promise<Answer> {
    const timeoutMs = TIMES.relayedAnswerMs;
    held.pooled.applySettings(settings);
    switch (req.type) {
      case 'begin':
        return openTransaction(context, held, req, timeoutMs);
      case 'forward':
      case 'execute': {
        const named = withLocalName(held, req);
        // Only the requester knows which commits wrote, and records it.
        const onPrimary = endPrimaryWork !== undefined;
        const bounds = {timeoutMs, commits: false, onPrimary};
        return runStatement(context, held, named, bounds);
      }
      default:
        return sendWithTimeout(clock, held, req, timeoutMs);
    }
  }

  async function forward(req: EndpointRequest): Promise<Answer> {
    if (wasRolledBack)
      throw new ConnectionLostError(endpoint, IDLE_TOO_LONG, false);
    const refusal = whyRefused(req);
    if (refusal) return localError(ErrorCode.Busy, refusal, SessionState.Idle);
    if (endPrimaryWork && !group.mayContinueOnPrimary(endpoint)) {
      release(false);
      throw new ConnectionLostError(endpoint, REPLACED, false);
    }
    const isFirst = lease === undefined;
    lease ??= await acquire(req);
    if (!lease) {
      const text = 'not run: no connection to the endpoint is free';
      return localError(ErrorCode.Busy, text, SessionState.Idle);
    }
    if (isFirst && needsPrimary(req)) endPrimaryWork = group.countPrimaryWork();
    idleTimer?.dispose();
    isServing = true;
    try {
      const held = lease;
      const answer = await countInFlight(held, () => run(held, req));
      if (answer.state === SessionState.Idle) release(true);
      else if (hasDisconnected) rollBack();
      else idleTimer = clock.after(idleTransactionMs(), rollBack);
      const pace = reportOf(held.link.facts.pace, clock.now());
      return pace ? {...answer, pace} : answer;
    } catch (err) {
      release(false);
      throw err;
    } finally {
      isServing = false;
    }
  }

  /** Opens a transaction and runs its first statement. */
  async function openAndRun({
    begin,
    statement,
    endsAfter,
  }: OpenAndRunRequest): Promise<Answer> {
    const begun = await forward(begin);
    if (begun.error) return begun;
    const answer = await forward(statement);
    if (!endsAfter) return answer;
    idleTimer?.dispose();
    if (lease) rollBackAndRelease(clock, lease);
    forgetLease();
    return {...answer, state: SessionState.Idle};
  }

  /** Ends the transaction of a requester that has disconnected or is idle. */
  function rollBack(): void {
    wasRolledBack = true;
    if (lease) rollBackAndRelease(clock, lease);
    forgetLease();
  }

  /**
   * Closes the connection of a request whose requester has disconnected; its
   * answer may have been lost.
   */
  function closeAbandoned(): void {
    if (isServing) lease?.pooled.connection.dispose();
  }

  /**
   * Answers a request that only changes state kept here; the endpoint gets it
   * when a statement needs it.
   */
  function localSuccess(): Answer {
    return localAnswer(lease ? SessionState.Open : SessionState.Idle);
  }

  return {
    observe() {
      const now = clock.now();
      const facts = group.links.get(endpoint)?.facts;
      const pace = facts && reportOf(facts.pace, now);
      const unansweredSince = facts?.unansweredSince;
      return {
        position: facts?.position,
        heardMsAgo: facts ? now - facts.lastContactAt : Infinity,
        silentMs:
          unansweredSince === undefined ? undefined : now - unansweredSince,
        isRefusing: facts?.refusingSince !== undefined,
        pace,
      };
    },
    async send(req) {
      switch (req.type) {
        case 'set':
          settings = withValue(settings, req.name, req.value);
          keep(KeptKind.Values, settings.bytes);
          return localSuccess();
        case 'prepare':
          prepare(req.name, {access: req.access, shape: req.shape});
          return localSuccess();
        case 'discard':
          settings = NO_SETTINGS;
          prepared.clear();
          preparedBytes = 0;
          keep(KeptKind.Values, 0);
          keep(KeptKind.Prepared, 0);
          return localSuccess();
        case 'rollback':
          wasRolledBack = false;
          return lease ? forward(req) : localSuccess();
        case 'openAndRun':
          return openAndRun(req);
        default:
          return forward(req);
      }
    },
    dispose() {
      hasDisconnected = true;
      settings = NO_SETTINGS;
      prepared.clear();
      idleTimer?.dispose();
      if (!isServing) rollBack();
      else clock.after(TIMES.abandonedAnswerTimeoutMs, closeAbandoned);
    },
  };
}
