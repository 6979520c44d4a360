/** Workloads of the users' two deployments: fleet sizes and request mixes. */
import type {FleetSizes} from './fleet.js';

/** Operation of a request. */
export const Operation = {
  /** Inserts a row that the caller owns. */
  Post: 'post',
  /** Inserts two rows in one transaction. */
  PostPair: 'post-pair',
  /** Changes a row that the caller owns. */
  Amend: 'amend',
  /** Changes an own row and inserts a new one, in one transaction. */
  AmendWithHistory: 'amend-with-history',
  /** Reads a row that the caller owns. */
  ReadOwn: 'read-own',
  /** Reads a row of any caller. */
  Browse: 'browse',
} as const;

/** One of the values of `Operation`. */
export type Operation = (typeof Operation)[keyof typeof Operation];

/** One kind of request in a mix. */
export interface MixPart {
  /** Name of the kind in the configuration. */
  readonly kind: string;
  readonly operation: Operation;
  /** Share of the requests, relative to the other weights. */
  readonly weight: number;
}

/** Periodic bursts in which all callers insert rows, up to a limit. */
export interface Waves {
  /** Milliseconds between the starts of two waves. */
  readonly everyMs: number;
  /** Acknowledged insertions that end a wave, over all callers of a group. */
  readonly places: number;
}

/** A deployment and the load on it. */
export interface Workload {
  readonly name: string;
  readonly sizes: FleetSizes;
  /** Number of callers of each group. */
  readonly callersPerGroup: number;
  /** Pause of a caller between two requests, milliseconds. */
  readonly thinkMs: number;
  readonly mix: readonly MixPart[];
  readonly waves: Waves | undefined;
}

/** Maximum staleness of a start list, milliseconds. */
const START_LIST_AGE_MS = 2000;
/** Maximum staleness of a chapter or a comment thread, milliseconds. */
const CHAPTER_AGE_MS = 5000;

/** Entries for cycling events (sportives), in three data centres. */
export const ENTRIES: Workload = {
  name: 'entries-db',
  sizes: {
    proxies: 3,
    groups: ['entries-1', 'entries-2', 'entries-3'],
    dataCentres: ['recife', 'fortaleza', 'natal'],
    slots: 3,
    connections: 20,
    connectMs: 10,
    lagMs: 5,
    serviceMs: 1,
    distanceMs: 0.5,
    kinds: [
      {name: 'payment', access: 'write', deadlineMs: 10_000},
      {name: 'amend', access: 'write', deadlineMs: 10_000},
      {name: 'own-entry', access: 'read', maxAgeMs: 10_000},
      {name: 'start-list', access: 'read', maxAgeMs: START_LIST_AGE_MS},
    ],
  },
  callersPerGroup: 12,
  thinkMs: 4,
  mix: [
    {kind: 'payment', operation: Operation.Post, weight: 20},
    {kind: 'payment', operation: Operation.PostPair, weight: 10},
    {kind: 'amend', operation: Operation.Amend, weight: 15},
    {kind: 'own-entry', operation: Operation.ReadOwn, weight: 20},
    {kind: 'start-list', operation: Operation.Browse, weight: 35},
  ],
  waves: {everyMs: 1500, places: 40},
};

/** The main archive, with chapters and comments, in four data centres. */
export const ARCHIVE: Workload = {
  name: 'arsiv-db',
  sizes: {
    proxies: 4,
    groups: ['arsiv-1', 'arsiv-2', 'arsiv-3'],
    dataCentres: ['ist-a', 'ist-b', 'ist-c', 'ist-d'],
    slots: 3,
    connections: 40,
    connectMs: 30,
    lagMs: 20,
    serviceMs: 1,
    distanceMs: 1.5,
    kinds: [
      {name: 'chapter-post', access: 'write', deadlineMs: 10_000},
      {name: 'comment', access: 'write', deadlineMs: 10_000},
      {name: 'bookmark', access: 'write', deadlineMs: 10_000},
      {name: 'own-bookmark', access: 'read', maxAgeMs: 10_000},
      {name: 'chapter', access: 'read', maxAgeMs: CHAPTER_AGE_MS},
    ],
  },
  callersPerGroup: 16,
  thinkMs: 4,
  mix: [
    {kind: 'chapter-post', operation: Operation.Post, weight: 2},
    {kind: 'comment', operation: Operation.Post, weight: 5},
    {kind: 'bookmark', operation: Operation.AmendWithHistory, weight: 8},
    {kind: 'own-bookmark', operation: Operation.ReadOwn, weight: 25},
    {kind: 'chapter', operation: Operation.Browse, weight: 60},
  ],
  waves: {everyMs: 2500, places: 20},
};

/** All workloads. */
export const WORKLOADS: readonly Workload[] = [ENTRIES, ARCHIVE];
