/**
 * Which of the listed instances are still there. Nothing in the store expires
 * by itself, and clocks differ between instances: an instance counts as there
 * while its entry changes, by the reader's own clock.
 */
import type {ListedInstance} from './instance-registry.js';

/** When an entry was last seen to change. */
interface Sighting {
  readonly entry: ListedInstance;
  /** Monotonic milliseconds of the reader. */
  readonly changedAt: number;
}

/** What is known of the listed instances, by name. */
export type Presence = ReadonlyMap<string, Sighting>;

/** Nothing has been read yet. */
export const NO_INSTANCES: Presence = new Map();

/** What is known after the list was read at `now`. */
export function updatePresence(
  presence: Presence,
  entries: readonly ListedInstance[],
  now: number,
): Presence {
  const next = new Map<string, Sighting>();
  for (const entry of entries) {
    const known = presence.get(entry.instance);
    // A list that may be old can show an entry as it was before.
    const isNewer = !known || entry.revision > known.entry.revision;
    next.set(entry.instance, isNewer ? {entry, changedAt: now} : known);
  }
  return next;
}

/** The instances whose entries changed within `silentMs`. */
export function presentInstances(
  presence: Presence,
  now: number,
  silentMs: number,
): ListedInstance[] {
  const present: ListedInstance[] = [];
  for (const {entry, changedAt} of presence.values()) {
    if (now - changedAt <= silentMs) present.push(entry);
  }
  return present;
}

/**
 * The silent instances whose entries `instance` is to remove: each has one
 * remover, the next one present by name, so that a large fleet does not ask
 * the store all at once.
 */
export function entriesToRemove(
  presence: Presence,
  instance: string,
  now: number,
  silentMs: number,
): ListedInstance[] {
  const present = presentInstances(presence, now, silentMs);
  const names = present.map(entry => entry.instance).sort();
  const silent: ListedInstance[] = [];
  for (const {entry, changedAt} of presence.values()) {
    if (now - changedAt <= silentMs) continue;
    const remover = names.find(name => name > entry.instance) ?? names[0];
    if (remover === instance) silent.push(entry);
  }
  return silent;
}
