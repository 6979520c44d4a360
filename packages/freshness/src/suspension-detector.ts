/**
 * Notices that this process was suspended. The monotonic clock does not count
 * the time of a suspension, the time of day does; a step of the time of day
 * looks the same. Ages can't be trusted across either, so both count.
 */

/** Difference between the clocks that is put down to their drift and to the
 * time between two readings, in milliseconds. */
const TOLERANCE_MS = 30;

/** Compares the two clocks. */
export interface SuspensionDetector {
  /** How often the clocks have moved apart until now; each who asks compares
   * it with the count that it saw last. */
  suspensionCount(): number;
}

/** A guard over a monotonic clock and the time of day, in milliseconds. */
export function suspensionDetector(
  now: () => number,
  timeOfDay: () => number,
): SuspensionDetector {
  let offset = timeOfDay() - now();
  let count = 0;
  return {
    suspensionCount() {
      const current = timeOfDay() - now();
      if (Math.abs(current - offset) <= TOLERANCE_MS) return count;
      offset = current;
      count++;
      return count;
    },
  };
}
