/**
 * The listed endpoints. An entry that disappears while the store is
 * unreachable, or shortly after, counts as listed until its endpoint has had
 * time to write it again.
 */
import type {ListedEndpoint} from './routes.js';

/** One entry. */
export interface DirectoryEntry {
  readonly endpoint: ListedEndpoint;
  /** When the entry went missing; undefined while it is listed. */
  readonly missingSince: number | undefined;
}

/** The state of the endpoint list. Times are monotonic milliseconds. */
export interface Directory {
  /** By endpoint id. */
  readonly entries: ReadonlyMap<string, DirectoryEntry>;
  readonly storeReached: boolean;
  /** When the store last became reachable. */
  readonly reachedSince: number;
}

/** An event that changes the list. */
export type DirectoryEvent =
  | {readonly type: 'listed'; readonly endpoints: readonly ListedEndpoint[]}
  | {readonly type: 'put'; readonly endpoint: ListedEndpoint}
  | {readonly type: 'deleted'; readonly id: string}
  | {
      readonly type: 'reach';
      readonly reached: boolean;
      /** For how long the store has been reached, in milliseconds. */
      readonly forMs?: number;
    }
  | {readonly type: 'tick'};

/**
 * Time for entries to be written again after the store is back, in
 * milliseconds: the platform guarantees two seconds, the rest covers the
 * delivery to this instance.
 */
export const ENTRY_RETURN_MS = 2500;

/** An empty list. */
export function emptyDirectory(now: number): Directory {
  return {entries: new Map(), storeReached: false, reachedSince: now};
}

/** Returns the list after an event. */
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
        reachedSince: event.reached
          ? now - (event.forMs ?? 0)
          : directory.reachedSince,
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

/** Drops missing entries, unless the store was unreachable a moment ago. */
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
