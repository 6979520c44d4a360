/**
 * Requests that wait for a place: by priority, then in the order of arrival,
 * in one lane for the primary alone and one for any endpoint, so that reads
 * that can go anywhere don't wait behind writes.
 */

/** What waiting needs to know of a request. */
export interface Waiting {
  readonly primaryOnly: boolean;
  /** 0 goes first. */
  readonly priority: number;
}

/** The requests that wait. */
export interface WaitingLine<T extends Waiting> {
  readonly size: number;
  add(item: T): void;
  remove(item: T): void;
  /**
   * Offers requests in order; those that `place` takes leave. In each lane at
   * most `lookAhead` that are not taken are looked at.
   */
  offer(place: (item: T) => boolean, lookAhead: number): void;
}

/** Nobody waits. */
export function waitingLine<T extends Waiting>(): WaitingLine<T> {
  const lanes: [T[], T[]] = [[], []];
  const laneOf = (item: T) => lanes[item.primaryOnly ? 0 : 1];

  return {
    get size() {
      return lanes[0].length + lanes[1].length;
    },
    add(item) {
      const lane = laneOf(item);
      let at = lane.length;
      while (at > 0 && lane[at - 1]!.priority > item.priority) at--;
      lane.splice(at, 0, item);
    },
    remove(item) {
      const lane = laneOf(item);
      const at = lane.indexOf(item);
      if (at >= 0) lane.splice(at, 1);
    },
    offer(place, lookAhead) {
      for (const lane of lanes) {
        let passed = 0;
        let at = 0;
        while (at < lane.length && passed < lookAhead) {
          const item = lane[at]!;
          if (!place(item)) {
            passed++;
            at++;
            continue;
          }
          const still = lane.indexOf(item);
          if (still >= 0) lane.splice(still, 1);
        }
      }
    },
  };
}
