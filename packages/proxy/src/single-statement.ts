/** Serves a read or a write that stands alone. */
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
import {PRIMARY_NEED} from './placement.js';
import {ReadRule} from './routes.js';
import {
  rollBackAndRelease,
  openTransaction,
  runStatement,
  countInFlight,
} from './run-request.js';
import {
  type ServeContext,
  forwardRequest,
  deadlineOf,
  noEndpointAvailable,
  acquireConnection,
  noteCommit,
  noteRefusal,
  readNeed,
} from './session-context.js';
import {type TriedEndpoints, noneTried} from './tried-endpoints.js';

/** What one try came to: an answer for the caller, or another try. */
type Try = Answer | 'again';

/** Serves a read; it may be sent again elsewhere. */
export async function serveRead(
  context: ServeContext,
  req: CallerRequest,
): Promise<Answer> {
  const {clock, route} = context;
  const limit = deadlineOf(context);
  const tried = noneTried();
  for (let tries = 0; tries < LIMITS.maxAttempts; tries++) {
    const lease = await acquireConnection(
      context,
      route.rule === ReadRule.Primary,
      () => readNeed(context, tried),
    );
    if (!lease) break;
    const {atLeast} = lease.need;
    const left = limit - clock.now();
    const tryMs = route.statementTimeoutMs * TIMES.readTryShare;
    const timeoutMs = Math.min(left, tryMs);
    const result = atLeast
      ? await readAt(context, req, lease, atLeast, timeoutMs, tried)
      : await readOnPrimary(context, req, lease, timeoutMs);
    if (result !== 'again') return result;
    if (clock.now() >= limit) break;
  }
  return noEndpointAvailable(
    context,
    req,
    SessionState.Idle,
    'no endpoint could serve it',
  );
}

/** A read on any log that holds `atLeast`. */
async function readAt(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  atLeast: Position,
  timeoutMs: number,
  tried: TriedEndpoints,
): Promise<Try> {
  const endpoint = lease.link.listed.id;
  lease.pooled.applySettings(context.memory.settings);
  const forward = forwardRequest(context, lease, req, atLeast);
  const bounds = {timeoutMs, commits: false};
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
 * A read that must see every commit: inside a transaction that only the
 * primary opens, so a primary that was replaced refuses it.
 */
async function readOnPrimary(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  timeoutMs: number,
): Promise<Try> {
  const endpoint = lease.link.listed.id;
  lease.pooled.applySettings(context.memory.settings);
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
  }
}

/** BEGIN, the read, and ROLLBACK behind its answer; undefined when no
 * transaction was opened. */
async function runInTransaction(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  timeoutMs: number,
): Promise<Answer | undefined> {
  const begin = {type: 'begin', readOnly: false} as const;
  const begun = await openTransaction(context, lease, begin, timeoutMs);
  if (begun.error) {
    lease.release(begun.state === SessionState.Idle);
    return undefined;
  }
  const forward = forwardRequest(context, lease, req);
  const bounds = {timeoutMs, commits: false};
  const answer = await runStatement(context, lease, forward, bounds);
  rollBackAndRelease(lease);
  return answer;
}

/** What an endpoint's error to a read means: a read may always go again. */
function retryOf(
  {log}: ServeContext,
  req: CallerRequest,
  answer: Answer,
  endpoint: string,
  tried: TriedEndpoints,
): Try {
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
): Try {
  log.info({event: 'readLost', id: req.id, endpoint, why: messageOf(err)});
  return 'again';
}

/** Serves a write that stands alone; it is sent once, unless the endpoint
 * says that it did not run. */
export async function serveWrite(
  context: ServeContext,
  req: CallerRequest,
): Promise<Answer> {
  const {clock} = context;
  const limit = deadlineOf(context);
  for (let tries = 0; tries < LIMITS.maxAttempts; tries++) {
    const lease = await acquireConnection(context, true, () => PRIMARY_NEED);
    if (!lease) break;
    const result = await writeOnce(context, req, lease, limit - clock.now());
    if (result !== 'again') return result;
    if (clock.now() >= limit) break;
  }
  return noEndpointAvailable(
    context,
    req,
    SessionState.Idle,
    'no primary takes writes',
  );
}

async function writeOnce(
  context: ServeContext,
  req: CallerRequest,
  lease: ConnectionLease,
  timeoutMs: number,
): Promise<Try> {
  const {log} = context;
  const endpoint = lease.link.listed.id;
  if (!lease.pooled.connection.isOpen) {
    lease.release(false);
    return 'again';
  }
  lease.pooled.applySettings(context.memory.settings);
  const forward = forwardRequest(context, lease, req);
  const bounds = {timeoutMs, commits: true};
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
  }
}
