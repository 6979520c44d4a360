/**
 * Samples whose age is reliable. A suspension of the process or a step of the
 * wall clock discards all earlier samples, and later samples of requests that
 * were sent before it are rejected: the monotonic clock makes them appear
 * younger than they are.
 */
import type {Position} from '@quetzalreel/position';
import {
  type Sample,
  type Samples,
  ageOfNewest,
  newestOf,
  noSamples,
  requiredPosition,
  withSample,
} from './samples.js';
import type {SuspensionDetector} from './suspension-detector.js';

/** Samples of one group. */
export interface TrustedSamples {
  /** Adds a sample; returns false if its age is unreliable. */
  add(sample: Sample): boolean;
  /** The newest sample; undefined if there is none. */
  newest(): Sample | undefined;
  /** Age of the newest sample in milliseconds; Infinity if there is none. */
  age(): number;
  /** See `requiredPosition`. */
  requiredPosition(
    maxStalenessMs: number,
    floor: Position | undefined,
  ): Position | undefined;
}

/** Creates an empty collection; calls `onDiscard` when it discards samples. */
export function trustedSamples(
  detector: SuspensionDetector,
  now: () => number,
  onDiscard: () => void,
): TrustedSamples {
  let samples: Samples = noSamples();
  /** Samples of requests sent before this time are rejected. */
  let acceptedFrom = -Infinity;
  let seenSuspensions = detector.suspensionCount();

  function validSamples(): Samples {
    const suspensions = detector.suspensionCount();
    if (suspensions === seenSuspensions) return samples;
    seenSuspensions = suspensions;
    samples = noSamples();
    acceptedFrom = now();
    onDiscard();
    return samples;
  }

  return {
    add(sample) {
      const current = validSamples();
      if (sample.sentAt < acceptedFrom) return false;
      samples = withSample(current, sample);
      return true;
    },
    newest: () => newestOf(validSamples()),
    age: () => ageOfNewest(validSamples(), now()),
    requiredPosition: (maxStalenessMs, floor) =>
      requiredPosition(validSamples(), maxStalenessMs, floor, now()),
  };
}
