/**
 * Decides which configuration is in force on one instance, from whatever the
 * store and peers tell in whatever order. Generations only rise. No clock,
 * socket or log is used here.
 */
import {messageOf} from '@quetzalreel/common';
import type {Configuration} from './configuration.js';
import {digestOf} from './digest.js';
import {parseConfiguration} from './schema.js';

/** Where a document or a generation was learned. */
export const ConfigSource = {
  /** A watch of the store. */
  Watched: 'watched',
  /** A plain read of the store. */
  Read: 'read',
  /** Another instance. */
  Peer: 'peer',
} as const;

/** One of the values of `Source`. */
export type ConfigSource = (typeof ConfigSource)[keyof typeof ConfigSource];

/** A configuration that is in force. */
export interface ConfigInForce {
  readonly cfg: Configuration;
  /** The document as it was stored, for passing on. */
  readonly document: unknown;
  readonly digest: string;
}

/** What one instance knows of the configuration. */
export interface FollowerState {
  readonly inForce: ConfigInForce | undefined;
  /** Version of the stored object that was read last; 0 before. */
  readonly version: number;
  /** Whether the last call to the store failed. */
  readonly storeDown: boolean;
  /** Digests of documents that were refused, the newest last. */
  readonly refused: readonly string[];
}

/** What can happen. */
export type FollowerEvent =
  | {
      readonly type: 'document';
      readonly source: ConfigSource;
      /** Name of the peer, or `store`. */
      readonly from: string;
      readonly document: unknown;
      /** Version of the stored object; undefined from a peer. */
      readonly version?: number;
    }
  /** A peer told what it has in force. */
  | {
      readonly type: 'heard';
      readonly from: string;
      readonly generation: number;
      readonly digest: string;
    }
  | {readonly type: 'storeDown'; readonly why: string}
  | {readonly type: 'storeUp'};

/** What is to be done. */
export type FollowerEffect =
  /** Put `inForce` in force, and tell peers of it. */
  | {
      readonly type: 'apply';
      readonly inForce: ConfigInForce;
      readonly source: ConfigSource;
      readonly from: string;
    }
  /** Ask this peer for its document. */
  | {readonly type: 'askPeer'; readonly from: string}
  /** Ask any peers: nothing is in force and the store doesn't answer. */
  | {readonly type: 'askPeers'}
  /** Tell operators: this document was refused. */
  | {readonly type: 'refused'; readonly from: string; readonly why: string}
  /** Tell operators: two documents claim one generation. */
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

/** A state and what is to be done on the way to it. */
export interface FollowerResult {
  readonly state: FollowerState;
  readonly effects: readonly FollowerEffect[];
}

/** Refused documents that are remembered, so that each is told once. */
const MAX_REFUSED = 16;

/** Nothing is in force. */
export function initialFollower(): FollowerState {
  return {inForce: undefined, version: 0, storeDown: false, refused: []};
}

/** The next state. */
export function stepFollower(
  state: FollowerState,
  event: FollowerEvent,
): FollowerResult {
  switch (event.type) {
    case 'document':
      return offered(state, event);
    case 'heard':
      return heard(state, event);
    case 'storeDown':
      return storeDown(state, event.why);
    case 'storeUp':
      return storeUp(state);
  }
}

function storeDown(state: FollowerState, why: string): FollowerResult {
  const effects: FollowerEffect[] = [];
  if (!state.storeDown) effects.push({type: 'storeChanged', down: true, why});
  if (!state.inForce) effects.push({type: 'askPeers'});
  return {state: {...state, storeDown: true}, effects};
}

function storeUp(state: FollowerState): FollowerResult {
  if (!state.storeDown) return {state, effects: []};
  const effect = {type: 'storeChanged', down: false, why: 'answers'} as const;
  return {state: {...state, storeDown: false}, effects: [effect]};
}

type Offer = Extract<FollowerEvent, {type: 'document'}>;

function offered(before: FollowerState, event: Offer): FollowerResult {
  const version = Math.max(before.version, event.version ?? 0);
  const state = {...before, version};
  const digest = digestOf(event.document);
  const held = state.inForce;
  if (held?.digest === digest) return {state, effects: []};
  let cfg: Configuration;
  try {
    cfg = parseConfiguration(event.document);
  } catch (err) {
    return refuse(state, event.from, digest, messageOf(err));
  }
  const generation = cfg.generation;
  if (held && generation < held.cfg.generation) return {state, effects: []};
  if (held && generation === held.cfg.generation) {
    return conflict(state, event.from, digest, held);
  }
  const inForce = {cfg, document: event.document, digest};
  const {source, from} = event;
  return {
    state: {...state, inForce},
    effects: [{type: 'apply', inForce, source, from}],
  };
}

type Heard = Extract<FollowerEvent, {type: 'heard'}>;

function heard(state: FollowerState, event: Heard): FollowerResult {
  const {from, generation, digest} = event;
  const held = state.inForce;
  const own = held?.cfg.generation ?? 0;
  if (generation > own && !state.refused.includes(digest)) {
    return {state, effects: [{type: 'askPeer', from}]};
  }
  if (held && generation === own && digest !== held.digest) {
    return conflict(state, from, digest, held);
  }
  return {state, effects: []};
}

function refuse(
  state: FollowerState,
  from: string,
  digest: string,
  why: string,
): FollowerResult {
  if (state.refused.includes(digest)) return {state, effects: []};
  const effect = {type: 'refused', from, why} as const;
  return {state: remember(state, digest), effects: [effect]};
}

function conflict(
  state: FollowerState,
  from: string,
  digest: string,
  held: ConfigInForce,
): FollowerResult {
  if (state.refused.includes(digest)) return {state, effects: []};
  const effect = {
    type: 'conflict',
    from,
    generation: held.cfg.generation,
    held: held.digest,
    offered: digest,
  } as const;
  return {state: remember(state, digest), effects: [effect]};
}

function remember(state: FollowerState, digest: string): FollowerState {
  const refused = [...state.refused, digest].slice(-MAX_REFUSED);
  return {...state, refused};
}
