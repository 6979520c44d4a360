/**
 * Queue of the requests that wait for a connection. When there are more
 * requests than the endpoints can run, those within their objective are served
 * first, by the priority of their route and then of their client account; late
 * ones get the remaining capacity. Accounts of the same rank take turns, so that
 * a busy one delays the others by one request at most; the requests of one
 * account are served in order of arrival. Requests that need the primary are
 * queued in separate lanes, so that reads that any endpoint can serve don't wait
 * behind writes.
 */

/** The properties of a request that determine its order. */
export interface QueuedRequest {
  readonly primaryOnly: boolean;
  /** Of the route; 0 is the highest. */
  readonly priority: number;
  /** The client account; undefined for requests of this instance itself. */
  readonly account: string | undefined;
  /** 0 is the highest. */
  readonly accountPriority: number;
  /**
   * End of its objective, in monotonic milliseconds; later answers count as
   * late.
   */
  readonly objectiveAt: number;
}

/** The need and the route's priority of a request. */
export type QueueRank = Pick<QueuedRequest, 'primaryOnly' | 'priority'>;

/** A queue of waiting requests. */
export interface WaitQueue<T extends QueuedRequest> {
  readonly size: number;
  /** Number of waiting requests of the rank, in time or late. */
  waiting(rank: QueueRank, isLate: boolean): number;
  add(item: T): void;
  remove(item: T): void;
  /**
   * Calls `place` with the requests in order, and removes those for which it
   * returns true. Examines at most `lookAhead` requests per lane that are not
   * placed. Calls `givesUp` with each request that becomes late, and removes those
   * for which it returns true.
   */
  dispatch(
    place: (item: T) => boolean,
    lookAhead: number,
    now: number,
    givesUp?: (item: T) => boolean,
  ): void;
}

/**
 * Requests of the same rank, the same need for the primary, and either all on
 * time or all late.
 */
interface Lane<T> {
  readonly primaryOnly: boolean;
  readonly priority: number;
  readonly accountPriority: number;
  readonly isLate: boolean;
  /** The requests of each account, oldest first; accounts in order of turns. */
  readonly turns: Map<string, T[]>;
}

function byRank<T>(a: Lane<T>, b: Lane<T>): number {
  return (
    Number(a.isLate) - Number(b.isLate) ||
    a.priority - b.priority ||
    a.accountPriority - b.accountPriority
  );
}

/** Creates an empty queue. */
export function waitQueue<T extends QueuedRequest>(): WaitQueue<T> {
  /** On-time lanes before late ones, then by priority. */
  const lanes: Array<Lane<T>> = [];
  let size = 0;

  function laneOf(item: T, isLate: boolean): Lane<T> {
    const {primaryOnly, priority, accountPriority} = item;
    for (const lane of lanes) {
      if (lane.primaryOnly !== primaryOnly || lane.isLate !== isLate) continue;
      if (lane.priority !== priority) continue;
      if (lane.accountPriority === accountPriority) return lane;
    }
    const rank = {primaryOnly, priority, accountPriority, isLate};
    const lane = {...rank, turns: new Map<string, T[]>()};
    lanes.push(lane);
    lanes.sort(byRank);
    return lane;
  }

  function addTo({turns}: Lane<T>, item: T): void {
    const account = item.account ?? '';
    const items = turns.get(account);
    if (items) items.push(item);
    else turns.set(account, [item]);
  }

  /** Moves requests past their objective to the late lanes. */
  function moveLate(now: number, givesUp: (item: T) => boolean): void {
    for (const lane of [...lanes]) {
      if (lane.isLate) continue;
      for (const [account, items] of lane.turns) {
        while (items[0] && items[0].objectiveAt <= now) {
          const item = items.shift()!;
          if (givesUp(item)) size--;
          else addTo(laneOf(item, true), item);
        }
        if (items.length === 0) lane.turns.delete(account);
      }
    }
  }

  function offerLane(
    {turns}: Lane<T>,
    place: (item: T) => boolean,
    lookAhead: number,
  ): void {
    /** Number of requests of each account that were not placed. */
    const skipped = new Map<string, number>();
    let skippedInAll = 0;
    let isOffered = true;
    while (isOffered) {
      isOffered = false;
      for (const [account, items] of [...turns]) {
        if (skippedInAll >= lookAhead) return;
        const at = skipped.get(account) ?? 0;
        const item = items[at];
        if (!item) continue;
        isOffered = true;
        if (place(item)) {
          take(turns, account, item);
          continue;
        }
        skipped.set(account, at + 1);
        skippedInAll++;
      }
    }
  }

  /** Removes a request that was placed; its account's next turn is the last. */
  function take(turns: Map<string, T[]>, account: string, item: T): void {
    if (!takeOut(turns, account, item)) return;
    const items = turns.get(account);
    if (!items) return;
    turns.delete(account);
    turns.set(account, items);
  }

  function takeOut(turns: Map<string, T[]>, account: string, item: T): boolean {
    const items = turns.get(account);
    const at = items?.indexOf(item) ?? -1;
    if (!items || at < 0) return false;
    items.splice(at, 1);
    if (items.length === 0) turns.delete(account);
    size--;
    return true;
  }

  return {
    get size() {
      return size;
    },
    waiting({primaryOnly, priority}, isLate) {
      let count = 0;
      for (const lane of lanes) {
        if (lane.primaryOnly !== primaryOnly || lane.isLate !== isLate)
          continue;
        if (lane.priority !== priority) continue;
        for (const items of lane.turns.values()) count += items.length;
      }
      return count;
    },
    add(item) {
      addTo(laneOf(item, false), item);
      size++;
    },
    remove(item) {
      for (const {turns} of lanes) {
        if (takeOut(turns, item.account ?? '', item)) return;
      }
    },
    dispatch(place, lookAhead, now, givesUp = () => false) {
      moveLate(now, givesUp);
      for (const lane of lanes) offerLane(lane, place, lookAhead);
    },
  };
}
