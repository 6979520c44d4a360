/**
 * Follows the list of instances in the store, and maintains the entry of this
 * one. Reads may be answered with data that is seconds old, so a list counts as
 * known only if it is at least as new as the own entry.
 */
import {
  type Clock,
  type Disposable,
  disposableStore,
  hashFraction,
  messageOf,
} from '@quetzalreel/common';
import {
  Freshness,
  type KindStore,
  type StoreVersion,
  compareVersions,
} from '@quetzalreel/object-store';
import {
  type InstanceLocation,
  type InstanceSnapshot,
  type ListedInstance,
  NO_INSTANCES,
  entriesToRemove,
  instanceRegistration,
  listInstances,
  presentInstances,
  removeEntry,
  updatePresence,
} from '@quetzalreel/peer-queries';
import {TIMES} from './defaults.js';
import {lineLimit} from './line-limit.js';
import type {Log} from './log.js';

/** Lines about unreadable entries: a few at once, then one each minute. */
const ENTRY_LINES = {burst: 10, intervalMs: 60_000};

/** Dependencies of a list. */
export interface InstanceListContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: KindStore;
  /** What this instance's entry says. */
  readonly location: () => InstanceLocation;
  /** Called when it can be used, becomes known or settled, or instances change. */
  readonly onChange: () => void;
}

/** The instances that are present. */
export interface InstanceList extends Disposable {
  /**
   * Whether connections may be planned by it: it is known, or the store did not
   * take the own entry or show a list in time.
   */
  readonly isUsable: boolean;
  /**
   * Whether a list was read that is at least as new as the own entry. Of two
   * instances that start together, the one that wrote later then sees the other.
   */
  readonly isKnown: boolean;
  /**
   * Whether it was read long enough after the own entry was written: instances
   * that started together with this one are listed by then.
   */
  readonly isSettled: boolean;
  /** Whether this instance had an entry of an earlier life when it started. */
  readonly wasListedAtStart: boolean;
  /** When the entry was last written, in monotonic milliseconds. */
  readonly renewedAt: number;
  /** The present instances without this one. */
  readonly present: readonly ListedInstance[];
  /** When the store was last restored; -Infinity for never. Monotonic ms. */
  readonly restoredAt: number;
  /**
   * Reads the list from the store itself unless it is settled. Resolves to whether
   * it has all instances that have an entry by now.
   */
  confirm(): Promise<boolean>;
  /** Reads the list and renews the entry until disposed. */
  run(): Promise<void>;
  /** Removes the entry. Rejects with the store's errors. */
  leave(): Promise<void>;
}

function isAsNewAs(a: StoreVersion, b: StoreVersion): boolean {
  return compareVersions(a, b) >= 0;
}

/** Names and relay addresses of instances as one string, to detect changes. */
function signatureOf(entries: readonly ListedInstance[]): string {
  return entries
    .map(({instance, relay}) => `${instance} ${relay}`)
    .sort()
    .join(',');
}

