/** Gathers the chunks of a stream until the next part of it is whole. */

/** The bytes of a stream that were not read yet. */
export interface ChunkBuffer {
  /**
   * Adds a chunk. Returns all bytes, which are no longer kept; undefined while
   * fewer have arrived than are needed.
   */
  push(chunk: Buffer): Buffer | undefined;
  /** Keeps `rest` until `needed` bytes in all have arrived. */
  keep(rest: Buffer, needed: number): void;
  /** Memory that the kept bytes take, in bytes. */
  readonly keptBytes: number;
}

const NOTHING = Buffer.alloc(0);

/** Creates a buffer that needs `needed` bytes first. */
export function chunkBuffer(needed: number): ChunkBuffer {
  let needs = needed;
  /** Its first `length` bytes are kept. */
  let storage: Buffer = NOTHING;
  let length = 0;

  /** Doubles the storage when it is full, so that small chunks are copied seldom. */
  function append(chunk: Buffer): void {
    const total = length + chunk.length;
    if (total > storage.length) {
      const capacity = Math.min(Math.max(2 * storage.length, total), needs);
      const larger = Buffer.allocUnsafeSlow(capacity);
      storage.copy(larger, 0, 0, length);
      storage = larger;
    }
    chunk.copy(storage, length);
    length = total;
  }

  return {
    get keptBytes() {
      return storage.length;
    },
    push(chunk) {
      if (length + chunk.length < needs) {
        append(chunk);
        return undefined;
      }
      const kept = storage.subarray(0, length);
      storage = NOTHING;
      length = 0;
      return kept.length === 0 ? chunk : Buffer.concat([kept, chunk]);
    },
    keep(rest, neededNext) {
      needs = neededNext;
      // No room is left in it, so that nothing is written to the caller's bytes.
      storage = rest;
      length = rest.length;
    },
  };
}
