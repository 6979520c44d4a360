/**
 * Bounds what a copy keeps of objects that can't be used. They stay in the copy by
 * name and revision, so that their changes and removals are told like those of
 * others, but there may be any number of them.
 */
import type {KindEvent, KindObject} from '@quetzalreel/object-store';

/**
 * What unreadable objects of a kind may take in a message with the whole copy, in
 * bytes; a quarter of the longest message between instances.
 */
export const MAX_UNREADABLE_BYTES = 512 * 1024;
/** What one takes beside its name: the names of its fields, and its revision. */
const OBJECT_BYTES = 80;

/** Objects of a copy, and the events that lead to them. */
export interface BoundedObjects {
  readonly objects: ReadonlyMap<string, KindObject>;
  readonly events: readonly KindEvent[];
  /** Number of unreadable objects that are not kept. */
  readonly passedOver: number;
}

function bytesOf({name}: KindObject): number {
  return OBJECT_BYTES + Buffer.byteLength(name);
}

/** The unreadable objects beyond the bound, by name; the newest ones go first. */
function excessOf(
  objects: ReadonlyMap<string, KindObject>,
): Map<string, KindObject> {
  const unreadable = [...objects.values()].filter(item => item.unreadable);
  const excess = new Map<string, KindObject>();
  let bytes = 0;
  for (const object of unreadable) bytes += bytesOf(object);
  if (bytes <= MAX_UNREADABLE_BYTES) return excess;
  unreadable.sort((a, b) => b.revision - a.revision);
  for (const object of unreadable) {
    if (bytes <= MAX_UNREADABLE_BYTES) break;
    bytes -= bytesOf(object);
    excess.set(object.name, object);
  }
  return excess;
}

/**
 * Leaves the unreadable objects beyond the bound out of `objects`, to which
 * `events` lead from `before`. One that `before` has counts as removed.
 */
export function boundUnreadable(
  before: ReadonlyMap<string, KindObject> | undefined,
  objects: ReadonlyMap<string, KindObject>,
  events: readonly KindEvent[],
): BoundedObjects {
  const excess = excessOf(objects);
  if (excess.size === 0) return {objects, events, passedOver: 0};
  const kept = new Map(objects);
  const told = events.filter(({object}) => !excess.has(object.name));
  for (const [name, object] of excess) {
    kept.delete(name);
    if (before?.has(name)) told.push({object, deleted: true});
  }
  return {objects: kept, events: told, passedOver: excess.size};
}