/** Creates a list that is not read yet. */
export function instanceList(context: InstanceListContext): InstanceList {
  const {instance, clock, log, store} = context;
  const owned = disposableStore();
  const registration = instanceRegistration(store, instance);
  let presence = NO_INSTANCES;
  let present: readonly ListedInstance[] = [];
  /** The newest version of the store whose list was read. */
  let newestRead: StoreVersion | undefined;
  /** The store when it first took the own entry, and when it last did. */
  let firstEntry: {version: StoreVersion; at: number} | undefined;
  let lastEntry: StoreVersion | undefined;
  let renewedAt = -Infinity;
  let restoredAt = -Infinity;
  let isUsable = false;
  let isKnown = false;
  let isSettled = false;
  let wasListedAtStart = false;
  /** What the last call of `onChange` rested on. */
  let notedState = '';
  const entryLines = lineLimit(clock, ENTRY_LINES);

  function noteUnreadable(other: string): void {
    const before = entryLines.ask();
    if (before === undefined) return;
    log.warn({event: 'instanceEntryUnreadable', other, before});
  }

  async function renew(): Promise<void> {
    const now = clock.now();
    if (now - renewedAt < TIMES.instanceEntryRenewMs) return;
    const written = await registration.renew(context.location());
    renewedAt = now;
    if (!written) return;
    lastEntry = written.version;
    firstEntry ??= {version: written.version, at: clock.now()};
    wasListedAtStart = written.wasListed;
  }

  /** Whether a list of this version contains the own entry. */
  function hasOwnEntry(list: StoreVersion): boolean {
    return firstEntry !== undefined && isAsNewAs(list, firstEntry.version);
  }

  /**
   * Reads a copy of the list that may be old once it is settled, and while the store
   * does not take the own entry.
   */
  function readList(): Promise<InstanceSnapshot> {
    const mayBeOld = isSettled || !firstEntry;
    const freshness = mayBeOld ? Freshness.Stale : Freshness.Current;
    return listInstances(store, freshness, noteUnreadable);
  }

  /** Resolves to whether the store has answered. */
  async function read(): Promise<boolean> {
    const askedAt = clock.now();
    let isRead = false;
    try {
      noteList(await readList(), askedAt);
      isRead = true;
    } catch (err) {
      log.warn({event: 'instancesNotRead', why: messageOf(err)});
    }
    notePresent();
    return isRead;
  }

  function noteList(list: InstanceSnapshot, askedAt: number): void {
    const {era, revision, entries} = list;
    // A copy may be older than what was read before.
    if (newestRead && !isAsNewAs(list, newestRead)) return;
    newestRead = {era, revision};
    presence = updatePresence(presence, entries, clock.now(), restoredAt);
    if (!hasOwnEntry(list)) return;
    isKnown = true;
    isUsable = true;
    // Those that started together have written their entries by now.
    const isLater = askedAt - firstEntry!.at >= TIMES.firstInstanceListPollMs;
    isSettled ||= wasListedAtStart || isLater;
    const isListed = entries.some(entry => entry.instance === instance);
    if (!isListed && isAsNewAs(list, lastEntry!)) renewedAt = -Infinity;
  }

  async function tryRenew(): Promise<void> {
    try {
      await renew();
    } catch (err) {
      log.warn({event: 'instanceNotListed', why: messageOf(err)});
    }
  }

  async function refresh(): Promise<void> {
    await tryRenew();
    await read();
    // A list without the own entry shows that it was removed.
    await tryRenew();
  }

  /** Writes the entry again: the store may have lost it. */
  async function noteRestored(): Promise<void> {
    restoredAt = clock.now();
    if (renewedAt === -Infinity) return;
    renewedAt = -Infinity;
    const share = hashFraction(`renew/${instance}`);
    await clock.sleep(share * TIMES.renewSpreadMs);
    if (!owned.disposed) await tryRenew();
  }

  function notePresent(): void {
    present = presentInstances(
      presence,
      clock.now(),
      TIMES.instanceEntryExpiryMs,
    ).filter(entry => entry.instance !== instance);
    const state = [isUsable, isKnown, isSettled, signatureOf(present)].join();
    if (!isUsable || state === notedState) return;
    notedState = state;
    context.onChange();
  }

  /** Removes the entries of instances whose renewal is overdue. */
  async function removeExpired(): Promise<void> {
    const now = clock.now();
    const expired = entriesToRemove(
      presence,
      instance,
      now,
      TIMES.instanceEntryExpiryMs,
    );
    for (const entry of expired) {
      log.info({event: 'silentInstanceRemoved', other: entry.instance});
      await removeEntry(store, entry);
    }
  }

  async function confirm(): Promise<boolean> {
    if (isSettled) return true;
    return firstEntry !== undefined && (await read());
  }

  /** Without the store connections are planned by what is known. */
  function useAnyList(): void {
    isUsable = true;
    notePresent();
  }

  async function run(): Promise<void> {
    owned.add(clock.after(TIMES.firstInstanceListMs, useAnyList));
    await refresh();
    useAnyList();
    await clock.sleep(TIMES.firstInstanceListPollMs);
    while (!owned.disposed) {
      await refresh();
      await removeExpired().catch(err =>
        log.warn({event: 'silentInstanceNotRemoved', why: messageOf(err)}),
      );
      const isListed = renewedAt > -Infinity && isSettled;
      await clock.sleep(
        isListed ? TIMES.instanceListPollMs : TIMES.firstInstanceListPollMs,
      );
    }
  }

  owned.add(store.era.onRestored(() => void noteRestored()));
  return {
    run,
    confirm,
    get isUsable() {
      return isUsable;
    },
    get isKnown() {
      return isKnown;
    },
    get isSettled() {
      return isSettled;
    },
    get wasListedAtStart() {
      return wasListedAtStart;
    },
    get renewedAt() {
      return renewedAt;
    },
    get present() {
      return present;
    },
    get restoredAt() {
      return restoredAt;
    },
    leave: () => registration.deregister(),
    dispose: () => owned.dispose(),
  };
}
