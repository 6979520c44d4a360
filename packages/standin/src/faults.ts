/** Faults that a test can inject into a stand-in database. */

/** Faults of a stand-in database. */
export interface DatabaseFaults {
  /** Replication lag: milliseconds from a record's receipt to its application. */
  lagMs: number;
  /** Milliseconds added to each statement while it holds a slot. */
  serviceMs: number;
  /** Network latency: milliseconds by which each response is delayed. */
  distanceMs: number;
  /**
   * Number of upcoming commits whose connection is closed instead of a
   * response.
   */
  loseAnswers: number;
  /**
   * Application names of clients whose traffic is dropped in both directions
   * while their connections stay open; `*` stands for all clients.
   */
  cut: Set<string>;
  /** Like `cut`, but requests are served and only the responses dropped. */
  cutAnswers: Set<string>;
  /**
   * All traffic of connections accepted before this time is dropped;
   * milliseconds, by `performance.now()`.
   */
  silencedBefore: number;
}

/** User and application name of replicas' connections to their primary. */
export const REPLICATION_NAME = 'replication';

/** Returns settings without faults, with the given base delays. */
export function noFaults(
  delays: Pick<DatabaseFaults, 'lagMs' | 'serviceMs' | 'distanceMs'>,
): DatabaseFaults {
  return {
    ...delays,
    loseAnswers: 0,
    cut: new Set(),
    cutAnswers: new Set(),
    silencedBefore: 0,
  };
}

/** Whether `cut` covers the client called `name`. */
export function isCut(cut: ReadonlySet<string>, name: string): boolean {
  return cut.has('*') || cut.has(name);
}
