/** The instances as they list themselves in the store. */
import {
  Freshness,
  type KindObject,
  type KindStore,
  RevisionConflictError,
} from '@quetzalreel/object-store';

/** The kind of the instances' entries. */
export const INSTANCE_KIND = 'instances';

/** Where an instance is. */
export interface InstanceLocation {
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  /** Address of its relay, `host:port`. */
  readonly relay: string;
  readonly dataCentre: string;
}

/** An entry as it was read. */
export interface ListedInstance extends InstanceLocation {
  readonly instance: string;
  /** Rises whenever the instance renews its entry. */
  readonly revision: number;
}

/** Reads an entry; undefined when it can't be read. */
export function parseListedInstance({
  name,
  value,
  revision,
}: KindObject): ListedInstance | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {address, relay, dataCentre} = value as Partial<InstanceLocation>;
  for (const text of [address, relay, dataCentre]) {
    if (typeof text !== 'string') return undefined;
  }
  return {
    instance: name,
    address: address!,
    relay: relay!,
    dataCentre: dataCentre!,
    revision,
  };
}

/** This instance's place in the list. */
export interface InstanceRegistration {
  /** Writes the entry anew, so that the others see that it is still there. */
  renew(whereabouts: InstanceLocation): Promise<void>;
  /** Removes the entry; a later `renew` does nothing. */
  deregister(): Promise<void>;
}

/** An instance that is not listed yet. */
export function instanceRegistration(
  store: KindStore,
  instance: string,
): InstanceRegistration {
  let revision: number | undefined;
  let hasLeft = false;
  /** Makes each renewal differ from the one before. */
  let renewal = 0;

  async function write(value: unknown): Promise<KindObject> {
    if (revision !== undefined) {
      return store.replace(INSTANCE_KIND, instance, value, revision);
    }
    return store.create(INSTANCE_KIND, instance, value);
  }

  return {
    async renew({address, relay, dataCentre}) {
      if (hasLeft) return;
      const value = {address, relay, dataCentre, renewal: ++renewal};
      try {
        revision = (await write(value)).revision;
      } catch (err) {
        if (!(err instanceof RevisionConflictError)) throw err;
        // An entry of an earlier start is replaced; one that others have
        // removed is made anew.
        const known = err.current ?? (await store.get(INSTANCE_KIND, instance));
        revision = known?.revision;
        revision = (await write(value)).revision;
      }
    },
    async deregister() {
      hasLeft = true;
      if (revision === undefined) return;
      await store.remove(INSTANCE_KIND, instance, revision);
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

/** The instances that are listed, but for those that can't be read. */
export async function listInstances(
  store: KindStore,
): Promise<ListedInstance[]> {
  const {objects} = await store.list(INSTANCE_KIND, Freshness.Stale);
  const entries: ListedInstance[] = [];
  for (const object of objects) {
    const entry = parseListedInstance(object);
    if (entry) entries.push(entry);
  }
  return entries;
}
