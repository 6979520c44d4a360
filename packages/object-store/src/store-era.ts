/**
 * The era of the store as this process knows it: the number of times the store
 * was restored from an older copy. Answers and peers tell it.
 */
import type {Disposable} from '@quetzalreel/common';

/** Called with the new era and the one before. */
export type EraListener = (era: number, before: number) => void;

/**
 * How far above the known era one that a peer tells may be. A false one would make
 * every answer of the store look outdated; a store is restored rarely.
 */
const MAX_HEARD_STEP = 1000;

/** The highest known era. */
export interface StoreEra {
  /** 0 until it is known, and for a store that does not tell it. */
  readonly current: number;
  /**
   * Notes that the store has reached an era. Returns false for an era that is
   * over: what was said in it no longer holds.
   */
  note(era: number): boolean;
  /** Like `note` for what a peer tells; an implausible era is ignored. */
  hear(era: number): boolean;
  /** Calls the listener when the store turns out to have been restored. */
  onRestored(listener: EraListener): Disposable;
}

/** Starts without a known era. */
export function storeEra(): StoreEra {
  const listeners = new Set<EraListener>();
  let known: number | undefined;

  function note(era: number): boolean {
    if (known !== undefined && era <= known) return era === known;
    const before = known;
    known = era;
    if (before === undefined) return true;
    for (const listener of [...listeners]) listener(era, before);
    return true;
  }

  return {
    get current() {
      return known ?? 0;
    },
    note,
    hear: era => era - (known ?? era) <= MAX_HEARD_STEP && note(era),
    onRestored(listener) {
      listeners.add(listener);
      return {dispose: () => void listeners.delete(listener)};
    },
  };
}
