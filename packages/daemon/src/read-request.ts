/** Serves a read that stands alone. */
import {DEFAULT_READ_KIND, type KindConfig} from '@quetzalreel/config';
import {EndpointDownError} from '@quetzalreel/endpoint';
import {SqlState} from '@quetzalreel/wire';
import {type Answer, type AnswerBound, ask} from './answer.js';
import {TIMES} from './defaults.js';
import {type Placed, findPlace, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';
import {
  type OpenedTransaction,
  acknowledge,
  serveWrite,
} from './write-request.js';

/** Endpoints that a read is tried on. */
const MAX_ENDPOINTS = 4;

/**
 * Serves a read; it is tried elsewhere when an endpoint fails it. A replica
 * that refuses it as read-only has proved that it writes and did not run.
 */
export async function serveRead(
  context: RequestContext,
  request: CallerRequest,
  kind: KindConfig,
): Promise<OpenedTransaction | undefined> {
  const avoid: string[] = [];
  const deadline = context.clock.now() + kind.deadlineMs;
  const bytes = request.bytes.length;
  for (let tries = 0; tries < MAX_ENDPOINTS; tries++) {
    const wanted = {needsPrimary: false, kind, deadline, bytes, avoid};
    const placed = await findPlace(context, wanted);
    if (!placed) return undefined;
    const sentAt = context.clock.now();
    let answer: Answer;
    try {
      answer = await ask(
        placed.connection,
        request.bytes,
        request.hiddenFrames,
        boundOf(context, tries, deadline),
      );
    } catch (err) {
      const silent = err instanceof EndpointDownError && err.timedOut;
      if (silent) context.group.suspect(placed.grant.endpoint);
      giveBack(context, placed, false);
      if (!mayRepeat(request, kind, placed)) {
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
    giveBack(context, placed, true, context.clock.now() - sentAt);
    if (answer.error?.code === SqlState.ReadOnly) {
      return serveWrite(context, request, kind);
    }
    const terms = {id: placed.id, rule: kind.ack, deadline};
    await acknowledge(context, terms, answer.bytes, committed);
    return undefined;
  }
  context.reply.fail(SqlState.NotRun, 'not run: no endpoint answered the read');
  return undefined;
}

/** Whether running a read again is harmless after its connection broke. */
function mayRepeat(
  request: CallerRequest,
  kind: KindConfig,
  placed: Placed,
): boolean {
  if (placed.grant.role === 'replica' || !request.statement.mayWrite) {
    return true;
  }
  return kind !== DEFAULT_READ_KIND && kind.access === 'read';
}

/**
 * When an endpoint that is silent is given up: soon at first, because another
 * may answer; later tries have half of the time that is left, because the
 * statement may be a slow one.
 */
function boundOf(
  {clock}: RequestContext,
  tries: number,
  deadline: number,
): AnswerBound {
  const now = clock.now();
  const left = deadline - now;
  const patienceMs = tries === 0 ? TIMES.readSilenceMs : left / 2;
  const isLast = tries === MAX_ENDPOINTS - 1;
  return {clock, until: isLast ? deadline : now + Math.min(left, patienceMs)};
}
