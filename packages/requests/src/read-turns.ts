/**
 * Lets the connections of a process take turns. The runtime reads up to 2 MiB of
 * one connection at once; with many that send much, one turn of the event loop
 * would take seconds, and probes and timers would be late.
 */
import type {AnswerSource} from './answer-memory.js';

/** Read of one connection in one turn of the event loop, in bytes. */
const TURN_BYTES = 128 * 1024;

/** Counts what is read of one connection. */
export interface ReadTurns {
  /** Counts bytes that were read; may pause the connection until the next turn. */
  note(bytes: number): void;
}

/** Counts what is read of `source`, which goes on only if `mayRead` says so. */
export function readTurns(
  source: AnswerSource,
  mayRead: () => boolean,
): ReadTurns {
  let turnBytes = 0;

  function next(): void {
    const wasPaused = turnBytes > TURN_BYTES;
    turnBytes = 0;
    if (wasPaused && mayRead()) source.resume();
  }

  return {
    note(bytes) {
      if (turnBytes === 0) setImmediate(next);
      turnBytes += bytes;
      if (turnBytes > TURN_BYTES) source.pause();
    },
  };
}
