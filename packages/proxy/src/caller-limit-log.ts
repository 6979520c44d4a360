/** Logs what limits refuse callers, with few lines under load. */
import type {Clock} from '@quetzalreel/common';
import type {CallerLimit} from '@quetzalreel/requests';
import type {Log} from './log.js';

/** Least interval between two lines about one limit, in milliseconds. */
const LINE_INTERVAL_MS = 1000;

interface Reported {
  at: number;
  /** Refusals since then. */
  unreported: number;
}

/** The log of all limits. */
export interface CallerLimitLog {
  /** Reports a refusal, of a caller that kept or sent `bytes`. */
  note(limit: CallerLimit, bytes: number): void;
}

/** Creates the log of a process. */
export function callerLimitLog(clock: Clock, log: Log): CallerLimitLog {
  const reported = new Map<CallerLimit, Reported>();
  return {
    note(limit, bytes) {
      const now = clock.now();
      const last = reported.get(limit);
      if (last && now - last.at < LINE_INTERVAL_MS) {
        last.unreported++;
        return;
      }
      reported.set(limit, {at: now, unreported: 0});
      const before = last?.unreported ?? 0;
      log.warn({event: 'callerLimited', limit, bytes, before});
    },
  };
}
