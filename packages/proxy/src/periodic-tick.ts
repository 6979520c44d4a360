/**
 * Runs the periodic work of the proxy, and tells by how much it was late: all
 * timers of a process that is short of processor time are late by as much.
 */
import type {Clock, Disposable} from '@quetzalreel/common';

/** Dependencies of a periodic tick. */
export interface PeriodicTickContext {
  readonly clock: Clock;
  /** Time between two runs, in milliseconds. */
  readonly everyMs: number;
  readonly run: () => void;
  /** Called with the delay of each run, in milliseconds. */
  readonly onDelay: (delayMs: number) => void;
}

/** Runs the work at once, and periodically until disposed. */
export function periodicTick(context: PeriodicTickContext): Disposable {
  const {clock, everyMs, run, onDelay} = context;
  let timer: Disposable | undefined;
  let isOver = false;
  function tick(): void {
    run();
    if (isOver) return;
    const dueAt = clock.now() + everyMs;
    timer = clock.after(everyMs, () => {
      onDelay(Math.max(0, clock.now() - dueAt));
      tick();
    });
  }
  tick();
  return {
    dispose() {
      isOver = true;
      timer?.dispose();
    },
  };
}
