/** Logs what limits refuse callers, with few lines under load. */
import type {Clock} from '@quetzalreel/common';
import type {CallerLimit} from '@quetzalreel/requests';
import {type LineLimit, lineLimit} from './line-limit.js';
import type {Log} from './log.js';

/** Lines about one limit. */
const LIMIT_LINES = {burst: 1, intervalMs: 1000};

/** The log of all limits. */
export interface CallerLimitLog {
  /** Reports a refusal, of a caller that kept or sent `bytes`. */
  note(limit: CallerLimit, bytes: number): void;
}

/** Creates the log of a process. */
export function callerLimitLog(clock: Clock, log: Log): CallerLimitLog {
  const lines = new Map<CallerLimit, LineLimit>();

  function linesOf(limit: CallerLimit): LineLimit {
    const known = lines.get(limit);
    if (known) return known;
    const created = lineLimit(clock, LIMIT_LINES);
    lines.set(limit, created);
    return created;
  }

  return {
    note(limit, bytes) {
      const before = linesOf(limit).ask();
      if (before === undefined) return;
      log.warn({event: 'callerLimited', limit, bytes, before});
    },
  };
}
