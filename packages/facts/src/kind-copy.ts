/**
 * An instance's copy of all objects of one kind, as of a revision of the store.
 * Changes arrive from several readers, late, repeatedly or out of order; the
 * copy only moves to higher revisions.
 */
import type {KindEvent, KindObject} from '@quetzalreel/object-store';

/** All objects of a kind as of `revision`. */
export interface KindCopy {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, KindObject>;
}

/**
 * The changes of a kind above revision `since`, up to `revision`, in the order
 * of the store. With `since` 0 they list all objects.
 */
export interface KindDelta {
  readonly kind: string;
  readonly since: number;
  readonly revision: number;
  readonly events: readonly KindEvent[];
}

/** What became of a delta. */
export type Merge =
  /** The copy already includes it. */
  | {readonly type: 'known'}
  /** Changes between the copy and the delta are missing. */
  | {readonly type: 'gap'}
  /** `events` are those that changed the copy. */
  | {
      readonly type: 'merged';
      readonly copy: KindCopy;
      readonly events: readonly KindEvent[];
    };

/** Merges a delta into the copy; undefined stands for no copy yet. */
export function mergeDelta(
  copy: KindCopy | undefined,
  delta: KindDelta,
): Merge {
  if (copy && delta.revision <= copy.revision) return {type: 'known'};
  if (delta.since === 0) return mergeAll(copy, delta);
  if (!copy || delta.since > copy.revision) return {type: 'gap'};
  const objects = new Map(copy.objects);
  const events: KindEvent[] = [];
  for (const event of delta.events) {
    if (applyEvent(objects, event)) events.push(event);
  }
  const merged = {revision: delta.revision, objects};
  return {type: 'merged', copy: merged, events};
}

/** Replaces the copy by the objects that `delta` lists. */
function mergeAll(copy: KindCopy | undefined, delta: KindDelta): Merge {
  const objects = new Map<string, KindObject>();
  for (const {object, deleted} of delta.events) {
    if (!deleted) objects.set(object.name, object);
  }
  const events: KindEvent[] = [];
  for (const [name, object] of copy?.objects ?? []) {
    if (!objects.has(name)) events.push({object, deleted: true});
  }
  for (const [name, object] of objects) {
    const known = copy?.objects.get(name);
    if (known?.revision !== object.revision)
      events.push({object, deleted: false});
  }
  return {type: 'merged', copy: {revision: delta.revision, objects}, events};
}

/** Returns whether the event changed `objects`. */
function applyEvent(
  objects: Map<string, KindObject>,
  {object, deleted}: KindEvent,
): boolean {
  const known = objects.get(object.name);
  if (deleted) return objects.delete(object.name);
  // A reader with other batches reports a change again.
  if (known && known.revision >= object.revision) return false;
  objects.set(object.name, object);
  return true;
}

/**
 * The delta for what a reader got: all objects of the kind, or the changes above
 * the copy. Readers that read at different times give equal deltas the same
 * revision, that of the last change, so that the second one is known already. A
 * removed object no longer shows the revision of its removal; then the store's
 * own revision counts.
 */
export function deltaOf(
  kind: string,
  copy: KindCopy | undefined,
  read: {
    readonly isAll: boolean;
    readonly revision: number;
    readonly events: readonly KindEvent[];
  },
): KindDelta {
  const {isAll, events} = read;
  const since = isAll ? 0 : (copy?.revision ?? 0);
  let revision = 1;
  let hasRemoval = false;
  for (const {object, deleted} of events) {
    hasRemoval ||= deleted;
    revision = Math.max(revision, object.revision);
  }
  if (isAll && copy) hasRemoval = copy.objects.size > 0;
  return {kind, since, revision: hasRemoval ? read.revision : revision, events};
}

/** The whole copy as a delta. */
export function wholeCopy(kind: string, copy: KindCopy): KindDelta {
  const events = [...copy.objects.values()].map(object => ({
    object,
    deleted: false,
  }));
  return {kind, since: 0, revision: copy.revision, events};
}
