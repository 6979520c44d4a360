/** What becomes of an actor whose code throws. */
import {messageOf} from '@quetzalreel/common';
import type {Ref, SupervisionActorFunc} from 'nact';
import type {Log} from './log.js';

/** Keeps the actor and its state, and drops the message that failed. */
export function keepRunning<M>(
  log: Log,
  actor: string,
): SupervisionActorFunc<M, Ref<never>, Ref<never>> {
  return (_message, err, context) => {
    log.error({actor, why: messageOf(err), stack: err?.stack}, 'event failed');
    return context.resume;
  };
}
