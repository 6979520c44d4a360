/** How often one instance calls the platform, by the size of the fleet. */

/** Times between calls to the platform, in milliseconds. */
export interface PlatformIntervals {
  /** Longest wait of one watch. */
  readonly watchMs: number;
  /** Time between two plain reads. */
  readonly rereadMs: number;
}

/** Instances up to which each one calls at the full rate. */
const FULL_RATE_INSTANCES = 8;

/**
 * Stretches the times of `base` so that the fleet's calls do not grow past
 * those of eight instances. What one instance reads reaches the others by
 * peers, so a larger fleet still reads as often as a whole.
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
