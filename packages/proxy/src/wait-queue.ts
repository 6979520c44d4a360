/**
 * Queue of the requests that wait for a connection. When there are more
 * requests than the endpoints can run, those within their objective are served
 * first, by priority and then in order of arrival; late ones get the remaining
 * capacity. Requests that need the primary are queued in separate lanes, so
 * that reads that any endpoint can serve don't wait behind writes.
 */

/** The properties of a request that determine its order. */
export interface QueuedRequest {
  readonly primaryOnly: boolean;
  /** 0 is the highest priority. */
  readonly priority: number;
  /**
   * End of its objective, in monotonic milliseconds; later answers count as
   * late.
   */
  readonly objectiveAt: number;
}

/** A queue of waiting requests. */
export interface WaitQueue<T extends QueuedRequest> {
  readonly size: number;
  add(item: T): void;
  remove(item: T): void;
  /**
   * Calls `place` with the requests in order, and removes those for which it
   * returns true. Examines at most `lookAhead` requests per lane that are not
   * placed.
   */
  dispatch(place: (item: T) => boolean, lookAhead: number, now: number): void;
}

/**
 * Requests of the same priority, the same need for the primary, and either all
 * on time or all late; oldest first.
 */
interface Lane<T> {
  readonly primaryOnly: boolean;
  readonly priority: number;
  readonly isLate: boolean;
  readonly items: T[];
}

/** Creates an empty queue. */
export function waitQueue<T extends QueuedRequest>(): WaitQueue<T> {
  /** On-time lanes before late ones, then by priority. */
  const lanes: Array<Lane<T>> = [];
  let size = 0;

  function laneOf(item: T, isLate: boolean): Lane<T> {
    const {primaryOnly, priority} = item;
    for (const lane of lanes) {
      if (lane.primaryOnly !== primaryOnly) continue;
      if (lane.priority === priority && lane.isLate === isLate) return lane;
    }
    const lane = {primaryOnly, priority, isLate, items: []};
    lanes.push(lane);
    lanes.sort(
      (a, b) => Number(a.isLate) - Number(b.isLate) || a.priority - b.priority,
    );
    return lane;
  }

  /** Moves requests past their objective to the late lanes. */
  function moveLate(now: number): void {
    for (const lane of [...lanes]) {
      while (
        !lane.isLate &&
        lane.items[0] &&
        lane.items[0].objectiveAt <= now
      ) {
        const item = lane.items.shift()!;
        laneOf(item, true).items.push(item);
      }
    }
  }

  function offerLane(
    items: T[],
    place: (item: T) => boolean,
    lookAhead: number,
  ): void {
    let skipped = 0;
    let at = 0;
    while (at < items.length && skipped < lookAhead) {
      const item = items[at]!;
      if (!place(item)) {
        skipped++;
        at++;
        continue;
      }
      const index = items.indexOf(item);
      if (index < 0) continue;
      items.splice(index, 1);
      size--;
    }
  }

  return {
    get size() {
      return size;
    },
    add(item) {
      laneOf(item, false).items.push(item);
      size++;
    },
    remove(item) {
      for (const {items} of lanes) {
        const at = items.indexOf(item);
        if (at < 0) continue;
        items.splice(at, 1);
        size--;
        return;
      }
    },
    dispatch(place, lookAhead, now) {
      moveLate(now);
      for (const {items} of lanes) offerLane(items, place, lookAhead);
    },
  };
}
