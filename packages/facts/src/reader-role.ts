/**
 * Decides which instances read the store for the others. Readers send beats;
 * an instance that receives beats of too few readers becomes one, after a delay
 * that differs between instances, and stops when enough preferred ones read. So
 * readers that die, are cut off or are refused by the store are replaced without
 * coordination, and an instance that is cut off from its peers reads the store.
 */

/** The last beat that was received from a reader. */
export interface HeardReader {
  readonly name: string;
  /** When the beat was sent, at the latest. Monotonic milliseconds. */
  readonly at: number;
  /** Whether the store answers it. */
  readonly isServed: boolean;
}

/** Number and times of readers. */
export interface ReaderLimits {
  /** Readers that the store answers, as many as the fleet keeps. */
  readonly readers: number;
  /**
   * Readers at most, with those that the store does not answer: while it is
   * away, more of them would find out nothing.
   */
  readonly mostReaders: number;
  /** A reader counts for this long after its last beat, in milliseconds. */
  readonly heardMs: number;
  /** The longest delay before an instance becomes a reader, in milliseconds. */
  readonly spreadMs: number;
}

/** The role of one instance. Times are monotonic milliseconds. */
export interface ReaderRole {
  readonly isReader: boolean;
  /** Since when too few readers are heard; undefined while there are enough. */
  readonly missingSince: number | undefined;
}

/** Preference of an instance as a reader, from 0, below 1; lower is first. */
export type PreferenceOf = (name: string) => number;

/** The role after the beats in `heard` were received. */
export function nextRole(
  role: ReaderRole,
  self: HeardReader,
  heard: Iterable<HeardReader>,
  preferenceOf: PreferenceOf,
  limits: ReaderLimits,
  now: number,
): ReaderRole {
  const own = preferenceOf(self.name);
  let count = 0;
  let served = 0;
  let preferred = 0;
  for (const {name, at, isServed} of heard) {
    if (name === self.name || now - at > limits.heardMs) continue;
    count++;
    if (!isServed) continue;
    served++;
    const theirs = preferenceOf(name);
    if (theirs < own || (theirs === own && name < self.name)) preferred++;
  }
  if (role.isReader) {
    // Retiring only for preferred readers keeps two from retiring for each
    // other. One that the store does not answer retires for any.
    const enough = self.isServed ? preferred : served;
    if (enough < limits.readers) return role;
    return {isReader: false, missingSince: undefined};
  }
  if (served >= limits.readers || count >= limits.mostReaders)
    return {...role, missingSince: undefined};
  const missingSince = role.missingSince ?? now;
  const isReader = now - missingSince >= own * limits.spreadMs;
  return {isReader, missingSince};
}
