/** Scales the intervals of calls to the platform with the size of the fleet. */

/** Intervals of calls to the platform, in milliseconds. */
export interface PlatformIntervals {
  /** Timeout of one watch call. */
  readonly watchMs: number;
  /** Interval between two plain reads. */
  readonly rereadMs: number;
}

/** Largest fleet in which every instance uses the unscaled intervals. */
const FULL_RATE_INSTANCES = 8;

/**
 * Lengthens the intervals in `base` so that a larger fleet sends the platform no
 * more calls than eight instances do. Instances forward what they read to their
 * peers, so the fleet as a whole still detects changes at the same rate.
 */
export function scaleToFleet(
  base: PlatformIntervals,
  members: number,
): PlatformIntervals {
  const factor = Math.max(1, members / FULL_RATE_INSTANCES);
  return {
    watchMs: Math.round(base.watchMs * factor),
    rereadMs: Math.round(base.rereadMs * factor),
  };
}
