/**
 * How long a primary that leaves may get new work while none replaces it: the
 * platform allows it for a limited time.
 */
import type {Clock} from '@quetzalreel/common';
import type {SuspensionDetector} from '@quetzalreel/freshness';
import {TIMES} from './defaults.js';
import type {ListedEndpoint} from './routes.js';

/** Dependencies of `leavingEndpoints`. */
export interface LeavingContext {
  readonly clock: Clock;
  readonly suspensionDetector: SuspensionDetector;
  /** For how long an endpoint that leaves may get new work, in milliseconds. */
  readonly leavingMs: number;
}

/** The endpoints that leave. */
export interface LeavingEndpoints {
  note(endpoint: ListedEndpoint): void;
  forget(id: string): void;
  /** Whether the endpoint must not get new work any more. */
  isOver(id: string): boolean;
}

/** Starts without endpoints. */
export function leavingEndpoints({
  clock,
  suspensionDetector,
  leavingMs,
}: LeavingContext): LeavingEndpoints {
  const known = new Map<string, {since: number; suspensions: number}>();
  // What is known of it is some time old already.
  const limitMs = leavingMs - TIMES.leavingMarginMs;
  return {
    note({id, leaving}) {
      if (!leaving) known.delete(id);
      if (!leaving || known.has(id)) return;
      const suspensions = suspensionDetector.suspensionCount();
      known.set(id, {since: clock.now(), suspensions});
    },
    forget: id => void known.delete(id),
    isOver(id) {
      const noted = known.get(id);
      if (!noted) return false;
      // Its clock does not count the time of a suspension.
      if (noted.suspensions !== suspensionDetector.suspensionCount())
        return true;
      return clock.now() - noted.since >= limitMs;
    },
  };
}
