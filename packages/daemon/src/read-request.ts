/** Serves a read outside of a transaction. */
import {DEFAULT_READ_KIND, type KindConfig} from '@quetzalreel/config';
import {EndpointDownError} from '@quetzalreel/endpoint';
import {SqlState} from '@quetzalreel/wire';
import {type Answer, type AnswerDeadline, sendRequest} from './answer.js';
import {TIMES} from './defaults.js';
import {
  type PlacedConnection,
  acquireConnection,
  releaseConnection,
} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';
import {
  type OpenedTransaction,
  replyWhenAcknowledged,
  serveWrite,
} from './write-request.js';

/**
 * Maximum number of attempts of a read, each on another endpoint if possible.
 */
const MAX_ATTEMPTS = 4;

/**
 * Serves a read and retries it on another endpoint after a failure. When a
 * replica refuses it with a read-only error, the statement writes and did not
 * run, so it is then served as a write.
 */
export async function serveRead(
  context: RequestContext,
  request: CallerRequest,
  kind: KindConfig,
): Promise<OpenedTransaction | undefined> {
  const avoid: string[] = [];
  const deadline = context.clock.now() + kind.deadlineMs;
  const bytes = request.bytes.length;
  for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
    const wanted = {needsPrimary: false, kind, deadline, bytes, avoid};
    const placed = await acquireConnection(context, wanted);
    if (!placed) return undefined;
    const sentAt = context.clock.now();
    let answer: Answer;
    try {
      answer = await sendRequest(
        placed.connection,
        request.bytes,
        request.answerFramesToDrop,
        answerDeadline(context, tries, deadline),
      );
    } catch (err) {
      const isTimeout = err instanceof EndpointDownError && err.timedOut;
      if (isTimeout) context.group.reportTimeout(placed.grant.endpoint);
      releaseConnection(context, placed, false);
      if (!canRetry(request, kind, placed)) {
        const why =
          'outcome unknown: the statement calls functions that may write, ' +
          'and the connection broke. Name a kind with access "read" if not.';
        context.reply.fail(SqlState.OutcomeUnknown, why);
        return undefined;
      }
      avoid.push(placed.grant.endpoint);
      continue;
    }
    const {commitPosition: committed} = placed.connection;
    releaseConnection(context, placed, true, context.clock.now() - sentAt);
    if (answer.error?.code === SqlState.ReadOnly) {
      return serveWrite(context, request, kind);
    }
    const ack = {id: placed.id, rule: kind.ack, deadline};
    await replyWhenAcknowledged(context, ack, answer.bytes, committed);
    return undefined;
  }
  context.reply.fail(SqlState.NotRun, 'not run: no endpoint answered the read');
  return undefined;
}

/**
 * Whether a read may run again without side effects after its connection broke.
 */
function canRetry(
  request: CallerRequest,
  kind: KindConfig,
  placed: PlacedConnection,
): boolean {
  if (placed.grant.role === 'replica' || !request.statement.mayWrite) {
    return true;
  }
  return kind !== DEFAULT_READ_KIND && kind.access === 'read';
}

/**
 * The time until which an attempt waits for its answer. The first attempt has
 * a short timeout, because another endpoint may answer; later attempts have
 * half of the remaining time, because the statement may be slow.
 */
function answerDeadline(
  {clock}: RequestContext,
  tries: number,
  deadline: number,
): AnswerDeadline {
  const now = clock.now();
  const remainingMs = deadline - now;
  const timeoutMs = tries === 0 ? TIMES.firstReadTimeoutMs : remainingMs / 2;
  const isLast = tries === MAX_ATTEMPTS - 1;
  return {
    clock,
    until: isLast ? deadline : now + Math.min(remainingMs, timeoutMs),
  };
}
