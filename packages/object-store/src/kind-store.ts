/**
 * Interface to an object store that addresses objects by kind and name and has
 * one revision counter for the whole store. `client.ts` has the interface to
 * the other kind of object store, without kinds.
 */
import {TypedError} from '@quetzalreel/common';
import {storeEra} from './store-era.js';

/**
 * A moment in the life of the store. A store that is restored from an older copy
 * gives revisions out again, so those of different eras can't be compared.
 */
export interface StoreVersion {
  /** Number of times the store was restored; 0 if it does not say. */
  readonly era: number;
  /** Revision of the store within the era. */
  readonly revision: number;
}

/** Whether a value from outside can be a revision, or an era. */
export function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Negative if `a` is before `b`, 0 if they are equal, else positive. */
export function compareVersions(a: StoreVersion, b: StoreVersion): number {
  return a.era - b.era || a.revision - b.revision;
}

/** A stored object. */
export interface KindObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  /** Contents written by the object's owner; any JSON value. */
  readonly value: unknown;
  /** True if the stored value can't be used; `value` is undefined then. */
  readonly unreadable?: boolean;
}

/** The object without its value, which can't be used. */
export function unreadableObject({name, revision}: KindObject): KindObject {
  return {name, revision, value: undefined, unreadable: true};
}

/** An object as the store returned it in an era. */
export type ReadObject = KindObject & StoreVersion;

/** All objects of a kind at a version, from which to watch for changes. */
export interface KindSnapshot extends StoreVersion {
  readonly objects: readonly KindObject[];
}

/** One change of an object. */
export interface KindEvent {
  readonly object: KindObject;
  readonly deleted: boolean;
}

/**
 * Changes since a revision of the same era; none if the wait timed out without a
 * change.
 */
export interface KindChanges extends StoreVersion {
  readonly events: readonly KindEvent[];
}

/** The store gave no usable response; a change may have been applied or not. */
export class StoreUnavailableError extends TypedError {
  constructor(
    what: string,
    /** Whether the store reported that it did not execute the call. */
    readonly wasNotApplied: boolean,
    cause?: unknown,
  ) {
    super(
      'StoreUnavailableError',
      `the object store gave no usable response: ${what}`,
      'Retry later. If a change got no response, read the object to see if it was applied.',
      cause,
    );
  }
}

/** The store no longer has the changes since a revision. */
export class HistoryGoneError extends TypedError {
  constructor(kind: string, revision: number) {
    super(
      'HistoryGoneError',
      `the store no longer has the changes of ${kind} since revision ${revision}`,
      'List the kind again and watch from the revision of the list.',
    );
  }
}

/** The object is not at the revision that a change expected. */
export class RevisionConflictError extends TypedError {
  constructor(
    kind: string,
    name: string,
    /** The current object, if the store's response contained it. */
    readonly current: KindObject | undefined,
  ) {
    super(
      'RevisionConflictError',
      `${kind}/${name} is not at the expected revision`,
      'Read the object again and reconsider the change.',
    );
  }
}

/** How current the result of a read must be. */
export const Freshness = {
  /** The latest state of the store. */
  Current: 'current',
  /** May be seconds old; costs the store less than `Current`. */
  Stale: 'stale',
} as const;

/** One of the values of `Freshness`. */
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/** Client of the store. Calls reject with the errors of this module. */
export abstract class KindStore {
  /** The era of the store, from its answers and from peers. */
  readonly era = storeEra();

  /** Lists all objects of a kind, reading every page. */
  abstract list(kind: string, freshness?: Freshness): Promise<KindSnapshot>;
  /** Returns the object; undefined if there is none. */
  abstract get(
    kind: string,
    name: string,
    freshness?: Freshness,
  ): Promise<ReadObject | undefined>;
  /** Creates an object; rejects with RevisionConflictError if it exists. */
  abstract create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<ReadObject>;
  /** Replaces an object if it is still at `revision`. */
  abstract replace(
    kind: string,
    name: string,
    value: unknown,
    revision: number,
  ): Promise<ReadObject>;
  /** Removes an object if it is still at `revision`; it may also be gone. */
  abstract remove(kind: string, name: string, revision: number): Promise<void>;
  /**
   * Waits up to `waitMs` for changes since `revision`. If the store was restored
   * since then, the result may lack changes; its era shows that.
   */
  abstract watch(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<KindChanges>;
}
