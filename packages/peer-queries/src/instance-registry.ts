/** Registry of the instances; each one maintains its entry in the store. */
import {randomInt} from 'node:crypto';
import {parseAddress} from '@quetzalreel/common';
import {
  Freshness,
  type KindObject,
  type KindStore,
  type ReadObject,
  RevisionConflictError,
  type StoreVersion,
  isRevision,
  scalarsOf,
} from '@quetzalreel/object-store';

/** Kind of the instances' entries in the store. */
export const INSTANCE_KIND = 'instances';

/** Bound of the counter in the first entry of a life. */
const MAX_FIRST_RENEWAL = 2 ** 31;

/** What is used of an entry. */
export const INSTANCE_SELECTION = scalarsOf(
  'address',
  'relay',
  'dataCentre',
  'facts',
);

/** Addresses and data centre of an instance. */
export interface InstanceLocation {
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  /** Address of its relay, `host:port`. */
  readonly relay: string;
  readonly dataCentre: string;
  /**
   * Version of the messages by which it spreads facts; 0 for an instance of a
   * build that does not.
   */
  readonly facts: number;
}

/**
 * A registry entry. Its version, the era in which it was read and its revision,
 * rises whenever the instance renews it.
 */
export interface ListedInstance extends InstanceLocation, StoreVersion {
  readonly instance: string;
}

/** Parses an entry; undefined if it is malformed. */
export function parseListedInstance(
  {name, value, revision}: KindObject,
  era: number,
): ListedInstance | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {address, relay, dataCentre, facts} =
    value as Partial<InstanceLocation>;
  for (const text of [address, relay, dataCentre]) {
    if (typeof text !== 'string') return undefined;
  }
  if (!parseAddress(address!) || !parseAddress(relay!)) return undefined;
  return {
    instance: name,
    address: address!,
    relay: relay!,
    dataCentre: dataCentre!,
    facts: isRevision(facts) ? facts : 0,
    era,
    revision,
  };
}

/** The result of writing an entry. */
export interface WrittenEntry {
  /** The store when it took the entry: a list at least as new contains it. */
  readonly version: StoreVersion;
  /** Whether an earlier life of this instance had left one. */
  readonly wasListed: boolean;
}

/** Maintains this instance's entry. */
export interface InstanceRegistration {
  /**
   * Writes the entry again, to show peers that this instance is alive. Resolves to
   * undefined once the entry was removed for good.
   */
  renew(location: InstanceLocation): Promise<WrittenEntry | undefined>;
  /** Removes the entry; a later `renew` does nothing. */
  deregister(): Promise<void>;
}

/** Creates the registration of an instance that has no entry yet. */
export function instanceRegistration(
  store: KindStore,
  instance: string,
): InstanceRegistration {
  let revision: number | undefined;
  let isDeregistered = false;
  /**
   * Counter written to the entry so that each renewal changes it, also the first one
   * of another life.
   */
  let renewal = randomInt(MAX_FIRST_RENEWAL);
  let attempts = 0;
  let wasListed = false;

  async function write(value: unknown): Promise<ReadObject> {
    if (revision !== undefined) {
      return store.replace(INSTANCE_KIND, instance, value, revision);
    }
    return store.create(INSTANCE_KIND, instance, value);
  }

  return {
    async renew({address, relay, dataCentre, facts}) {
      if (isDeregistered) return undefined;
      const value = {address, relay, dataCentre, facts, renewal: ++renewal};
      attempts++;
      let written: ReadObject;
      try {
        written = await write(value);
      } catch (err) {
        if (!(err instanceof RevisionConflictError)) throw err;
        // An entry from before a restart is replaced; an entry that a peer
        // has removed is created again.
        const current =
          err.current ?? (await store.get(INSTANCE_KIND, instance));
        // Later it may be one that was written here without an answer.
        wasListed ||= attempts === 1 && current !== undefined;
        revision = current?.revision;
        written = await write(value);
      }
      ({revision} = written);
      return {
        version: {era: written.era, revision: written.revision},
        wasListed,
      };
    },
    async deregister() {
      isDeregistered = true;
      if (revision === undefined) return;
      try {
        await store.remove(INSTANCE_KIND, instance, revision);
      } catch (err) {
        // A restored store has an earlier revision of the entry.
        if (!(err instanceof RevisionConflictError) || !err.current) throw err;
        await store.remove(INSTANCE_KIND, instance, err.current.revision);
      }
    },
  };
}

/** Removes an entry unless its instance has renewed it. */
export async function removeEntry(
  store: KindStore,
  {instance, revision}: ListedInstance,
): Promise<void> {
  try {
    await store.remove(INSTANCE_KIND, instance, revision);
  } catch (err) {
    if (!(err instanceof RevisionConflictError)) throw err;
  }
}

/** The registered instances, as the store had them at a version. */
export interface InstanceSnapshot extends StoreVersion {
  readonly entries: readonly ListedInstance[];
}

/**
 * Lists the registered instances; leaves out malformed entries, and calls
 * `onMalformed` with the name of each.
 */
export async function listInstances(
  store: KindStore,
  freshness: Freshness,
  onMalformed: (name: string) => void,
): Promise<InstanceSnapshot> {
  const list = await store.list(INSTANCE_KIND, freshness);
  const {objects, era, revision} = list;
  const entries: ListedInstance[] = [];
  for (const object of objects) {
    const entry = parseListedInstance(object, era);
    if (entry) entries.push(entry);
    else onMalformed(object.name);
  }
  return {era, revision, entries};
}
