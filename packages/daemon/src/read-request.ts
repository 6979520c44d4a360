/** Serves a read that stands alone. */
import type {KindConfig} from '@quetzalreel/config';
import {SqlState} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import {findPlace, giveBack} from './placement.js';
import type {CallerRequest} from './request-reader.js';
import type {RequestContext} from './session-context.js';

/** Endpoints that a read is tried on. */
const MAX_ENDPOINTS = 4;

/** Serves a read; it is tried elsewhere when an endpoint fails it. */
export async function serveRead(
  context: RequestContext,
  request: CallerRequest,
  kind: KindConfig,
): Promise<void> {
  const avoid: string[] = [];
  const deadline = context.clock.now() + kind.deadlineMs;
  const bytes = request.bytes.length;
  for (let tries = 0; tries < MAX_ENDPOINTS; tries++) {
    const wanted = {needsPrimary: false, kind, deadline, bytes, avoid};
    const placed = await findPlace(context, wanted);
    if (!placed) return;
    let answer: Answer;
    try {
      answer = await ask(
        placed.connection,
        request.bytes,
        request.hiddenFrames,
      );
    } catch {
      giveBack(context, placed, false);
      avoid.push(placed.grant.endpoint);
      continue;
    }
    giveBack(context, placed, true);
    if (answer.error?.code !== SqlState.ReadOnly) {
      context.reply.answer(answer.bytes);
      return;
    }
    avoid.push(placed.grant.endpoint);
  }
  context.reply.fail(SqlState.NotRun, 'not run: no endpoint answered the read');
}
