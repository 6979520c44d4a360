/** The readers that an instance hears, by their beats. */
import type {Clock} from '@quetzalreel/common';
import {type StoreVersion, compareVersions} from '@quetzalreel/object-store';
import type {ReaderBeat} from './messages.js';
import type {HeardReader} from './reader-role.js';

/** A reader with its last beat. */
export interface KnownReader extends HeardReader {
  readonly beat: ReaderBeat;
  /** Address of the instance that passed the beat on. */
  readonly from: string;
}

/** The readers that were heard. */
export interface HeardReaders {
  readonly all: Iterable<KnownReader>;
  /** Records a beat; returns false unless it is newer than the known one. */
  note(beat: ReaderBeat, from: string): boolean;
  /**
   * For how long the store has answered a reader about a kind, the longest of
   * those heard within `heardMs`; undefined if it answers none of them.
   */
  reachedMs(kind: string, heardMs: number): number | undefined;
  /** The reader with the newest copy of a kind, above `version`. */
  newestAbove(kind: string, version: StoreVersion): KnownReader | undefined;
  /** Forgets all: the ages are not known any more. */
  clear(): void;
}

/**
 * Readers that are kept; a fleet has far fewer at a time. Names of instances that
 * have ended would gather otherwise.
 */
export const MAX_READERS = 1024;

/** Starts without readers. */
export function heardReaders(clock: Clock): HeardReaders {
  const readers = new Map<string, KnownReader>();

  function forgetLongestSilent(): void {
    let silent: KnownReader | undefined;
    for (const known of readers.values())
      if (!silent || known.at < silent.at) silent = known;
    if (silent) readers.delete(silent.name);
  }

  return {
    get all() {
      return readers.values();
    },
    note(beat, from) {
      const {reader: name, ageMs, kinds} = beat;
      const known = readers.get(name);
      if (known && !isNewer(beat, known.beat)) return false;
      const at = clock.now() - ageMs;
      const isServed = kinds.every(({reachedMs}) => reachedMs !== undefined);
      readers.set(name, {name, at, isServed, beat, from});
      if (readers.size > MAX_READERS) forgetLongestSilent();
      return true;
    },
    reachedMs(kind, heardMs) {
      const now = clock.now();
      let longest: number | undefined;
      for (const {at, beat} of readers.values()) {
        if (now - at > heardMs) continue;
        const forMs = beat.kinds.find(item => item.kind === kind)?.reachedMs;
        if (forMs === undefined) continue;
        longest = Math.max(longest ?? 0, forMs + (now - at));
      }
      return longest;
    },
    newestAbove(kind, version) {
      let best: KnownReader | undefined;
      let highest = version;
      for (const known of readers.values()) {
        const reading = known.beat.kinds.find(item => item.kind === kind);
        if (!reading || compareVersions(reading, highest) <= 0) continue;
        highest = reading;
        best = known;
      }
      return best;
    },
    clear: () => readers.clear(),
  };
}

function isNewer(a: ReaderBeat, b: ReaderBeat): boolean {
  return a.life === b.life ? a.seq > b.seq : a.life > b.life;
}
