/**
 * The planned stop of an instance: ends sessions step by step within the grace
 * period, idle ones first, so that nothing of the callers' is cut.
 */
import type {Clock} from '@quetzalreel/common';
import {TIMES} from './defaults.js';
import type {Log} from './log.js';
import type {CallerSession} from './session.js';

/** Dependencies of a shutdown. */
export interface ShutdownContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly graceMs: number;
  readonly sessions: ReadonlySet<CallerSession>;
  /** Requesters with work under way here; see `Relay`. */
  readonly activeRequesters: () => number;
}

/** A shutdown that has begun. */
export interface Shutdown {
  /** Whether sessions end with what they have under way. */
  readonly endsSessions: boolean;
  /** Whether a new session still has the time for a request. */
  readonly takesSessions: boolean;
  /** When requests must be answered, in monotonic milliseconds. */
  readonly answerBy: number;
  /** Resolves when nothing is under way any more, or the grace period ends. */
  readonly finished: Promise<void>;
}

/** Begins a shutdown. */
export function beginShutdown(context: ShutdownContext): Shutdown {
  const {clock, log, graceMs, sessions} = context;
  const startedAt = clock.now();
  /** Callers that reconnect from then on reach another instance. */
  const endSessionsAt = startedAt + TIMES.balancerDelayMs;
  const rollBackAt = startedAt + graceMs * TIMES.transactionGraceFraction;
  const endAt = startedAt + graceMs - TIMES.stopMarginMs;

  const isBusy = () => sessions.size + context.activeRequesters() > 0;

  async function drain(): Promise<void> {
    await clock.sleep(TIMES.balancerDelayMs);
    let isCutLogged = false;
    while (isBusy() && clock.now() < endAt) {
      for (const session of sessions) session.endIfIdle();
      if (clock.now() >= rollBackAt) {
        for (const session of sessions) {
          session.rollBackIfIdle('this instance stops; nothing is kept');
        }
        if (!isCutLogged)
          log.info({event: 'transactionsCut', left: sessions.size});
        isCutLogged = true;
      }
      await clock.sleep(TIMES.tickMs);
    }
  }

  return {
    get endsSessions() {
      return clock.now() >= endSessionsAt;
    },
    get takesSessions() {
      return clock.now() < endAt - TIMES.lastSessionMs;
    },
    answerBy: endAt - TIMES.lastAnswerMs,
    finished: drain(),
  };
}
