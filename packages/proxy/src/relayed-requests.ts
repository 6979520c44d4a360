/**
 * Serves another instance's requests at one endpoint with connections of this
 * instance's pool: one is taken for a statement or a transaction and given
 * back after it. Values and prepared statements are remembered here and
 * brought onto whichever connection is taken.
 */
import type {Disposable} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointRequest,
  ErrorCode,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {ServedConnection} from '@quetzalreel/relay';
import {TIMES} from './defaults.js';
import type {ConnectionLease} from './group-types.js';
import {ANY_ENDPOINT} from './placement.js';
import {
  NO_SETTINGS,
  type PreparedStatement,
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

/** Priority of other instances' statements, whose own is not told: that of
 * most routes. */
const PRIORITY = 1;

/** Why a transaction is lost that its asker left alone for too long. */
const CUT = 'its transaction rested for too long and was rolled back';

/** What lending works with. */
export interface RelayedRequestsContext extends RunContext {
  readonly endpoint: string;
  /** After which a transaction without a request is rolled back, in
   * milliseconds: the asker does so earlier unless it is gone. */
  readonly idleTransactionMs: () => number;
}

/** Serves one asker at one endpoint. */
export function serveRelayedRequests(
  context: RelayedRequestsContext,
): ServedConnection {
  const {group, endpoint, clock, idleTransactionMs: restMs} = context;
  let settings = NO_SETTINGS;
  const prepared = new Map<string, PreparedStatement>();
  let lease: ConnectionLease | undefined;
  let hasLeft = false;
  let isServing = false;
  let rest: Disposable | undefined;
  /** Whether a transaction was ended that the asker believes to be open;
   * until it ends it too, nothing of it may run by itself. */
  let wasCut = false;

  async function take(): Promise<ConnectionLease | undefined> {
    const now = clock.now();
    return group.acquire({
      primaryOnly: false,
      need: () => ({...ANY_ENDPOINT, only: endpoint, directOnly: true}),
      priority: PRIORITY,
      settingsKey: settings.key,
      objectiveAt: now + TIMES.relayedAcquireMs,
      deadline: now + TIMES.relayedAcquireMs,
      hasDisconnected: () => hasLeft,
    });
  }

  function free(reusable: boolean): void {
    lease?.release(reusable);
    lease = undefined;
  }

  /** The request with the statement's name on the connection at hand. */
  function withOwnName(
    held: ConnectionLease,
    req: EndpointRequest,
  ): EndpointRequest {
    if (req.type !== 'execute') return req;
    const known = prepared.get(req.name);
    if (!known) {
      const what = `no statement ${req.name} was prepared on it`;
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
        const named = withOwnName(held, req);
        // Which commits wrote is known to the asker, who notes it.
        const bounds = {timeoutMs, commits: false};
        return runStatement(context, held, named, bounds);
      }
      default:
        return sendWithTimeout(clock, held, req, timeoutMs);
    }
  }

  async function forward(req: EndpointRequest): Promise<Answer> {
    if (wasCut) throw new ConnectionLostError(endpoint, CUT, false);
    lease ??= await take();
    if (!lease) {
      const text = 'not run: no connection to the endpoint is free';
      return localError(ErrorCode.Busy, text, SessionState.Idle);
    }
    rest?.dispose();
    isServing = true;
    try {
      const held = lease;
      const answer = await countInFlight(held, () => run(held, req));
      if (answer.state === SessionState.Idle) free(true);
      else if (hasLeft) rollBack();
      else rest = clock.after(restMs(), rollBack);
      return answer;
    } catch (err) {
      free(false);
      throw err;
    } finally {
      isServing = false;
    }
  }

  /** Ends the transaction of an asker that has left, or is silent. */
  function rollBack(): void {
    wasCut = true;
    if (lease) rollBackAndRelease(lease);
    lease = undefined;
  }

  /** Closes the connection of a request that nobody waits for any more; its
   * answer may be lost. */
  function giveUp(): void {
    if (isServing) lease?.pooled.connection.dispose();
  }

  /** Nothing that the endpoint must be asked for before it is needed. */
  function remember(): Answer {
    return localAnswer(lease ? SessionState.Open : SessionState.Idle);
  }

  return {
    observe() {
      const now = clock.now();
      const facts = group.links.get(endpoint)?.facts;
      const askedAt = facts?.unansweredSince;
      return {
        position: facts?.position,
        heardMsAgo: facts ? now - facts.lastContactAt : Infinity,
        silentMs: askedAt === undefined ? undefined : now - askedAt,
        isRefusing: facts?.refusingSince !== undefined,
      };
    },
    async send(req) {
      switch (req.type) {
        case 'set':
          settings = withValue(settings, req.name, req.value);
          return remember();
        case 'prepare':
          prepared.set(req.name, {access: req.access, shape: req.shape});
          return remember();
        case 'discard':
          settings = NO_SETTINGS;
          prepared.clear();
          return remember();
        case 'rollback':
          wasCut = false;
          return lease ? forward(req) : remember();
        default:
          return forward(req);
      }
    },
    dispose() {
      hasLeft = true;
      rest?.dispose();
      if (!isServing) rollBack();
      else clock.after(TIMES.relayedAbandonedMs, giveUp);
    },
  };
}
