/**
 * The endpoints that are listed. An entry that went missing while the store
 * was away, or just after, counts as listed until its endpoint has had the
 * time to write it again.
 */
import type {ListedEndpoint} from './routes.js';

/** One entry. */
export interface DirectoryEntry {
  readonly endpoint: ListedEndpoint;
  /** Since when it is missing; undefined while it is listed. */
  readonly missingSince: number | undefined;
}

/** All that is known of the list. Times are monotonic milliseconds. */
export interface Directory {
  /** By id. */
  readonly entries: ReadonlyMap<string, DirectoryEntry>;
  readonly storeReached: boolean;
  /** When the store was last reached again after it was away. */
  readonly reachedSince: number;
}

/** What happens to the list. */
export type DirectoryEvent =
  | {readonly type: 'listed'; readonly endpoints: readonly ListedEndpoint[]}
  | {readonly type: 'put'; readonly endpoint: ListedEndpoint}
  | {readonly type: 'deleted'; readonly id: string}
  | {readonly type: 'reach'; readonly reached: boolean}
  | {readonly type: 'tick'};

/** Time for entries to come back after the store has, in milliseconds; two
 * seconds are promised by the platform, the rest is for the way here. */
export const ENTRY_RETURN_MS = 2500;

/** An empty list. */
export function emptyDirectory(now: number): Directory {
  return {entries: new Map(), storeReached: false, reachedSince: now};
}

/** The list after an event. */
export function stepDirectory(
  directory: Directory,
  event: DirectoryEvent,
  now: number,
): Directory {
  switch (event.type) {
    case 'listed':
      return expire(relist(directory, event.endpoints, now), now);
    case 'put': {
      const {endpoint} = event;
      const entries = new Map(directory.entries);
      entries.set(endpoint.id, {endpoint, missingSince: undefined});
      return {...directory, entries};
    }
    case 'deleted': {
      const entry = directory.entries.get(event.id);
      if (!entry) return directory;
      const entries = new Map(directory.entries);
      entries.set(event.id, {...entry, missingSince: now});
      return expire({...directory, entries}, now);
    }
    case 'reach':
      return {
        ...directory,
        storeReached: event.reached,
        reachedSince: event.reached ? now : directory.reachedSince,
      };
    case 'tick':
      return expire(directory, now);
  }
}

function relist(
  directory: Directory,
  endpoints: readonly ListedEndpoint[],
  now: number,
): Directory {
  const entries = new Map<string, DirectoryEntry>();
  for (const [id, entry] of directory.entries) {
    const missingSince = entry.missingSince ?? now;
    entries.set(id, {...entry, missingSince});
  }
  for (const endpoint of endpoints) {
    entries.set(endpoint.id, {endpoint, missingSince: undefined});
  }
  return {...directory, entries};
}

/** Drops what is missing, unless the store was away a moment ago. */
function expire(directory: Directory, now: number): Directory {
  if (!directory.storeReached) return directory;
  if (now - directory.reachedSince < ENTRY_RETURN_MS) return directory;
  let entries: Map<string, DirectoryEntry> | undefined;
  for (const [id, entry] of directory.entries) {
    if (entry.missingSince === undefined) continue;
    entries ??= new Map(directory.entries);
    entries.delete(id);
  }
  return entries ? {...directory, entries} : directory;
}
