/**
 * The lease under which changes of primary are ordered: one object in the
 * store, replaced under its revision. Each change that is ordered raises its
 * fence, so an order that is carried out late is refused after a newer one.
 */
import {
  Freshness,
  type KindObject,
  type KindStore,
  RevisionConflictError,
} from '@quetzalreel/object-store';

/** A change of primary that the holder has begun. */
export interface PlannedChange {
  readonly group: string;
  /** The primary that is replaced. */
  readonly from: string;
  readonly to: string;
}

/** What the object holds. */
export interface LeaseRecord {
  readonly holder: string;
  readonly fence: number;
  /** The newest change that was begun; undefined for none. */
  readonly change: PlannedChange | undefined;
}

/** The lease as an instance has read it. */
export interface LeaseSnapshot {
  readonly record: LeaseRecord;
  readonly revision: number;
}

/** The kind of the lease's object. */
export const LEASE_KIND = 'leases';
/** The name of the lease's object. */
export const LEASE_NAME = 'promotion';

/** Reads the object; undefined when its value is not a lease. */
export function parseLease(object: KindObject): LeaseSnapshot | undefined {
  const value = object.value as Partial<LeaseRecord> | null;
  if (typeof value !== 'object' || value === null) return undefined;
  const {holder, fence, change} = value;
  if (typeof holder !== 'string' || !Number.isInteger(fence)) return undefined;
  const record = {holder, fence: fence!, change};
  return {record, revision: object.revision};
}

/** Reads and replaces the lease. Calls reject with the store's errors. */
export interface LeaseStore {
  read(freshness?: Freshness): Promise<LeaseSnapshot | undefined>;
  /** Writes `record` if the lease is still as `seen`; undefined when not. */
  replace(
    record: LeaseRecord,
    seen: LeaseSnapshot | undefined,
  ): Promise<LeaseSnapshot | undefined>;
}

/** The lease in `store`. */
export function leaseStore(store: KindStore): LeaseStore {
  return {
    async read(freshness = Freshness.Current) {
      const object = await store.get(LEASE_KIND, LEASE_NAME, freshness);
      return object && parseLease(object);
    },
    async replace(record, seen) {
      try {
        const object = seen
          ? await store.replace(LEASE_KIND, LEASE_NAME, record, seen.revision)
          : await store.create(LEASE_KIND, LEASE_NAME, record);
        return {record, revision: object.revision};
      } catch (err) {
        if (err instanceof RevisionConflictError) return undefined;
        throw err;
      }
    },
  };
}
