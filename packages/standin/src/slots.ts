/** Limits how many statements a stand-in database runs at the same time. */

/** A fixed number of slots, granted in the order of the requests. */
export interface Slots {
  /** Waits for a free slot; resolves with a function that releases it. */
  take(): Promise<() => void>;
  readonly running: number;
  readonly waiting: number;
}

/** Creates `size` free slots. */
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
