/** The instances as they list themselves in the store. */
import {
  Freshness,
  type KindObject,
  type KindStore,
  RevisionConflictError,
} from '@quetzalreel/object-store';

/** The kind of the instances' entries. */
export const INSTANCE_KIND = 'instances';

/** An instance that others can ask. */
export interface RosterEntry {
  readonly instance: string;
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Reads an entry; undefined when it can't be read. */
export function readRosterEntry({
  name,
  value,
}: KindObject): RosterEntry | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {address, dataCentre} = value as Partial<RosterEntry>;
  if (typeof address !== 'string' || typeof dataCentre !== 'string') {
    return undefined;
  }
  return {instance: name, address, dataCentre};
}

/** Writes this instance's entry, over one of an earlier start. */
export async function enrol(
  store: KindStore,
  entry: RosterEntry,
): Promise<void> {
  const {instance, address, dataCentre} = entry;
  const value = {address, dataCentre};
  try {
    await store.create(INSTANCE_KIND, instance, value);
  } catch (err) {
    if (!(err instanceof RevisionConflictError)) throw err;
    const known = err.current ?? (await store.get(INSTANCE_KIND, instance));
    const old = known && readRosterEntry(known);
    if (!known || old?.address === address) return;
    await store.replace(INSTANCE_KIND, instance, value, known.revision);
  }
}

/** The instances that are listed, but for those that can't be read. */
export async function readRoster(store: KindStore): Promise<RosterEntry[]> {
  const {objects} = await store.list(INSTANCE_KIND, Freshness.Stale);
  const entries: RosterEntry[] = [];
  for (const object of objects) {
    const entry = readRosterEntry(object);
    if (entry) entries.push(entry);
  }
  return entries;
}
