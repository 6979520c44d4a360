/** Faults that a test can put on a stand-in, and when they hold. */

/** Faults of a stand-in database. */
export interface DatabaseFaults {
  /** Milliseconds between a record's arrival and its application. */
  lagMs: number;
  /** Milliseconds that each statement takes in its slot. */
  serviceMs: number;
  /** Milliseconds that each answer is held back, as distance. */
  distanceMs: number;
  /** Number of coming write answers that are lost with their connection. */
  loseAnswers: number;
  /** Peers cut off in silence, by application name; `*` is everyone. */
  cut: Set<string>;
  /** Like `cut`, but requests still arrive and only answers are lost. */
  cutAnswers: Set<string>;
  /** Connections that were open at the time and stay silent for good. */
  silencedBefore: number;
}

/** Application name under which replicas connect to their primary. */
export const REPLICATION_NAME = 'replication';

/** No faults, with the given normal delays. */
export function noFaults(
  normal: Pick<DatabaseFaults, 'lagMs' | 'serviceMs' | 'distanceMs'>,
): DatabaseFaults {
  return {
    ...normal,
    loseAnswers: 0,
    cut: new Set(),
    cutAnswers: new Set(),
    silencedBefore: 0,
  };
}

/** Whether `name` is among the peers of a cut. */
export function isCut(cut: ReadonlySet<string>, name: string): boolean {
  return cut.has('*') || cut.has(name);
}
