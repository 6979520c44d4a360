/**
 * Interface to an object store that addresses objects by kind and name and has
 * one revision counter for the whole store. `client.ts` has the interface to
 * the other kind of object store, without kinds.
 */
import {TypedError} from '@quetzalreel/common';

/** A stored object. */
export interface KindObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  /** Contents written by the object's owner; any JSON value. */
  readonly value: unknown;
  /** True if the stored bytes can't be decoded; `value` is undefined then. */
  readonly unreadable?: boolean;
}

/** All objects of a kind at one moment. */
export interface KindSnapshot {
  readonly objects: readonly KindObject[];
  /** Revision of the store, from which to watch for changes. */
  readonly revision: number;
}

/** One change of an object. */
export interface KindEvent {
  readonly object: KindObject;
  readonly deleted: boolean;
}

/** Changes since a revision; none if the wait timed out without a change. */
export interface KindChanges {
  readonly events: readonly KindEvent[];
  readonly revision: number;
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
  /** Lists all objects of a kind, reading every page. */
  abstract list(kind: string, freshness?: Freshness): Promise<KindSnapshot>;
  /** Returns the object; undefined if there is none. */
  abstract get(
    kind: string,
    name: string,
    freshness?: Freshness,
  ): Promise<KindObject | undefined>;
  /** Creates an object; rejects with RevisionConflictError if it exists. */
  abstract create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<KindObject>;
  /** Replaces an object if it is still at `revision`. */
  abstract replace(
    kind: string,
    name: string,
    value: unknown,
    revision: number,
  ): Promise<KindObject>;
  /** Removes an object if it is still at `revision`; it may also be gone. */
  abstract remove(kind: string, name: string, revision: number): Promise<void>;
  /** Waits up to `waitMs` for changes since `revision`. */
  abstract watch(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<KindChanges>;
}
