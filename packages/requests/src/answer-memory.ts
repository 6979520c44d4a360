/**
 * Bounds the memory that the answers of a process take until callers have
 * received them. Answers are gathered whole before they are passed on, so
 * connections on which long ones arrive are made to wait while too much is held.
 */
import type {Disposable} from '@quetzalreel/common';

/** A connection on which an answer arrives. */
export interface AnswerSource {
  /** Stops reading, so that the sender has to wait. */
  pause(): void;
  resume(): void;
}

/** Limits of `answerMemory`, in bytes. */
export interface AnswerMemoryLimits {
  /** While more than this is held, only the oldest answer goes on arriving. */
  readonly sharedBytes: number;
  /** While more than this is held, it waits for callers as well. */
  readonly heldBytes: number;
  /** Answers up to this length are neither counted nor made to wait. */
  readonly shortBytes: number;
  /** An answer that gets longer than this is given up. */
  readonly answerBytes: number;
}

/** An answer that is being gathered. */
export interface GatheredAnswer {
  /** Counts bytes that have arrived; false if the answer is too long now. */
  add(bytes: number): boolean;
  /** Stops counting the answer, which is complete or was lost. */
  end(): void;
}

/** The memory taken by the long answers of one process. */
export interface AnswerMemory {
  readonly limits: AnswerMemoryLimits;
  readonly heldBytes: number;
  /** Begins to count the answers that arrive from `source`, one at a time. */
  gather(source: AnswerSource): GatheredAnswer;
  /** Counts a whole answer until it is disposed of. */
  hold(bytes: number): Disposable;
}

interface LongAnswer {
  readonly source: AnswerSource;
  bytes: number;
  isWaiting: boolean;
}

/** Begins with nothing held. */
export function answerMemory(limits: AnswerMemoryLimits): AnswerMemory {
  let heldBytes = 0;
  /** The part of `heldBytes` that callers are to receive. */
  let wholeBytes = 0;
  /** Long answers that are being gathered, oldest first. */
  const gathered = new Set<LongAnswer>();

  /**
   * Whether the oldest answer may go on. Several incomplete ones would wait for
   * each other, so it does unless a caller can make room.
   */
  function mayOldestGoOn(): boolean {
    return heldBytes <= limits.heldBytes || wholeBytes === 0;
  }

  function review(): void {
    let mayGoOn = mayOldestGoOn();
    for (const answer of gathered) {
      const waits = !mayGoOn;
      mayGoOn = heldBytes <= limits.sharedBytes;
      if (waits === answer.isWaiting) continue;
      answer.isWaiting = waits;
      if (waits) answer.source.pause();
      else answer.source.resume();
    }
  }

  function change(bytes: number): void {
    heldBytes += bytes;
    review();
  }

  return {
    limits,
    get heldBytes() {
      return heldBytes;
    },
    gather(source) {
      let bytes = 0;
      let long: LongAnswer | undefined;
      return {
        add(more) {
          bytes += more;
          if (bytes <= limits.shortBytes) return true;
          if (!long) {
            long = {source, bytes: 0, isWaiting: false};
            gathered.add(long);
          }
          const added = bytes - long.bytes;
          long.bytes = bytes;
          change(added);
          return bytes <= limits.answerBytes;
        },
        end() {
          bytes = 0;
          if (!long) return;
          const ended = long;
          long = undefined;
          gathered.delete(ended);
          if (ended.isWaiting) ended.source.resume();
          change(-ended.bytes);
        },
      };
    },
    hold(bytes) {
      if (bytes <= limits.shortBytes) return {dispose() {}};
      let isHeld = true;
      wholeBytes += bytes;
      change(bytes);
      return {
        dispose() {
          if (!isHeld) return;
          isHeld = false;
          wholeBytes -= bytes;
          change(-bytes);
        },
      };
    },
  };
}
