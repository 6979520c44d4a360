/**
 * Time as the rest of the code sees it: a monotonic reading and timers, behind
 * one abstract class so that tests can move it by hand.
 */

/** Something that is released once; releasing it again does nothing. */
export interface Disposable {
  dispose(): void;
}

/** A source of time. All readings and delays are in milliseconds. */
export abstract class Clock {
  /** A monotonic reading in milliseconds; only differences mean anything. */
  abstract now(): number;

  /** Calls `callback` once after `delayMs`, unless disposed before. */
  abstract after(delayMs: number, callback: () => void): Disposable;

  /** Resolves after `delayMs`. */
  sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => this.after(delayMs, resolve));
  }
}

class SystemClock extends Clock {
  now(): number {
    return performance.now();
  }

  after(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return {dispose: () => clearTimeout(timer)};
  }
}

/** The clock of this process. */
export function systemClock(): Clock {
  return new SystemClock();
}

/** A clock that stands still until a test moves it. */
export abstract class ManualClock extends Clock {
  /** Moves time forward and runs, in order, each timer that falls due. */
  abstract advance(byMs: number): void;
}

interface Timer {
  readonly due: number;
  readonly callback: () => void;
}

class SteppedClock extends ManualClock {
  private time = 0;
  private timers: Timer[] = [];

  now(): number {
    return this.time;
  }

  after(delayMs: number, callback: () => void): Disposable {
    const timer = {due: this.time + delayMs, callback};
    this.timers.push(timer);
    return {
      dispose: () => {
        this.timers = this.timers.filter(other => other !== timer);
      },
    };
  }

  advance(byMs: number): void {
    const end = this.time + byMs;
    for (;;) {
      const next = this.firstDue(end);
      if (!next) break;
      this.timers = this.timers.filter(other => other !== next);
      this.time = next.due;
      next.callback();
    }
    this.time = end;
  }

  private firstDue(end: number): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      if (timer.due > end) continue;
      if (!first || timer.due < first.due) first = timer;
    }
    return first;
  }
}

/** A clock at zero that only `advance` moves. */
export function manualClock(): ManualClock {
  return new SteppedClock();
}
