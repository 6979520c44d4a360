/**
 * Counts what happens to the work for one endpoint, so that operators can tell
 * why little of it is served: by the endpoint, by a holder, or by this instance.
 */

/** Counts of one endpoint since the start of this instance. */
export interface LoadCounts {
  /** Statements that the endpoint ran. */
  ran: number;
  /** Statements that the endpoint itself refused as busy. */
  refusedByEndpoint: number;
  /** Statements that a holder refused, as it had no connection in time. */
  refusedByHolder: number;
  /** Requests whose answer was no longer awaited after their timeout. */
  givenUp: number;
  /**
   * Direct connections that were begun to be opened; each takes a slot of the
   * endpoint for a while.
   */
  opened: number;
  /** Those of them that were begun while another one was idle. */
  openedBesideIdle: number;
  /** Idle direct connections that were closed, by either side. */
  closedUnused: number;
  /**
   * Idle direct connections that were closed in favour of another client account;
   * also counted as closed unused.
   */
  closedForOthers: number;
  /** Direct connections that were closed while a session had them. */
  closedInUse: number;
}

/** The name of one of the counts. */
export type LoadCount = keyof LoadCounts;

/** Counts of an endpoint for which nothing has happened. */
export function noLoad(): LoadCounts {
  return {
    ran: 0,
    refusedByEndpoint: 0,
    refusedByHolder: 0,
    givenUp: 0,
    opened: 0,
    openedBesideIdle: 0,
    closedUnused: 0,
    closedForOthers: 0,
    closedInUse: 0,
  };
}

/** The names of all counts. */
export const LOAD_COUNTS = Object.keys(noLoad()) as readonly LoadCount[];

/** Reports the counts of one endpoint from time to time. */
export interface LoadReporter {
  /**
   * What was counted since the last report; undefined when it is not due, or
   * when no work was turned away or given up.
   */
  report(now: number): LoadCounts | undefined;
}

/** Interval between two reports of one endpoint, in milliseconds. */
const REPORT_INTERVAL_MS = 5000;

/** Whether work was turned away or given up. */
function showsOverload(counts: LoadCounts): boolean {
  const {refusedByEndpoint, refusedByHolder, givenUp} = counts;
  return refusedByEndpoint + refusedByHolder + givenUp > 0;
}

/** Creates a reporter of `counts`, which others change. */
export function loadReporter(counts: LoadCounts): LoadReporter {
  let reported: LoadCounts = {...counts};
  let reportedAt = -Infinity;
  return {
    report(now) {
      if (now - reportedAt < REPORT_INTERVAL_MS) return undefined;
      reportedAt = now;
      const since = noLoad();
      for (const name of LOAD_COUNTS)
        since[name] = counts[name] - reported[name];
      reported = {...counts};
      return showsOverload(since) ? since : undefined;
    },
  };
}
