/**
 * Follows all objects of one kind in the store: lists them once, then watches,
 * and lists again when the watched revision is no longer available.
 */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {
  HistoryGoneError,
  type KindEvent,
  type KindSnapshot,
  type KindStore,
} from '@quetzalreel/object-store';
import type {Log} from './log.js';

/** Dependencies and callbacks of a follower. */
export interface FollowContext {
  readonly store: KindStore;
  readonly kind: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Duration of one watch, in milliseconds. */
  readonly watchMs: number;
  /** Called with all objects after each listing. */
  readonly onSnapshot: (snapshot: KindSnapshot) => void;
  readonly onEvents: (events: readonly KindEvent[]) => void;
  /** Called when the store becomes reachable or unreachable. */
  readonly onReachabilityChange: (reached: boolean) => void;
}

/**
 * Delay after a failed call, in milliseconds: grows by RETRY_MS with each
 * failure up to MAX_RETRY_MS, since failed calls are billed as well.
 */
const RETRY_MS = 100;
const MAX_RETRY_MS = 400;

/**
 * Delay before the next watch after changes, in milliseconds: changes in quick
 * succession, as at a start, are then billed as one call.
 */
const BATCH_MS = 100;

/** Follows the kind until disposed. */
export function followKind(context: FollowContext): Disposable {
  const {store, kind, clock, log, watchMs} = context;
  let disposed = false;
  let reached: boolean | undefined;
  let failures = 0;

  function note(isReached: boolean, why?: string): void {
    failures = isReached ? 0 : failures + 1;
    if (reached === isReached) return;
    reached = isReached;
    if (isReached) log.info({event: 'storeReached', kind});
    else log.warn({event: 'storeLost', kind, why});
    context.onReachabilityChange(isReached);
  }

  async function list(): Promise<number> {
    const snapshot = await store.list(kind);
    note(true);
    if (!disposed) context.onSnapshot(snapshot);
    return snapshot.revision;
  }

  async function watch(revision: number): Promise<number> {
    const changes = await store.watch(kind, revision, watchMs);
    note(true);
    if (disposed || changes.events.length === 0) return changes.revision;
    context.onEvents(changes.events);
    await clock.sleep(BATCH_MS);
    return changes.revision;
  }

  /** Makes one call; undefined requests a new list. */
  async function step(
    revision: number | undefined,
  ): Promise<number | undefined> {
    try {
      return revision === undefined ? await list() : await watch(revision);
    } catch (err) {
      if (err instanceof HistoryGoneError) {
        log.info({event: 'historyGone', kind, revision});
        return undefined;
      }
      note(false, messageOf(err));
      await clock.sleep(Math.min(MAX_RETRY_MS, RETRY_MS * failures));
      return revision;
    }
  }

  async function run(): Promise<void> {
    let revision: number | undefined;
    while (!disposed) revision = await step(revision);
  }

  void run();
  return {
    dispose() {
      disposed = true;
    },
  };
}
