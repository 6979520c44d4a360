/**
 * The lease whose holder may order changes of primary: one object in the store,
 * replaced conditionally on its revision. Each ordered change increases its
 * fence, so a delayed order is refused after a newer one.
 */
import {
  Freshness,
  type KindStore,
  type ReadObject,
  RevisionConflictError,
  SCALAR,
  type StoreEra,
  type StoreVersion,
  isRevision,
  listOf,
  recordOf,
  scalarsOf,
} from '@quetzalreel/object-store';
import {
  type ChangeRecord,
  isChangeRecord,
  isPlannedChange,
} from './change-records.js';

/** A change of primary that the holder has begun. */
export interface PlannedChange {
  readonly group: string;
  /** The primary to be replaced. */
  readonly from: string;
  readonly to: string;
}

/** Contents of the lease object. */
export interface LeaseRecord {
  readonly holder: string;
  readonly fence: number;
  /** The latest change that was begun; undefined if there is none. */
  readonly change: PlannedChange | undefined;
  /**
   * The newest change of each group, as far as the holder knew; missing in a
   * record of an instance that runs an older build.
   */
  readonly changes?: readonly ChangeRecord[] | undefined;
  /**
   * The era of the store in which `changes` was known to contain all changes; a
   * restored store may show a lease that lacks some.
   */
  readonly completeIn?: number | undefined;
}

/** The lease at one version of the store. */
export interface LeaseSnapshot extends StoreVersion {
  readonly record: LeaseRecord;
}

/**
 * Whether the lease, undefined for none, contains all changes that were begun. A
 * store that tells no era is never restored.
 */
export function isComplete(
  lease: LeaseSnapshot | undefined,
  era: number,
): boolean {
  if (era === 0) return true;
  return lease?.era === era && lease.record.completeIn === era;
}

/** Kind of the lease object in the store. */
export const LEASE_KIND = 'leases';
/** Name of the lease object in the store. */
export const LEASE_NAME = 'promotion';

/** What is used of the lease object. */
export const LEASE_SELECTION = recordOf({
  holder: SCALAR,
  fence: SCALAR,
  change: scalarsOf('group', 'from', 'to'),
  changes: listOf(scalarsOf('group', 'from', 'to', 'fence', 'isPlanned')),
  completeIn: SCALAR,
});

/** Parses the object; undefined if its value is not a lease. */
export function parseLease(object: ReadObject): LeaseSnapshot | undefined {
  const value = object.value as Partial<LeaseRecord> | null;
  if (typeof value !== 'object' || value === null) return undefined;
  const {holder, fence} = value;
  if (typeof holder !== 'string' || !Number.isSafeInteger(fence))
    return undefined;
  const change = isPlannedChange(value.change) ? value.change : undefined;
  const listed: readonly unknown[] = Array.isArray(value.changes)
    ? value.changes
    : [];
  const changes = listed.filter(isChangeRecord);
  // An instance of an older build writes the latest change only.
  const latest = {...change, fence, isPlanned: false};
  const isListed = changes.some(item => item.fence === fence);
  if (isChangeRecord(latest) && !isListed) changes.push(latest);
  const completeIn = isRevision(value.completeIn)
    ? value.completeIn
    : undefined;
  const record = {holder, fence: fence!, change, changes, completeIn};
  return {record, era: object.era, revision: object.revision};
}

/** Reads and replaces the lease. Calls reject with the store's errors. */
export interface LeaseStore {
  /** The era of the store. */
  readonly era: StoreEra;
  read(freshness?: Freshness): Promise<LeaseSnapshot | undefined>;
  /** Writes `record` if the lease is still at the revision of `seen`; if `seen`
   * is undefined, only if there is no lease. Returns undefined otherwise. */
  replace(
    record: LeaseRecord,
    seen: LeaseSnapshot | undefined,
  ): Promise<LeaseSnapshot | undefined>;
}

/** Creates access to the lease in `store`. */
export function leaseStore(store: KindStore): LeaseStore {
  return {
    era: store.era,
    async read(freshness = Freshness.Current) {
      const object = await store.get(LEASE_KIND, LEASE_NAME, freshness);
      return object && parseLease(object);
    },
    async replace(record, seen) {
      try {
        const object = seen
          ? await store.replace(LEASE_KIND, LEASE_NAME, record, seen.revision)
          : await store.create(LEASE_KIND, LEASE_NAME, record);
        return {record, era: object.era, revision: object.revision};
      } catch (err) {
        if (err instanceof RevisionConflictError) return undefined;
        throw err;
      }
    },
  };
}
