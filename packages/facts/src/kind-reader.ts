/**
 * Reads all objects of one kind from the store while this instance is to read:
 * lists them once, then watches, and lists again when the watched revision is no
 * longer available or the store was restored. It also lists after a failed call:
 * a watch would show a restore only when it ends.
 */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {
  HistoryGoneError,
  type KindEvent,
  type KindStore,
  type StoreVersion,
} from '@quetzalreel/object-store';

/** What one call returned, at a version of the store. */
export interface KindRead extends StoreVersion {
  /** Whether `events` list all objects. */
  readonly isAll: boolean;
  /** Time from the call to its answer, in milliseconds. */
  readonly askedMs: number;
  readonly events: readonly KindEvent[];
}

/** Dependencies and callbacks of a reader. */
export interface KindReaderContext {
  readonly store: KindStore;
  readonly kind: string;
  readonly clock: Clock;
  /** Duration of one watch, in milliseconds. */
  readonly watchMs: number;
  /** Whether this instance is to read now. */
  readonly isWanted: () => boolean;
  /** Version of the copy, from which to watch; undefined for none. */
  readonly copyVersion: () => StoreVersion | undefined;
  readonly onRead: (read: KindRead) => void;
  /** Called when the store begins or ceases to answer. */
  readonly onReach: (isReached: boolean, why?: string) => void;
  readonly onHistoryGone: (since: StoreVersion) => void;
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

/** A running reader. */
export interface KindReader extends Disposable {
  /** Begins to read if that has become wanted. */
  check(): void;
}

/** Reads the kind until disposed. */
export function kindReader(context: KindReaderContext): KindReader {
  const {store, kind, clock, watchMs, onRead} = context;
  let disposed = false;
  let isReached: boolean | undefined;
  let failures = 0;
  let isReading = false;

  function note(reached: boolean, why?: string): void {
    failures = reached ? 0 : failures + 1;
    if (isReached === reached) return;
    isReached = reached;
    context.onReach(reached, why);
  }

  async function list(): Promise<StoreVersion> {
    const askedAt = clock.now();
    const {objects, era, revision} = await store.list(kind);
    note(true);
    const events = objects.map(object => ({object, deleted: false}));
    const askedMs = clock.now() - askedAt;
    if (!disposed) onRead({isAll: true, era, revision, events, askedMs});
    return {era, revision};
  }

  async function watch(since: StoreVersion): Promise<StoreVersion> {
    const askedAt = clock.now();
    const changes = await store.watch(kind, since.revision, watchMs);
    const {events, era, revision} = changes;
    if (era !== since.era) throw new HistoryGoneError(kind, since.revision);
    note(true);
    if (disposed || events.length === 0) return {era, revision};
    const askedMs = clock.now() - askedAt;
    onRead({isAll: false, era, revision, events, askedMs});
    await clock.sleep(BATCH_MS);
    return {era, revision};
  }

  /** Makes one call; undefined requests a new list. */
  async function step(
    since: StoreVersion | undefined,
  ): Promise<StoreVersion | undefined> {
    try {
      return since === undefined ? await list() : await watch(since);
    } catch (err) {
      if (err instanceof HistoryGoneError && since) {
        context.onHistoryGone(since);
        return undefined;
      }
      note(false, messageOf(err));
      await clock.sleep(Math.min(MAX_RETRY_MS, RETRY_MS * failures));
      return undefined;
    }
  }

  async function readWhileWanted(): Promise<void> {
    isReading = true;
    // What the others reported meanwhile needs no reading again.
    let since = context.copyVersion();
    isReached = undefined;
    while (!disposed && context.isWanted()) since = await step(since);
    isReading = false;
  }

  return {
    check() {
      if (!isReading && !disposed && context.isWanted()) void readWhileWanted();
    },
    dispose() {
      disposed = true;
    },
  };
}
