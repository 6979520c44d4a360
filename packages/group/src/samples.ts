/** Samples of the primary's position over time, the oldest first. */
import {
  type Position,
  comparePositions,
  isAtLeast,
} from '@quetzalreel/position';

/** The primary's position at a time, for telling a replica's age. */
export interface PrimarySample {
  /** When the status was asked for, monotonic milliseconds. */
  readonly askedAt: number;
  readonly position: Position;
}

/** Samples kept; at one each 50 ms they reach 25 s back, or farther. */
const MAX_SAMPLES = 500;

/** The samples with one more; of equal ones the oldest and newest are kept. */
export function addSample(
  samples: readonly PrimarySample[],
  sample: PrimarySample,
): readonly PrimarySample[] {
  const isRun =
    isSame(samples.at(-1), sample) && isSame(samples.at(-2), sample);
  if (isRun) return [...samples.slice(0, -1), sample];
  const kept = samples.length >= MAX_SAMPLES ? samples.slice(1) : samples;
  return [...kept, sample];
}

function isSame(a: PrimarySample | undefined, b: PrimarySample): boolean {
  return a !== undefined && comparePositions(a.position, b.position) === 0;
}

/** The newest sample that a log at `position` has reached. */
export function newestReachedSample(
  samples: readonly PrimarySample[],
  position: Position,
): PrimarySample | undefined {
  for (let i = samples.length - 1; i >= 0; i--) {
    if (isAtLeast(position, samples[i]!.position)) return samples[i];
  }
  return undefined;
}

/** The oldest sample in which the primary had `position`. */
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

/** The oldest sample that a log at `position` has not reached. */
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
