/**
 * Monotonic time and timers, behind one abstract class so that tests can
 * control the time.
 */

/** A resource to release; a second `dispose` has no effect. */
export interface Disposable {
  dispose(): void;
}

/** A source of time. All readings and delays are in milliseconds. */
export abstract class Clock {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  abstract now(): number;

  /** Calls `callback` once after `delayMs`, unless the timer is disposed. */
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

/** Returns the clock of this process. */
export function systemClock(): Clock {
  return new SystemClock();
}

/** A clock for tests, whose time changes only by `advance`. */
export abstract class ManualClock extends Clock {
  /** Advances the time, and runs the timers that expire in order of time. */
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

/** Creates a manual clock at time 0. */
export function manualClock(): ManualClock {
  return new SteppedClock();
}
