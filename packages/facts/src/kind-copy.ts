/**
 * An instance's copy of all objects of one kind, as of a version of the store.
 * Changes arrive from several readers, late, repeatedly or out of order; the
 * copy only moves to later versions. Changes are never merged across eras: a
 * restored store may lack what the copy has, so the whole copy is replaced.
 */
import {
  type KindEvent,
  type KindObject,
  type StoreVersion,
  compareVersions,
} from '@quetzalreel/object-store';
import {boundUnreadable} from './unreadable-objects.js';

/** All objects of a kind as of a version, but for unreadable ones beyond a bound. */
export interface KindCopy extends StoreVersion {
  readonly objects: ReadonlyMap<string, KindObject>;
}

/**
 * The changes of a kind in one era above revision `since`, up to `revision`, in
 * the order of the store. With `since` 0 they list all objects.
 */
export interface KindDelta extends StoreVersion {
  readonly kind: string;
  readonly since: number;
  readonly events: readonly KindEvent[];
}

/**
 * Highest step of a copy's revision. A copy from the future would keep all later
 * changes out; the store makes a few thousand changes a second at most.
 */
const MAX_REVISION_STEP = 100_000_000;

/** The version of a copy; of an empty one before any store if there is none. */
export function versionOf(copy: KindCopy | undefined): StoreVersion {
  return {era: copy?.era ?? 0, revision: copy?.revision ?? 0};
}

/** Whether the revision of a peer's delta can be true beside the copy. */
export function isPlausible(
  {era, revision}: KindDelta,
  copy: KindCopy | undefined,
): boolean {
  if (!copy || era !== copy.era) return true;
  return revision - copy.revision <= MAX_REVISION_STEP;
}

/** Whether the copy already includes the delta. */
export function isKnown(copy: KindCopy | undefined, delta: KindDelta): boolean {
  return copy !== undefined && compareVersions(delta, copy) <= 0;
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
      /** Number of unreadable objects that the copy lacks, as there are many. */
      readonly passedOver: number;
    };

/** Merges a delta into the copy; undefined stands for no copy yet. */
export function mergeDelta(
  copy: KindCopy | undefined,
  delta: KindDelta,
): Merge {
  if (isKnown(copy, delta)) return {type: 'known'};
  if (delta.since === 0) return mergeAll(copy, delta);
  if (!copy || delta.era !== copy.era) return {type: 'gap'};
  if (delta.since > copy.revision) return {type: 'gap'};
  const objects = new Map(copy.objects);
  const events: KindEvent[] = [];
  for (const event of delta.events) {
    if (applyEvent(objects, event)) events.push(event);
  }
  return merged(copy, delta, objects, events);
}

function merged(
  before: KindCopy | undefined,
  {era, revision}: StoreVersion,
  objects: ReadonlyMap<string, KindObject>,
  events: readonly KindEvent[],
): Merge {
  const bounded = boundUnreadable(before?.objects, objects, events);
  const copy = {era, revision, objects: bounded.objects};
  const {passedOver} = bounded;
  return {type: 'merged', copy, events: bounded.events, passedOver};
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
  const isSameEra = copy?.era === delta.era;
  for (const [name, object] of objects) {
    const isKnown =
      isSameEra && copy.objects.get(name)?.revision === object.revision;
    if (!isKnown) events.push({object, deleted: false});
  }
  return merged(copy, delta, objects, events);
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
 * own revision counts. A list is as of its first page, though objects of later
 * pages may have changed since: what changed on earlier ones is yet to come.
 */
export function deltaOf(
  kind: string,
  copy: KindCopy | undefined,
  read: StoreVersion & {
    readonly isAll: boolean;
    readonly events: readonly KindEvent[];
  },
): KindDelta {
  const {isAll, era, events} = read;
  const since = isAll ? 0 : (copy?.revision ?? 0);
  let revision = 1;
  let hasRemoval = false;
  for (const {object, deleted} of events) {
    hasRemoval ||= deleted;
    revision = Math.max(revision, object.revision);
  }
  if (isAll && copy) hasRemoval = copy.objects.size > 0;
  if (hasRemoval) revision = read.revision;
  if (isAll) revision = Math.min(revision, read.revision);
  return {kind, since, era, revision, events};
}

/**
 * The delta with what `usedPart` returns of its objects; of a removed one only the
 * name and the revision are used.
 */
export function usedDelta(
  delta: KindDelta,
  usedPart: (object: KindObject) => KindObject,
): KindDelta {
  const events = delta.events.map(({object, deleted}) => {
    const {name, revision} = object;
    const removed = {name, revision, value: undefined};
    return {object: deleted ? removed : usedPart(object), deleted};
  });
  return {...delta, events};
}

/** Number of objects in a copy that can be used, and that can't. */
export function countObjects(copy: KindCopy | undefined): {
  readonly readable: number;
  readonly unreadable: number;
} {
  const objects = [...(copy?.objects.values() ?? [])];
  const unreadable = objects.filter(object => object.unreadable).length;
  return {readable: objects.length - unreadable, unreadable};
}

/** The whole copy as a delta. */
export function wholeCopy(kind: string, copy: KindCopy): KindDelta {
  const events = [...copy.objects.values()].map(object => ({
    object,
    deleted: false,
  }));
  const {era, revision} = copy;
  return {kind, since: 0, era, revision, events};
}

/**
 * The delta to pass on after `delta` was merged into the copy `before`. All
 * objects of a kind are passed on as the changes that they make to the copy,
 * unless those can't be told in another era.
 */
export function onwardDelta(
  before: KindCopy,
  {copy, events}: Extract<Merge, {type: 'merged'}>,
  delta: KindDelta,
): KindDelta {
  if (delta.since !== 0) return delta;
  if (before.era !== delta.era) return wholeCopy(delta.kind, copy);
  return {...delta, since: before.revision, events};
}
