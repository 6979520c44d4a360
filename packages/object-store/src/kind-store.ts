/**
 * Objects by kind and name, with one revision counter for the whole store:
 * the second form of an object store, beside the single objects of `client`.
 */
import {TypedError} from '@quetzalreel/common';

/** An object as it is stored. */
export interface KindObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  /** The part that its owner writes; any JSON value. */
  readonly value: unknown;
  /** Set when the bytes could not be read; `value` is undefined then. */
  readonly unreadable?: boolean;
}

/** All objects of a kind at one moment. */
export interface KindSnapshot {
  readonly objects: readonly KindObject[];
  /** The store's revision; changes are watched from here. */
  readonly revision: number;
}

/** One change of a kind. */
export interface KindEvent {
  readonly object: KindObject;
  readonly deleted: boolean;
}

/** Changes since a revision; empty when there were none in time. */
export interface KindChanges {
  readonly events: readonly KindEvent[];
  readonly revision: number;
}

/** The store gave no usable answer; a change may or may not have been made. */
export class StoreUnavailableError extends TypedError {
  constructor(
    what: string,
    /** Whether the store said that it did nothing. */
    readonly wasNotApplied: boolean,
    cause?: unknown,
  ) {
    super(
      'StoreUnavailableError',
      `the object store did not serve a call: ${what}`,
      'Try again later; read back what a change without an answer was to change.',
      cause,
    );
  }
}

/** The history since a revision is gone. */
export class HistoryGoneError extends TypedError {
  constructor(kind: string, revision: number) {
    super(
      'HistoryGoneError',
      `the store no longer knows the changes of ${kind} since revision ${revision}`,
      'List the kind again and watch from the revision of the list.',
    );
  }
}

/** The object is not at the revision that a change named. */
export class RevisionConflictError extends TypedError {
  constructor(
    kind: string,
    name: string,
    /** The object as it is, when the store told it. */
    readonly current: KindObject | undefined,
  ) {
    super(
      'RevisionConflictError',
      `${kind}/${name} has changed meanwhile`,
      'Decide anew from the object as it is now.',
    );
  }
}

/** How exact an answer must be. */
export const Freshness = {
  /** As the store is now. */
  Current: 'current',
  /** May be seconds old; costs the store less. */
  Stale: 'stale',
} as const;

/** One of the values of `Freshness`. */
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/** Access to the store. Calls reject with the errors of this module. */
export abstract class KindStore {
  /** Lists all objects of a kind, over as many pages as there are. */
  abstract list(kind: string, freshness?: Freshness): Promise<KindSnapshot>;
  /** The object, or undefined when there is none. */
  abstract get(
    kind: string,
    name: string,
    freshness?: Freshness,
  ): Promise<KindObject | undefined>;
  /** Makes an object; RevisionConflictError when there is one. */
  abstract create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<KindObject>;
  /** Replaces an object that is still at `revision`. */
  abstract replace(
    kind: string,
    name: string,
    value: unknown,
    revision: number,
  ): Promise<KindObject>;
  /** Removes an object that is still at `revision`, or is gone already. */
  abstract remove(kind: string, name: string, revision: number): Promise<void>;
  /** Waits `waitMs` at most for changes since `revision`. */
  abstract watch(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<KindChanges>;
}
