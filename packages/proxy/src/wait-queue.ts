/**
 * Requests that wait for a place. Answers the load of more requests than the
 * endpoints can run: those that can still be answered in time go first, by
 * priority and then in the order of arrival; those that are late already take
 * what is left. Requests for the primary alone have lanes of their own, so
 * that reads that can go anywhere don't wait behind writes.
 */

/** What waiting needs to know of a request. */
export interface QueuedRequest {
  readonly primaryOnly: boolean;
  /** 0 goes first. */
  readonly priority: number;
  /** When it is late, monotonic milliseconds. */
  readonly objectiveAt: number;
}

/** The requests that wait. */
export interface WaitQueue<T extends QueuedRequest> {
  readonly size: number;
  add(item: T): void;
  remove(item: T): void;
  /**
   * Offers requests in order; those that `place` takes leave. In each lane at
   * most `lookAhead` that are not taken are looked at.
   */
  offer(place: (item: T) => boolean, lookAhead: number, now: number): void;
}

/** Requests of one priority, one need, in time or late; oldest first. */
interface Lane<T> {
  readonly primaryOnly: boolean;
  readonly priority: number;
  readonly isLate: boolean;
  readonly items: T[];
}

/** Nobody waits. */
export function waitQueue<T extends QueuedRequest>(): WaitQueue<T> {
  /** Those in time before those that are late, then by priority. */
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

  /** Moves what has become late behind what is in time. */
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
    let passed = 0;
    let at = 0;
    while (at < items.length && passed < lookAhead) {
      const item = items[at]!;
      if (!place(item)) {
        passed++;
        at++;
        continue;
      }
      const still = items.indexOf(item);
      if (still < 0) continue;
      items.splice(still, 1);
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
    offer(place, lookAhead, now) {
      moveLate(now);
      for (const {items} of lanes) offerLane(items, place, lookAhead);
    },
  };
}
