/** Error handling of actors. */
import {messageOf} from '@quetzalreel/common';
import type {Ref, SupervisionActorFunc} from 'nact';
import type {Log} from './log.js';

/**
 * Logs an exception, discards the message and keeps the actor and its state.
 */
export function keepRunning<M>(
  log: Log,
  actor: string,
): SupervisionActorFunc<M, Ref<never>, Ref<never>> {
  return (_message, err, context) => {
    log.error({actor, why: messageOf(err), stack: err?.stack}, 'event failed');
    return context.resume;
  };
}
