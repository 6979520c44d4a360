/** Registry of the instances; each one maintains its entry in the store. */
import {parseAddress} from '@quetzalreel/common';
import {
  Freshness,
  type KindObject,
  type KindStore,
  RevisionConflictError,
  type StoreVersion,
  isRevision,
  scalarsOf,
} from '@quetzalreel/object-store';

/** Kind of the instances' entries in the store. */
export const INSTANCE_KIND = 'instances';

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

/** Maintains this instance's entry. */
export interface InstanceRegistration {
  /** Writes the entry again, to show peers that this instance is alive. */
  renew(location: InstanceLocation): Promise<void>;
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
  /** Counter written to the entry so that each renewal changes it. */
  let renewal = 0;

  async function write(value: unknown): Promise<KindObject> {
    if (revision !== undefined) {
      return store.replace(INSTANCE_KIND, instance, value, revision);
    }
    return store.create(INSTANCE_KIND, instance, value);
  }

  return {
    async renew({address, relay, dataCentre, facts}) {
      if (isDeregistered) return;
      const value = {address, relay, dataCentre, facts, renewal: ++renewal};
      try {
        revision = (await write(value)).revision;
      } catch (err) {
        if (!(err instanceof RevisionConflictError)) throw err;
        // An entry from before a restart is replaced; an entry that a peer
        // has removed is created again.
        const current =
          err.current ?? (await store.get(INSTANCE_KIND, instance));
        revision = current?.revision;
        revision = (await write(value)).revision;
      }
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

/**
 * Lists the registered instances; leaves out malformed entries, and calls
 * `onMalformed` with the name of each.
 */
export async function listInstances(
  store: KindStore,
  onMalformed: (name: string) => void,
): Promise<ListedInstance[]> {
  const {objects, era} = await store.list(INSTANCE_KIND, Freshness.Stale);
  const entries: ListedInstance[] = [];
  for (const object of objects) {
    const entry = parseListedInstance(object, era);
    if (entry) entries.push(entry);
    else onMalformed(object.name);
  }
  return entries;
}
