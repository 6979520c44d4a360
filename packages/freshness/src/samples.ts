/**
 * Samples of the confirmed primary's log position.
 *
 * A sample records that a request sent at `sentAt` was answered by an endpoint
 * that was then the primary, with its log at `position`. Every commit that was
 * acknowledged before `sentAt` is contained in a log that has this position.
 */
import {type Position, laterOf} from '@quetzalreel/position';

/** One position reported by the confirmed primary. */
export interface Sample {
  /** When the request was sent, monotonic milliseconds. */
  readonly sentAt: number;
  readonly position: Position;
}

/** The samples kept for a group. */
export interface Samples {
  /** Oldest first. */
  readonly items: readonly Sample[];
}

/** A sample sent less than this after the newest one is not kept: the loss of
 * precision is small compared with any staleness limit that can be set. */
const MIN_SPACING_MS = 40;
/** Number of samples kept; with the spacing, about four seconds or more. */
const MAX_SAMPLES = 100;

/** Creates an empty set of samples. */
export function noSamples(): Samples {
  return {items: []};
}

/** The newest sample; undefined if there is none. */
export function newestOf({items}: Samples): Sample | undefined {
  return items[items.length - 1];
}

/** Adds a sample; ignores one sent before the newest, as it adds nothing. */
export function withSample(samples: Samples, sample: Sample): Samples {
  const {items} = samples;
  const last = newestOf(samples);
  if (last && sample.sentAt - last.sentAt < MIN_SPACING_MS) return samples;
  const kept = items.length >= MAX_SAMPLES ? items.slice(1) : items;
  return {items: [...kept, sample]};
}

/** Age of the newest sample in milliseconds; Infinity if there is none. */
export function ageOfNewest(samples: Samples, now: number): number {
  const last = newestOf(samples);
  return last ? now - last.sentAt : Infinity;
}

/**
 * The position that a log must have reached to contain every commit that was
 * acknowledged more than `maxStalenessMs` before `now`, and the session's own
 * commits up to `floor`; undefined if no sample is recent enough to decide.
 */
export function requiredPosition(
  samples: Samples,
  maxStalenessMs: number,
  floor: Position | undefined,
  now: number,
): Position | undefined {
  const oldestAllowed = now - maxStalenessMs;
  // Records of an earlier term may have been rolled back in a failover; the
  // log of the newest term contains all of them that were acknowledged.
  const term = newestOf(samples)?.position.term;
  for (const {sentAt, position} of samples.items) {
    if (sentAt < oldestAllowed || position.term !== term) continue;
    return floor ? laterOf(floor, position) : position;
  }
  return undefined;
}
