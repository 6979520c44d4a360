/**
 * Samples of the confirmed primary's log.
 *
 * A sample says: a request sent at `sentAt` was answered by the primary, which
 * was the primary then, at `position`. Every commit that was acknowledged
 * before `sentAt` is in a log that reaches this position.
 */
import {type Position, laterOf} from '@quetzalreel/position';

/** One answer of the confirmed primary. */
export interface Sample {
  /** When the request was sent, monotonic milliseconds. */
  readonly sentAt: number;
  readonly position: Position;
}

/** What is kept of a group's primary. */
export interface Samples {
  /** Oldest first. */
  readonly items: readonly Sample[];
}

/** Samples closer together than this are kept as one, in milliseconds: the
 * loss of precision is small beside any staleness that is allowed. */
const SPACING_MS = 40;
/** Samples kept; with the spacing they reach back some four seconds. */
const MAX_SAMPLES = 100;

/** No sample. */
export function noSamples(): Samples {
  return {items: []};
}

/** The newest sample; undefined when there is none. */
export function newestOf({items}: Samples): Sample | undefined {
  return items[items.length - 1];
}

/** Adds a sample; one that was sent before the newest is of no use. */
export function withSample(samples: Samples, sample: Sample): Samples {
  const {items} = samples;
  const last = newestOf(samples);
  if (last && sample.sentAt - last.sentAt < SPACING_MS) return samples;
  const kept = items.length >= MAX_SAMPLES ? items.slice(1) : items;
  return {items: [...kept, sample]};
}

/** Age of the newest sample in milliseconds; Infinity without one. */
export function ageOfNewest(samples: Samples, now: number): number {
  const last = newestOf(samples);
  return last ? now - last.sentAt : Infinity;
}

/**
 * The position that a log must reach to hold every commit acknowledged more
 * than `maxStalenessMs` before `now` and the session's own up to `floor`;
 * undefined when no sample is young enough to tell.
 */
export function requiredPosition(
  samples: Samples,
  maxStalenessMs: number,
  floor: Position | undefined,
  now: number,
): Position | undefined {
  const since = now - maxStalenessMs;
  // A position of a replaced term may have been rolled back with it; the
  // next term's log holds all of the old one that counts.
  const term = newestOf(samples)?.position.term;
  for (const {sentAt, position} of samples.items) {
    if (sentAt < since || position.term !== term) continue;
    return floor ? laterOf(floor, position) : position;
  }
  return undefined;
}
