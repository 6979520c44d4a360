/**
 * Follows the list of instances in the store, and maintains the entry of this
 * one.
 */
import {
  type Clock,
  type Disposable,
  disposableStore,
  hashFraction,
  messageOf,
} from '@quetzalreel/common';
import type {KindStore} from '@quetzalreel/object-store';
import {
  type InstanceLocation,
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
  /** Called after the first read, and when instances have joined or left. */
  readonly onChange: () => void;
}

/** The instances that are present. */
export interface InstanceList extends Disposable {
  /**
   * Whether the list was requested at least once, with or without success.
   */
  readonly wasRead: boolean;
  /** Whether the store has answered such a request. */
  readonly isKnown: boolean;
  /** Whether the first answer contained this instance, from an earlier life. */
  readonly wasListedAtStart: boolean;
  /** When the entry was last written, in monotonic milliseconds. */
  readonly renewedAt: number;
  /** The present instances without this one. */
  readonly present: readonly ListedInstance[];
  /** When the store was last restored; -Infinity for never. Monotonic ms. */
  readonly restoredAt: number;
  /** Reads the list and renews the entry until disposed. */
  run(): Promise<void>;
  /** Removes the entry. Rejects with the store's errors. */
  leave(): Promise<void>;
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
  let renewedAt = -Infinity;
  let restoredAt = -Infinity;
  let wasRead = false;
  let isKnown = false;
  let wasKnown = false;
  let wasListedAtStart = false;
  const entryLines = lineLimit(clock, ENTRY_LINES);

  function noteUnreadable(other: string): void {
    const before = entryLines.ask();
    if (before === undefined) return;
    log.warn({event: 'instanceEntryUnreadable', other, before});
  }

  async function renew(): Promise<void> {
    const now = clock.now();
    if (now - renewedAt < TIMES.instanceEntryRenewMs) return;
    await registration.renew(context.location());
    renewedAt = now;
  }

  async function read(): Promise<void> {
    try {
      const listed = await listInstances(store, noteUnreadable);
      if (!isKnown)
        wasListedAtStart = listed.some(entry => entry.instance === instance);
      isKnown = true;
      presence = updatePresence(presence, listed, clock.now(), restoredAt);
    } catch (err) {
      log.warn({event: 'instancesNotRead', why: messageOf(err)});
    }
    notePresent();
  }

  async function tryRenew(): Promise<void> {
    try {
      await renew();
    } catch (err) {
      log.warn({event: 'instanceNotListed', why: messageOf(err)});
    }
  }

  async function refresh(): Promise<void> {
    await read();
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
    const before = present;
    const isFirst = !wasRead || isKnown !== wasKnown;
    wasRead = true;
    wasKnown = isKnown;
    present = presentInstances(
      presence,
      clock.now(),
      TIMES.instanceEntryExpiryMs,
    ).filter(entry => entry.instance !== instance);
    if (!isFirst && signatureOf(present) === signatureOf(before)) return;
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

  async function run(): Promise<void> {
    await refresh();
    await clock.sleep(TIMES.firstInstanceListPollMs);
    while (!owned.disposed) {
      await refresh();
      await removeExpired().catch(err =>
        log.warn({event: 'silentInstanceNotRemoved', why: messageOf(err)}),
      );
      const isListed = renewedAt > -Infinity;
      await clock.sleep(
        isListed ? TIMES.instanceListPollMs : TIMES.firstInstanceListPollMs,
      );
    }
  }

  owned.add(store.era.onRestored(() => void noteRestored()));
  return {
    run,
    get wasRead() {
      return wasRead;
    },
    get isKnown() {
      return isKnown;
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
