/**
 * State machine that decides which configuration is in force on one instance.
 * Its input is documents from the store and from peers, which can arrive in any
 * order. The generation in force never decreases. The functions are pure: they
 * use no clock, socket or log.
 */
import {messageOf} from '@quetzalreel/common';
import type {Configuration} from './configuration.js';
import {digestOf} from './digest.js';
import {parseConfiguration} from './schema.js';

/** Where a document came from. */
export const ConfigSource = {
  /** A watch on the store. */
  Watched: 'watched',
  /** A plain read of the store. */
  Read: 'read',
  /** Another instance. */
  Peer: 'peer',
} as const;

/** One of the values of `ConfigSource`. */
export type ConfigSource = (typeof ConfigSource)[keyof typeof ConfigSource];

/** A configuration that is in force. */
export interface ConfigInForce {
  readonly cfg: Configuration;
  /** The document as stored, before defaults were filled in; sent to peers. */
  readonly document: unknown;
  readonly digest: string;
}

/** Configuration state of one instance. */
export interface FollowerState {
  readonly inForce: ConfigInForce | undefined;
  /**
   * Version of the stored object that was read last, from which to watch; 0
   * before the first read. It falls when the store is restored from an older
   * copy, or when a read is out of date; then the watch returns at once.
   */
  readonly version: number;
  /** Whether the last call to the store failed. */
  readonly storeDown: boolean;
  /** Digests of documents that were refused, newest last. */
  readonly refusedDigests: readonly string[];
}

/** Input of the state machine. */
export type FollowerEvent =
  | {
      readonly type: 'document';
      readonly source: ConfigSource;
      /** Id of the peer, or `store`. */
      readonly from: string;
      readonly document: unknown;
      /**
       * Version of the stored object; undefined if the document came from a
       * peer.
       */
      readonly version?: number;
    }
  /**
   * A message from a peer names the configuration that the peer has in force.
   */
  | {
      readonly type: 'heard';
      readonly from: string;
      readonly generation: number;
      readonly digest: string;
    }
  | {readonly type: 'storeDown'; readonly why: string}
  | {readonly type: 'storeUp'};

/** Actions for the caller of `stepFollower`. */
export type FollowerEffect =
  /** Put `inForce` in force and announce it to peers. */
  | {
      readonly type: 'apply';
      readonly inForce: ConfigInForce;
      readonly source: ConfigSource;
      readonly from: string;
    }
  /** Request the document from this peer. */
  | {readonly type: 'askPeer'; readonly from: string}
  /**
   * Request the document from any peers: none is in force and the store is
   * unreachable.
   */
  | {readonly type: 'askPeers'}
  /** Report to operators that a document is invalid and was refused. */
  | {readonly type: 'refused'; readonly from: string; readonly why: string}
  /**
   * Report to operators that two different documents have the same generation.
   */
  | {
      readonly type: 'conflict';
      readonly from: string;
      readonly generation: number;
      readonly held: string;
      readonly offered: string;
    }
  | {
      readonly type: 'storeChanged';
      readonly down: boolean;
      readonly why: string;
    };

/** The new state and the actions that the event requires. */
export interface FollowerResult {
  readonly state: FollowerState;
  readonly effects: readonly FollowerEffect[];
}

/**
 * Refused documents that are remembered, so that each is reported only once.
 */
const MAX_REFUSED_DIGESTS = 16;

/** The initial state, with no configuration in force. */
export function initialFollower(): FollowerState {
  return {inForce: undefined, version: 0, storeDown: false, refusedDigests: []};
}

/** Processes one event. */
export function stepFollower(
  state: FollowerState,
  event: FollowerEvent,
): FollowerResult {
  switch (event.type) {
    case 'document':
      return handleDocument(state, event);
    case 'heard':
      return handleAnnouncement(state, event);
    case 'storeDown':
      return handleStoreDown(state, event.why);
    case 'storeUp':
      return handleStoreUp(state);
  }
}

function handleStoreDown(state: FollowerState, why: string): FollowerResult {
  const effects: FollowerEffect[] = [];
  if (!state.storeDown) effects.push({type: 'storeChanged', down: true, why});
  if (!state.inForce) effects.push({type: 'askPeers'});
  return {state: {...state, storeDown: true}, effects};
}

function handleStoreUp(state: FollowerState): FollowerResult {
  if (!state.storeDown) return {state, effects: []};
  const effect = {type: 'storeChanged', down: false, why: 'answers'} as const;
  return {state: {...state, storeDown: false}, effects: [effect]};
}

type DocumentEvent = Extract<FollowerEvent, {type: 'document'}>;

function handleDocument(
  before: FollowerState,
  event: DocumentEvent,
): FollowerResult {
  const version = event.version ?? before.version;
  const state = {...before, version};
  const digest = digestOf(event.document);
  const held = state.inForce;
  if (held?.digest === digest) return {state, effects: []};
  let cfg: Configuration;
  try {
    cfg = parseConfiguration(event.document);
  } catch (err) {
    return refuseDocument(state, event.from, digest, messageOf(err));
  }
  const generation = cfg.generation;
  if (held && generation < held.cfg.generation) return {state, effects: []};
  if (held && generation === held.cfg.generation) {
    return refuseConflict(state, event.from, digest, held);
  }
  const inForce = {cfg, document: event.document, digest};
  const {source, from} = event;
  return {
    state: {...state, inForce},
    effects: [{type: 'apply', inForce, source, from}],
  };
}

type AnnouncementEvent = Extract<FollowerEvent, {type: 'heard'}>;

function handleAnnouncement(
  state: FollowerState,
  event: AnnouncementEvent,
): FollowerResult {
  const {from, generation, digest} = event;
  const held = state.inForce;
  const generationInForce = held?.cfg.generation ?? 0;
  if (
    generation > generationInForce &&
    !state.refusedDigests.includes(digest)
  ) {
    return {state, effects: [{type: 'askPeer', from}]};
  }
  if (held && generation === generationInForce && digest !== held.digest) {
    return refuseConflict(state, from, digest, held);
  }
  return {state, effects: []};
}

function refuseDocument(
  state: FollowerState,
  from: string,
  digest: string,
  why: string,
): FollowerResult {
  if (state.refusedDigests.includes(digest)) return {state, effects: []};
  const effect = {type: 'refused', from, why} as const;
  return {state: rememberRefused(state, digest), effects: [effect]};
}

function refuseConflict(
  state: FollowerState,
  from: string,
  digest: string,
  held: ConfigInForce,
): FollowerResult {
  if (state.refusedDigests.includes(digest)) return {state, effects: []};
  const effect = {
    type: 'conflict',
    from,
    generation: held.cfg.generation,
    held: held.digest,
    offered: digest,
  } as const;
  return {state: rememberRefused(state, digest), effects: [effect]};
}

function rememberRefused(state: FollowerState, digest: string): FollowerState {
  const refusedDigests = [...state.refusedDigests, digest].slice(
    -MAX_REFUSED_DIGESTS,
  );
  return {...state, refusedDigests};
}
