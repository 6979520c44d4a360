/**
 * The listed endpoints. An entry that disappears while the store is
 * unreachable, or shortly after, counts as listed until its endpoint has had
 * time to write it again. A restored store lists older entries: they don't
 * replace later ones of the same endpoint, so that one that leaves is not used again.
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
  /** When the store was last restored; -Infinity for never. */
  readonly restoredAt: number;
  /** Entries that are gone for less than `DEPARTED_MS`, by endpoint id. */
  readonly departed: ReadonlyMap<string, DepartedEntry>;
}

/** An entry that is gone. */
export interface DepartedEntry {
  readonly endpoint: ListedEndpoint;
  readonly goneAt: number;
  /** Until when its entry may be back: it may serve all the while. */
  readonly mayReturnUntil: number;
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
  /** The store came back from an older copy. */
  | {readonly type: 'restored'}
  | {readonly type: 'tick'};

/**
 * Time for entries to be written again after the store is back, in
 * milliseconds: the platform guarantees two seconds, the rest covers the
 * delivery to this instance.
 */
export const ENTRY_RETURN_MS = 2500;

/**
 * How long a gone entry is remembered, in milliseconds: longer than the copies
 * are old from which a store is restored.
 */
const DEPARTED_MS = 60_000;

/** An empty list. */
export function emptyDirectory(now: number): Directory {
  return {
    entries: new Map(),
    storeReached: false,
    reachedSince: now,
    restoredAt: -Infinity,
    departed: new Map(),
  };
}

/** Whether the endpoint wrote `entry` before it wrote `known`. */
function isOlder(
  entry: ListedEndpoint,
  known: ListedEndpoint | undefined,
): boolean {
  if (!known || entry.startedAt !== known.startedAt) return false;
  if (entry.sequence === undefined || known.sequence === undefined)
    return false;
  return entry.sequence < known.sequence;
}

/** The last entry that is known of an endpoint, listed or gone. */
function lastEntry(
  {entries, departed}: Directory,
  id: string,
): ListedEndpoint | undefined {
  return entries.get(id)?.endpoint ?? departed.get(id)?.endpoint;
}

function put(directory: Directory, endpoint: ListedEndpoint): Directory {
  if (isOlder(endpoint, lastEntry(directory, endpoint.id))) return directory;
  const entries = new Map(directory.entries);
  entries.set(endpoint.id, {endpoint, missingSince: undefined});
  return {...directory, entries};
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
    case 'put':
      return put(directory, event.endpoint);
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
    case 'restored':
      return {...directory, restoredAt: now};
    case 'tick':
      return forget(expire(directory, now), now);
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
  return endpoints.reduce(put, {...directory, entries});
}

/**
 * Drops missing entries, unless the store was unreachable or restored a moment
 * ago.
 */
function expire(directory: Directory, now: number): Directory {
  if (!directory.storeReached) return directory;
  const {reachedSince, restoredAt} = directory;
  if (now - Math.max(reachedSince, restoredAt) < ENTRY_RETURN_MS)
    return directory;
  const missing = [...directory.entries].filter(
    ([, {missingSince}]) => missingSince !== undefined,
  );
  if (missing.length === 0) return directory;
  const entries = new Map(directory.entries);
  const departed = new Map(directory.departed);
  for (const [id, {endpoint, missingSince}] of missing) {
    entries.delete(id);
    const since = Math.max(missingSince!, reachedSince, restoredAt);
    const mayReturnUntil = since + ENTRY_RETURN_MS;
    departed.set(id, {endpoint, goneAt: now, mayReturnUntil});
  }
  return {...directory, entries, departed};
}

/**
 * The endpoints of a group that are not listed, but whose entries may be back: an
 * entry may lapse while its endpoint serves. One that is not back in that time is
 * gone.
 */
export function lapsedEndpoints(
  {departed, entries}: Directory,
  group: string,
  now: number,
): readonly string[] {
  const lapsed: string[] = [];
  for (const [id, {endpoint, mayReturnUntil}] of departed) {
    if (endpoint.group !== group || entries.has(id)) continue;
    if (now < mayReturnUntil) lapsed.push(id);
  }
  return lapsed;
}

/** Forgets entries that are gone for long enough. */
function forget(directory: Directory, now: number): Directory {
  const isOld = ({goneAt}: DepartedEntry) => now - goneAt >= DEPARTED_MS;
  if (![...directory.departed.values()].some(isOld)) return directory;
  const departed = new Map(directory.departed);
  for (const [id, entry] of departed) if (isOld(entry)) departed.delete(id);
  return {...directory, departed};
}
