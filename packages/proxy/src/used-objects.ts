/**
 * What is used of the objects of each kind that the store view follows. Only that
 * is kept and passed on to peers, so that other writers don't decide how much
 * memory an instance takes.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {
  type KindObject,
  select,
  unreadableObject,
} from '@quetzalreel/object-store';
import {lineLimit} from './line-limit.js';
import type {Log} from './log.js';
import type {StoreFormat} from './routes.js';

/** Lines about unreadable entries: a few at once, then one each second. */
const ENTRY_LINES = {burst: 10, intervalMs: 1000};

/** Returns what is used of an object, with its name and revision. */
type UsedPart = (object: KindObject) => KindObject;

/** What is used, by kind of object. */
export interface UsedObjects {
  readonly ofConfigurations: UsedPart;
  readonly ofEntries: UsedPart;
}

/** Dependencies of `usedObjects`. */
export interface UsedObjectsContext {
  readonly catalog: StoreFormat;
  readonly clock: Clock;
  readonly log: Log;
}

/** Creates the selection of one instance, which logs what can't be used. */
export function usedObjects({
  catalog,
  clock,
  log,
}: UsedObjectsContext): UsedObjects {
  const {configuration, endpoints} = catalog;
  const entryLines = lineLimit(clock, ENTRY_LINES);

  function noteUnreadable(endpoint: string, why: string): void {
    const before = entryLines.ask();
    if (before === undefined) return;
    log.warn({event: 'entryUnreadable', endpoint, why, before});
  }

  return {
    ofConfigurations(object) {
      const {name, revision} = object;
      if (name !== configuration.name) return unreadableObject(object);
      const value = select(configuration.selection, object.value);
      return {name, revision, value};
    },
    ofEntries(object) {
      const {name, revision, unreadable} = object;
      const value = select(endpoints.selection, object.value);
      try {
        if (unreadable)
          throw new Error('it is nested too deep, or a peer could not read it');
        catalog.readEndpoint(name, value);
        return {name, revision, value};
      } catch (err) {
        noteUnreadable(name, messageOf(err));
        return unreadableObject(object);
      }
    },
  };
}
