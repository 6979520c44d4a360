/**
 * The era of the store as this process knows it: the number of times the store
 * was restored from an older copy. Answers and peers tell it.
 */
import type {Disposable} from '@quetzalreel/common';

/** Called with the new era and the one before. */
export type EraListener = (era: number, before: number) => void;

/** The highest known era. */
export interface StoreEra {
  /** 0 until it is known, and for a store that does not tell it. */
  readonly current: number;
  /**
   * Notes that the store has reached an era. Returns false for an era that is
   * over: what was said in it no longer holds.
   */
  note(era: number): boolean;
  /** Calls the listener when the store turns out to have been restored. */
  onRestored(listener: EraListener): Disposable;
}

/** Starts without a known era. */
export function storeEra(): StoreEra {
  const listeners = new Set<EraListener>();
  let known: number | undefined;
  return {
    get current() {
      return known ?? 0;
    },
    note(era) {
      if (known !== undefined && era <= known) return era === known;
      const before = known;
      known = era;
      if (before === undefined) return true;
      for (const listener of [...listeners]) listener(era, before);
      return true;
    },
    onRestored(listener) {
      listeners.add(listener);
      return {dispose: () => void listeners.delete(listener)};
    },
  };
}
