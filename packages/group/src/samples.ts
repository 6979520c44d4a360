/** Samples of the primary's position over time, oldest first. */
import {
  type Position,
  comparePositions,
  isAtLeast,
} from '@quetzalreel/position';

/**
 * The primary's position at a point in time, from which a replica's staleness
 * is computed.
 */
export interface PrimarySample {
  /** When the status was requested, in monotonic milliseconds. */
  readonly askedAt: number;
  readonly position: Position;
}

/** Maximum number of samples. At one every 50 ms they cover at least 25 s. */
const MAX_SAMPLES = 500;

/**
 * Adds a sample. Of a run of samples with the same position, only the oldest
 * and the newest are kept.
 */
export function addSample(
  samples: readonly PrimarySample[],
  sample: PrimarySample,
): readonly PrimarySample[] {
  const isRepeated =
    isSame(samples.at(-1), sample) && isSame(samples.at(-2), sample);
  if (isRepeated) return [...samples.slice(0, -1), sample];
  const kept = samples.length >= MAX_SAMPLES ? samples.slice(1) : samples;
  return [...kept, sample];
}

function isSame(a: PrimarySample | undefined, b: PrimarySample): boolean {
  return a !== undefined && comparePositions(a.position, b.position) === 0;
}

/** The newest sample whose position a log at `position` has reached. */
export function newestReachedSample(
  samples: readonly PrimarySample[],
  position: Position,
): PrimarySample | undefined {
  for (let i = samples.length - 1; i >= 0; i--) {
    if (isAtLeast(position, samples[i]!.position)) return samples[i];
  }
  return undefined;
}

/** The oldest sample at which the primary had reached `position`. */
export function oldestSampleReaching(
  samples: readonly PrimarySample[],
  position: Position,
): PrimarySample | undefined {
  let found: PrimarySample | undefined;
  for (let i = samples.length - 1; i >= 0; i--) {
    if (!isAtLeast(samples[i]!.position, position)) break;
    found = samples[i];
  }
  return found;
}

/** The oldest sample whose position a log at `position` has not reached. */
export function oldestSampleBeyond(
  samples: readonly PrimarySample[],
  position: Position,
): PrimarySample | undefined {
  let found: PrimarySample | undefined;
  for (let i = samples.length - 1; i >= 0; i--) {
    if (isAtLeast(position, samples[i]!.position)) break;
    found = samples[i];
  }
  return found;
}
