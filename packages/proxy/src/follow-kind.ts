/**
 * Follows a kind of objects: lists it once, then watches, and lists again when
 * the history is gone or a watch stays silent.
 */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {
  HistoryGoneError,
  type KindEvent,
  type KindSnapshot,
  type KindStore,
} from '@quetzalreel/object-store';
import type {Log} from './log.js';

/** What a follower works with. */
export interface FollowContext {
  readonly store: KindStore;
  readonly kind: string;
  readonly clock: Clock;
  readonly log: Log;
  /** How long one watch waits, in milliseconds. */
  readonly watchMs: number;
  /** The whole kind, as it was when it was listed. */
  readonly onSnapshot: (snapshot: KindSnapshot) => void;
  readonly onEvents: (events: readonly KindEvent[]) => void;
  /** Tells whether the last call was served; called on each change. */
  readonly onReachabilityChange: (reached: boolean) => void;
}

/** Pause after a call that failed, in milliseconds: the first, and the longest
 * after further ones. Failed calls are paid for as well. */
const RETRY_MS = 100;
const MAX_RETRY_MS = 400;

/** Pause behind changes, in milliseconds: those that come close together, as
 * at a start, are paid for as one call. */
const GATHER_MS = 100;

/** Follows until disposed. */
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
    await clock.sleep(GATHER_MS);
    return changes.revision;
  }

  /** One call; undefined asks for a new list. */
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
