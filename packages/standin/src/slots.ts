/** The slots of a stand-in database: so many statements at a time. */

/** Runs at most a fixed number of tasks at a time, first come first served. */
export interface Slots {
  /** Resolves with the release of a slot once one is free. */
  take(): Promise<() => void>;
  readonly running: number;
  readonly waiting: number;
}

/** `size` free slots. */
export function slots(size: number): Slots {
  let running = 0;
  const waiting: Array<() => void> = [];
  const release = () => {
    const next = waiting.shift();
    if (next) next();
    else running--;
  };
  return {
    get running() {
      return running;
    },
    get waiting() {
      return waiting.length;
    },
    take() {
      if (running < size) {
        running++;
        return Promise.resolve(release);
      }
      return new Promise(resolve => waiting.push(() => resolve(release)));
    },
  };
}
