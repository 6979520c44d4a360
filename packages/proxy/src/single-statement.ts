/** Serves single reads and writes outside of transactions. */
import {messageOf} from '@quetzalreel/common';
import {
  type Answer,
  type CallerRequest,
  ErrorCode,
  SessionState,
  didNotRun,
  localError,
} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';
import {LIMITS, TIMES} from './defaults.js';
import type {ConnectionLease} from './group-types.js';
import {
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

/**
 * The result of one attempt: an answer for the caller, or 'again' for another
 * attempt.
 */
type AttemptResult = Answer | 'again';

/** Serves a read; failed attempts are repeated at other endpoints. */
export async function serveRead(
  context: ServeContext,
  req: CallerRequest,
): Promise<Answer> {
  const {clock, route} = context;
  const limit = deadlineOf(context);
  const tried = noneTried();
  for (let attempt = 0; attempt < LIMITS.maxAttempts; attempt++) {
    const lease = await acquireConnection(context, false, tried);
    if (!lease) break;
    const {atLeast} = lease.need;
    const left = limit - clock.now();
    const attemptMs = route.statementTimeoutMs * TIMES.readAttemptFraction;
    const timeoutMs = Math.min(left, attemptMs);
    const result = atLeast
      ? await readAtPosition(context, req, lease, atLeast, timeoutMs, tried)
      : await readOnPrimary(context, req, lease, timeoutMs);
    if (result !== 'again') return result;
    if (clock.now() >= limit) break;
  }
  return noEndpointAvailable(
    context,
    req,
    SessionState.Idle,
    NotRunReason.Read,
  );
}

/** Runs a read at an endpoint whose log has reached `atLeast`. */
async function readAtPosition(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  atLeast: Position,
  timeoutMs: number,
  tried: TriedEndpoints,
): Promise<AttemptResult> {
  const endpoint = lease.link.listed.id;
  lease.pooled.applySettings(context.sessionData.settings);
  const forward = forwardRequest(context, lease, req, atLeast);
  const bounds = {timeoutMs, commits: false, onPrimary: false};
  try {
    const answer = await countInFlight(lease, () =>
      runStatement(context, lease, forward, bounds),
    );
    lease.release(answer.state === SessionState.Idle);
    if (!answer.error) return answer;
    return retryOf(context, req, answer, endpoint, tried);
  } catch (err) {
    lease.release(false);
    tried.noteUnfit(endpoint);
    return lost(context, req, err, endpoint);
  }
}

/**
 * Runs a read that must see every commit. It runs inside a transaction that
 * only the primary opens, so a replaced primary refuses it.
 */
async function readOnPrimary(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  timeoutMs: number,
): Promise<AttemptResult> {
  const endpoint = lease.link.listed.id;
  lease.pooled.applySettings(context.sessionData.settings);
  const endWork = context.group.countPrimaryWork();
  try {
    const answer = await countInFlight(lease, () =>
      runInTransaction(context, req, lease, timeoutMs),
    );
    if (!answer) return 'again';
    if (!answer.error) return {...answer, state: SessionState.Idle};
    return retryOf(context, req, answer, endpoint, noneTried());
  } catch (err) {
    lease.release(false);
    return lost(context, req, err, endpoint);
  } finally {
    endWork();
  }
}

/**
 * Sends BEGIN, the read, and ROLLBACK after its answer, by one request through a
 * relay; returns undefined when no transaction was opened.
 */
async function runInTransaction(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  timeoutMs: number,
): Promise<Answer | undefined> {
  const origin = originOf(context);
  const begin = {type: 'begin', readOnly: false, origin} as const;
  const relay = openingRelay(lease);
  if (relay) {
    const statement = forwardRequest(context, lease, req);
    const opening = {begin, statement, endsAfter: true};
    const opened = await openAndRun(context, lease, relay, opening, timeoutMs);
    lease.release(opened.answer.state === SessionState.Idle);
    return opened.answer;
  }
  const begun = await openTransaction(context, lease, begin, timeoutMs);
  if (begun.error) {
    lease.release(begun.state === SessionState.Idle);
    return undefined;
  }
  const forward = forwardRequest(context, lease, req);
  const bounds = {timeoutMs, commits: false, onPrimary: true};
  const answer = await runStatement(context, lease, forward, bounds);
  rollBackAndRelease(context.clock, lease);
  return answer;
}

/**
 * Handles an endpoint's error to a read; a read that did not run is repeated.
 */
function retryOf(
  {log}: ServeContext,
  req: CallerRequest,
  answer: Answer,
  endpoint: string,
  tried: TriedEndpoints,
): AttemptResult {
  const code = answer.error!.code;
  log.info({event: 'readRefused', id: req.id, endpoint, code});
  if (didNotRun(code)) {
    noteRefusal(tried, endpoint, code);
    return 'again';
  }
  return {...answer, state: SessionState.Idle};
}

function lost(
  {log}: ServeContext,
  req: CallerRequest,
  err: unknown,
  endpoint: string,
): AttemptResult {
  log.info({event: 'readLost', id: req.id, endpoint, why: messageOf(err)});
  return 'again';
}

/**
 * Serves a write. It is sent once, unless the endpoint answers that it did not
 * run.
 */
export async function serveWrite(
  context: ServeContext,
  req: CallerRequest,
): Promise<Answer> {
  const {clock} = context;
  const limit = deadlineOf(context);
  for (let attempt = 0; attempt < LIMITS.maxAttempts; attempt++) {
    const lease = await acquireConnection(context, true, noneTried());
    if (!lease) break;
    const result = await writeOnce(context, req, lease, limit - clock.now());
    if (result !== 'again') return result;
    if (clock.now() >= limit) break;
  }
  return noEndpointAvailable(
    context,
    req,
    SessionState.Idle,
    NotRunReason.Write,
  );
}

async function writeOnce(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  timeoutMs: number,
): Promise<AttemptResult> {
  const {log} = context;
  const endpoint = lease.link.listed.id;
  if (!lease.pooled.connection.isOpen) {
    lease.release(false);
    return 'again';
  }
  lease.pooled.applySettings(context.sessionData.settings);
  const forward = forwardRequest(context, lease, req);
  const bounds = {timeoutMs, commits: true, onPrimary: true};
  const endWork = context.group.countPrimaryWork();
  try {
    const answer = await countInFlight(lease, () =>
      runStatement(context, lease, forward, bounds),
    );
    lease.release(answer.state === SessionState.Idle);
    if (!answer.error) {
      noteCommit(context, answer);
      return answer;
    }
    const {code} = answer.error;
    log.info({event: 'writeRefused', id: req.id, endpoint, code});
    return didNotRun(code) ? 'again' : answer;
  } catch (err) {
    lease.release(false);
    const why = messageOf(err);
    log.warn({event: 'writeInDoubt', id: req.id, endpoint, why});
    return localError(
      ErrorCode.Unknown,
      'the write was sent and has no answer; read it back before sending it again',
      SessionState.Idle,
    );
  } finally {
    endWork();
  }
}
