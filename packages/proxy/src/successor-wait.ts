/**
 * Tells operators while a lost primary can't be replaced, since too few replicas
 * have told how far their logs reach.
 */
import type {Clock} from '@quetzalreel/common';
import type {Succession} from '@quetzalreel/failover';
import type {Log} from './log.js';

/** Interval between the lines about one wait, in milliseconds. */
const LINE_INTERVAL_MS = 5000;

/** Dependencies of a wait. */
export interface SuccessorWaitContext {
  readonly group: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Called when a wait begins. */
  readonly onBegin: () => void;
}

/** Waits for the logs of one group's replicas, one after the other. */
export interface SuccessorWait {
  readonly isActive: boolean;
  /** Begins the wait, or goes on with it. */
  note(
    replaced: string,
    succession: Extract<Succession, {type: 'waits'}>,
  ): void;
  /** Ends the wait if there is one; `why` is for operators. */
  end(why: string): void;
}

/** Starts without a wait. */
export function successorWait(context: SuccessorWaitContext): SuccessorWait {
  const {group, clock, log} = context;
  let since: number | undefined;
  let toldAt = -Infinity;

  return {
    get isActive() {
      return since !== undefined;
    },
    note(replaced, {needed, missing, busy}) {
      const now = clock.now();
      if (since === undefined) context.onBegin();
      else if (now - toldAt < LINE_INTERVAL_MS) return;
      since ??= now;
      toldAt = now;
      const waitedMs = Math.round(now - since);
      const told = {group, replaced, needed, missing, busy, waitedMs};
      log.warn({event: 'successorAwaited', ...told});
    },
    end(why) {
      if (since === undefined) return;
      const waitedMs = Math.round(clock.now() - since);
      since = undefined;
      log.info({event: 'successorAwaitEnded', group, why, waitedMs});
    },
  };
}
