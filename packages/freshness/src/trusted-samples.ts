/**
 * The samples whose age can be trusted. After a suspension, or a step of the
 * time of day, all earlier ones are void, and so are answers to questions that
 * were sent before it: their age by the monotonic clock is too small.
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
  /** Takes a sample; false when its age can't be trusted. */
  add(sample: Sample): boolean;
  /** The newest one; undefined when there is none. */
  newest(): Sample | undefined;
  /** Age of the newest one in milliseconds; Infinity without one. */
  age(): number;
  /** See `requiredPosition`. */
  required(
    maxStalenessMs: number,
    floor: Position | undefined,
  ): Position | undefined;
}

/** An empty book. `onVoid` is told when samples became void. */
export function trustedSamples(
  guard: SuspensionDetector,
  now: () => number,
  onVoid: () => void,
): TrustedSamples {
  let samples: Samples = noSamples();
  /** Nothing that was asked before this counts. */
  let trustedFrom = -Infinity;
  let seenSleeps = guard.suspensionCount();

  function sound(): Samples {
    const sleeps = guard.suspensionCount();
    if (sleeps === seenSleeps) return samples;
    seenSleeps = sleeps;
    samples = noSamples();
    trustedFrom = now();
    onVoid();
    return samples;
  }

  return {
    add(sample) {
      const current = sound();
      if (sample.sentAt < trustedFrom) return false;
      samples = withSample(current, sample);
      return true;
    },
    newest: () => newestOf(sound()),
    age: () => ageOfNewest(sound(), now()),
    required: (maxStalenessMs, floor) =>
      requiredPosition(sound(), maxStalenessMs, floor, now()),
  };
}
