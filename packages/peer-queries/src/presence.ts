/**
 * Determines which of the registered instances are alive. Entries in the store
 * don't expire, and clocks differ between instances: an instance is considered
 * alive while its entry keeps changing, timed by the reader's own clock.
 */
import type {ListedInstance} from './instance-registry.js';

/** An entry, and when it was last seen to change. */
interface ObservedEntry {
  readonly entry: ListedInstance;
  /** By the reader's monotonic clock, in milliseconds. */
  readonly changedAt: number;
}

/** The observed entries, by instance name. */
export type Presence = ReadonlyMap<string, ObservedEntry>;

/** State before the first read of the registry. */
export const NO_INSTANCES: Presence = new Map();

/** Returns the state after `entries` were read at `now`. */
export function updatePresence(
  presence: Presence,
  entries: readonly ListedInstance[],
  now: number,
): Presence {
  const next = new Map<string, ObservedEntry>();
  for (const entry of entries) {
    const previous = presence.get(entry.instance);
    // A stale read can return an earlier revision of an entry.
    const isNewer = !previous || entry.revision > previous.entry.revision;
    next.set(entry.instance, isNewer ? {entry, changedAt: now} : previous);
  }
  return next;
}

/** The instances whose entries changed within `timeoutMs`. */
export function presentInstances(
  presence: Presence,
  now: number,
  timeoutMs: number,
): ListedInstance[] {
  const present: ListedInstance[] = [];
  for (const {entry, changedAt} of presence.values()) {
    if (now - changedAt <= timeoutMs) present.push(entry);
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
  for (const {entry, changedAt} of presence.values()) {
    if (now - changedAt <= timeoutMs) continue;
    const remover = names.find(name => name > entry.instance) ?? names[0];
    if (remover === instance) unresponsive.push(entry);
  }
  return unresponsive;
}
