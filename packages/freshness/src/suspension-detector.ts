/**
 * Detects that this process was suspended. The monotonic clock does not advance
 * during a suspension, but the wall clock does. A step of the wall clock can't
 * be told from a suspension. Ages measured across either are unreliable, so
 * both are counted.
 */

/** Change of the difference between the clocks that is attributed to drift and
 * to the time between the two readings, in milliseconds. */
const TOLERANCE_MS = 30;

/** Counts suspensions by comparing the two clocks. */
export interface SuspensionDetector {
  /** Number of suspensions and clock steps so far. A user of the count detects
   * new ones by comparing it with the count that it saw last. */
  suspensionCount(): number;
}

/** Creates a detector from a monotonic and a wall clock, in milliseconds. */
export function suspensionDetector(
  now: () => number,
  wallClock: () => number,
): SuspensionDetector {
  let difference = wallClock() - now();
  let suspensions = 0;
  return {
    suspensionCount() {
      const current = wallClock() - now();
      if (Math.abs(current - difference) <= TOLERANCE_MS) return suspensions;
      difference = current;
      suspensions++;
      return suspensions;
    },
  };
}
