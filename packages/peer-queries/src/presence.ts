/**
 * Determines which of the registered instances are alive. Entries in the store
 * don't expire, and clocks differ between instances: an instance is considered
 * alive while its entry keeps changing, timed by the reader's own clock. A
 * restored store lists entries as they were: one of an instance that has left
 * since may be back, and one that is alive may be missing until it is written
 * again.
 */
import {compareVersions} from '@quetzalreel/object-store';
import type {ListedInstance} from './instance-registry.js';

/** An entry, and when it was last seen to change. */
interface ObservedEntry {
  readonly entry: ListedInstance;
  /** By the reader's monotonic clock, in milliseconds. */
  readonly changedAt: number;
  /** Whether the last list that was read contained it. */
  readonly isListed: boolean;
  /** When it was found missing; undefined while it counts as listed. */
  readonly leftAt: number | undefined;
}

/**
 * How long a restored store may lack the entry of an instance that is alive, in
 * milliseconds: instances write their entries again within seconds.
 */
const ENTRY_RETURN_MS = 10_000;
/**
 * How long an instance that has left is remembered, in milliseconds: longer than
 * the copies are old from which a store is restored.
 */
const LEFT_MS = 60_000;

/** The observed entries, by instance name. */
export type Presence = ReadonlyMap<string, ObservedEntry>;

/** State before the first read of the registry. */
export const NO_INSTANCES: Presence = new Map();

/**
 * Returns the state after `entries` were read at `now`. The store was last
 * restored at `restoredAt`, -Infinity for never.
 */
export function updatePresence(
  presence: Presence,
  entries: readonly ListedInstance[],
  now: number,
  restoredAt = -Infinity,
): Presence {
  const next = new Map<string, ObservedEntry>();
  for (const entry of entries) {
    const observed = observe(entry, presence.get(entry.instance), now);
    next.set(entry.instance, observed);
  }
  const mayReturn = now - restoredAt < ENTRY_RETURN_MS;
  for (const [name, previous] of presence) {
    if (next.has(name)) continue;
    const leftAt = previous.leftAt ?? (mayReturn ? undefined : now);
    if (leftAt !== undefined && now - leftAt >= LEFT_MS) continue;
    next.set(name, {...previous, isListed: false, leftAt});
  }
  return next;
}

function observe(
  entry: ListedInstance,
  previous: ObservedEntry | undefined,
  now: number,
): ObservedEntry {
  const isListed = true;
  if (!previous) return {entry, changedAt: now, isListed, leftAt: undefined};
  // Unchanged, also if an older copy of the store shows it again.
  if (entry.revision === previous.entry.revision)
    return {...previous, entry, isListed};
  // A stale read can return an earlier revision of an entry.
  if (compareVersions(entry, previous.entry) < 0)
    return {...previous, isListed};
  return {entry, changedAt: now, isListed, leftAt: undefined};
}

/** The instances whose entries changed within `timeoutMs`. */
export function presentInstances(
  presence: Presence,
  now: number,
  timeoutMs: number,
): ListedInstance[] {
  const present: ListedInstance[] = [];
  for (const {entry, changedAt, leftAt} of presence.values()) {
    if (leftAt === undefined && now - changedAt <= timeoutMs)
      present.push(entry);
  }
  return present;
}

/**
 * The entries of unresponsive instances that `instance` has to remove. An
 * entry is removed only by the present instance that follows it by name, so
 * that the instances of a large fleet don't all call the store at once.
 */
export function entriesToRemove(
  presence: Presence,
  instance: string,
  now: number,
  timeoutMs: number,
): ListedInstance[] {
  const present = presentInstances(presence, now, timeoutMs);
  const names = present.map(entry => entry.instance).sort();
  const unresponsive: ListedInstance[] = [];
  for (const {entry, changedAt, isListed, leftAt} of presence.values()) {
    if (!isListed) continue;
    if (leftAt === undefined && now - changedAt <= timeoutMs) continue;
    const remover = names.find(name => name > entry.instance) ?? names[0];
    if (remover === instance) unresponsive.push(entry);
  }
  return unresponsive;
}
