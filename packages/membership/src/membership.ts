/**
 * Gossip membership in the manner of SWIM: probes of random members that carry
 * changes, indirect probes through relays, and suspicions that the suspected
 * member can refute. The number of bytes that an instance sends does not depend
 * on the size of the fleet. The functions are pure: they use no clock, socket or
 * log, and the random number generator is part of the state.
 */
import {takeChangesForMessage} from './change-queue.js';
import type {MemberRecord} from './member.js';
import type {
  GossipChange,
  ConfigSummary,
  PeerMessage,
  MessagePayload,
} from './messages.js';
import {mergeChanges, mergeMember, storeReport} from './merge.js';
import {pickRandom} from './random.js';
import {
  type MembershipEffect,
  type MembershipEvent,
  type MembershipResult,
  type MembershipState,
  livePeers,
} from './state.js';

/** Maximum number of members in one `roster` message. */
const MAX_ROSTER_MEMBERS = 64;

/** Number of seeds probed at a time while no peer is known. */
const SEEDS_WITHOUT_PEERS = 3;

/** Processes one event. `now` is monotonic time in milliseconds. */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  now: number,
): MembershipResult {
  switch (event.type) {
    case 'tick':
      return tick(state, now);
    case 'received':
      return handleMessage(state, event.message, now);
    case 'listed':
      return {state: setSeeds(state, event.addresses), effects: []};
    case 'inForce':
      return setConfigSummary(state, event.config);
    case 'suspects': {
      const seq = (state.reports.get(state.self.id)?.seq ?? now) + 1;
      const {suspected} = event;
      const report = {instance: state.self.id, seq, suspected};
      return thenSendToRandomPeers(storeReport(state, report));
    }
    case 'ask': {
      const to = state.members.get(event.instance)?.record.address;
      if (!to) return {state, effects: []};
      return send(state, [to], event.payload);
    }
    case 'askAny':
      return sendToAnyone(state, event.payload);
    case 'leave':
      return leave(state);
  }
}

/** Sends one message with queued changes to each address. */
function send(
  state: MembershipState,
  addresses: readonly string[],
  payload: MessagePayload,
): MembershipResult {
  let queue = state.queue;
  const effects: MembershipEffect[] = [];
  for (const to of addresses) {
    const taken = takeChangesForMessage(queue, state.members.size);
    queue = taken.queue;
    const {self: from, config} = state;
    const message = {from, config, changes: taken.changes, ...payload};
    effects.push({type: 'send', to, message});
  }
  return {state: {...state, queue}, effects};
}

/** Sends queued changes to a few random peers without waiting for a probe. */
function sendToRandomPeers(state: MembershipState): MembershipResult {
  const addresses = livePeers(state).map(peer => peer.address);
  const {fanOut} = state.limits;
  const {picked, random} = pickRandom(state.random, addresses, fanOut);
  return send({...state, random}, picked, {type: 'news'});
}

function thenSendToRandomPeers(result: MembershipResult): MembershipResult {
  return chain(result, sendToRandomPeers);
}

/** Applies `next` to the state of `result` and joins the effects of both. */
function chain(
  result: MembershipResult,
  next: (state: MembershipState) => MembershipResult,
): MembershipResult {
  const following = next(result.state);
  return {
    state: following.state,
    effects: [...result.effects, ...following.effects],
  };
}

function setSeeds(
  state: MembershipState,
  addresses: readonly string[],
): MembershipState {
  const own = state.self.address;
  const seeds = [...new Set(addresses)].filter(address => address !== own);
  return {...state, seeds};
}

function setConfigSummary(
  state: MembershipState,
  config: ConfigSummary,
): MembershipResult {
  return sendToRandomPeers({...state, config});
}

function sendToAnyone(
  state: MembershipState,
  payload: MessagePayload,
): MembershipResult {
  const peerAddresses = livePeers(state).map(peer => peer.address);
  const candidates = peerAddresses.length > 0 ? peerAddresses : state.seeds;
  const {fanOut} = state.limits;
  const {picked, random} = pickRandom(state.random, candidates, fanOut);
  return send({...state, random}, picked, payload);
}

function leave(state: MembershipState): MembershipResult {
  const self = {...state.self, status: 'left'} as const;
  const left = {...state, self, probe: undefined};
  const addresses = livePeers(state).map(peer => peer.address);
  const {picked} = pickRandom(state.random, addresses, 2 * state.limits.fanOut);
  return send(left, picked, {type: 'news'});
}

function handleMessage(
  state: MembershipState,
  message: PeerMessage,
  now: number,
): MembershipResult {
  const {from, config} = message;
  if (from.id === state.self.id) return {state, effects: []};
  const senderBefore = state.members.get(from.id)?.record;
  const isNew = !senderBefore;
  let result = mergeMember(state, from, now);
  result = chain(result, next => mergeChanges(next, message.changes, now));
  result = chain(result, next => ({
    state: next,
    effects: [{type: 'heard', from: from.id, config}],
  }));
  // Tells a sender that is recorded as dead or suspect, so it can refute that.
  const senderRecord = result.state.members.get(from.id)?.record;
  if (
    senderRecord &&
    senderRecord.status !== 'alive' &&
    from.status !== 'left'
  ) {
    const member = senderRecord;
    const queued = {change: {kind: 'member', member}, sendCount: 0} as const;
    const queue = [queued, ...result.state.queue];
    result = {...result, state: {...result.state, queue}};
  }
  result = chain(result, next => handlePayload(next, message, isNew, now));
  const hasNewReport = result.effects.some(item => item.type === 'reports');
  return hasNewReport ? thenSendToRandomPeers(result) : result;
}

function handlePayload(
  state: MembershipState,
  message: PeerMessage,
  isNew: boolean,
  now: number,
): MembershipResult {
  const to = message.from.address;
  switch (message.type) {
    case 'ping': {
      const pingAcked = send(state, [to], {type: 'ack', seq: message.seq});
      return isNew ? chain(pingAcked, next => sendRoster(next, to)) : pingAcked;
    }
    case 'ack':
      return handleAck(state, message.seq);
    case 'relay':
      return relayPing(state, message.target, to, message.seq, now);
    case 'roster':
      return handleRoster(state, message.members, now);
    case 'news':
      return {state, effects: []};
    default:
      return {state, effects: [{type: 'deliver', message}]};
  }
}

/** Sends the live members to a new member, in messages of bounded size. */
function sendRoster(state: MembershipState, to: string): MembershipResult {
  const records = livePeers(state);
  let result: MembershipResult = {state, effects: []};
  for (let i = 0; i < records.length; i += MAX_ROSTER_MEMBERS) {
    const members = records.slice(i, i + MAX_ROSTER_MEMBERS);
    const roster = {type: 'roster', members} as const;
    result = chain(result, next => send(next, [to], roster));
  }
  return result;
}

/**
 * Merges a roster without queueing its records, since the peers have them
 * already.
 */
function handleRoster(
  state: MembershipState,
  members: readonly MemberRecord[],
  now: number,
): MembershipResult {
  const changes = members.map(member => ({kind: 'member', member}) as const);
  const result = mergeChanges(state, changes, now);
  const isRefuted = result.state.self.incarnation !== state.self.incarnation;
  // A refutation must be gossiped, so its queue is kept.
  const queue = isRefuted ? result.state.queue : state.queue;
  return {...result, state: {...result.state, queue}};
}

function handleAck(state: MembershipState, seq: number): MembershipResult {
  if (state.probe?.seq === seq) {
    return {state: {...state, probe: undefined}, effects: []};
  }
  const relayed = state.relayed.find(item => item.seq === seq);
  if (!relayed) return {state, effects: []};
  const remaining = state.relayed.filter(item => item !== relayed);
  const ack = {type: 'ack', seq: relayed.requesterSeq} as const;
  return send({...state, relayed: remaining}, [relayed.requesterAddress], ack);
}

function relayPing(
  state: MembershipState,
  target: string,
  requesterAddress: string,
  requesterSeq: number,
  now: number,
): MembershipResult {
  const seq = state.lastSeq + 1;
  const item = {seq, requesterAddress, requesterSeq, startedAt: now};
  const relayed = [...state.relayed, item];
  const next = {...state, lastSeq: seq, relayed};
  return send(next, [target], {type: 'ping', seq});
}

function tick(state: MembershipState, now: number): MembershipResult {
  if (state.self.status === 'left') return {state, effects: []};
  const pausedMs = now - (state.lastTickAt ?? now);
  const ticked = {...state, lastTickAt: now};
  if (pausedMs > state.limits.pauseThresholdMs)
    return resumeAfterPause(ticked, pausedMs, now);
  let result = expireMembers(ticked, now);
  result = chain(result, next => advanceProbe(next, now));
  if (now < result.state.nextProbeAt) return result;
  return chain(result, next => startProbe(next, now));
}

/**
 * Resumes after this instance was paused. Timeouts that passed during the pause
 * are no evidence against other members, because their answers may have arrived
 * without being processed. Earlier suspicions are dropped and no longer
 * gossiped; peers or new probes report those that are still valid.
 */
function resumeAfterPause(
  state: MembershipState,
  pausedMs: number,
  now: number,
): MembershipResult {
  const members = new Map(state.members);
  for (const [id, {record}] of members) {
    if (record.status !== 'suspect') continue;
    const alive = {...record, status: 'alive'} as const;
    members.set(id, {record: alive, statusSince: now});
  }
  const queue = state.queue.filter(({change}) => !isSuspicion(change));
  return {
    state: {...state, members, queue, probe: undefined, relayed: []},
    effects: [{type: 'woke', pausedMs}],
  };
}

function isSuspicion(change: GossipChange): boolean {
  return change.kind === 'member' && change.member.status === 'suspect';
}

/** Declares suspects dead after their timeout, and deletes old records. */
function expireMembers(state: MembershipState, now: number): MembershipResult {
  const {suspicionMs, forgetAfterMs, probeTimeoutMs} = state.limits;
  const relayed = state.relayed.filter(
    item => now - item.startedAt < probeTimeoutMs,
  );
  let result: MembershipResult = {
    state: relayed.length < state.relayed.length ? {...state, relayed} : state,
    effects: [],
  };
  for (const [id, {record, statusSince}] of state.members) {
    const age = now - statusSince;
    if (record.status === 'suspect' && age >= suspicionMs) {
      const dead = {...record, status: 'dead'} as const;
      result = chain(result, next => mergeMember(next, dead, now));
    }
    const isGone = record.status === 'dead' || record.status === 'left';
    if (!isGone || age < forgetAfterMs) continue;
    const members = new Map(result.state.members);
    members.delete(id);
    result = {...result, state: {...result.state, members}};
  }
  return result;
}

/** Starts indirect probes or a suspicion if a probe is unanswered. */
function advanceProbe(state: MembershipState, now: number): MembershipResult {
  const {probe, limits} = state;
  if (!probe) return {state, effects: []};
  const age = now - probe.startedAt;
  if (age >= limits.probeTimeoutMs) return failProbe(state, now);
  if (probe.relayed || age < limits.directProbeTimeoutMs || !probe.id) {
    return {state, effects: []};
  }
  const others = livePeers(state).filter(peer => peer.id !== probe.id);
  const addresses = others.map(peer => peer.address);
  const {picked, random} = pickRandom(
    state.random,
    addresses,
    limits.relayCount,
  );
  const next = {...state, random, probe: {...probe, relayed: true}};
  const {seq, target} = probe;
  return send(next, picked, {type: 'relay', seq, target});
}

function failProbe(state: MembershipState, now: number): MembershipResult {
  const id = state.probe?.id;
  const next = {...state, probe: undefined};
  const record = id === undefined ? undefined : next.members.get(id)?.record;
  if (record?.status !== 'alive') return {state: next, effects: []};
  return mergeMember(next, {...record, status: 'suspect'}, now);
}

/** Probes one member, and one seed address that belongs to no live member. */
function startProbe(state: MembershipState, now: number): MembershipResult {
  const nextProbeAt = now + state.limits.probeIntervalMs;
  const peers = livePeers(state);
  const knownAddresses = new Set(peers.map(peer => peer.address));
  const unknownSeeds = state.seeds.filter(
    address => !knownAddresses.has(address),
  );
  const seedCount = peers.length === 0 ? SEEDS_WITHOUT_PEERS : 1;
  const seeds = pickRandom(state.random, unknownSeeds, seedCount);
  const chosen = pickRandom(seeds.random, peers, state.probe ? 0 : 1);
  const peer = chosen.picked[0];
  const seq = state.lastSeq + 1;
  const probe = peer
    ? {seq, target: peer.address, id: peer.id, startedAt: now, relayed: false}
    : state.probe;
  const next = {
    ...state,
    nextProbeAt,
    random: chosen.random,
    lastSeq: seq,
    probe,
  };
  const targets = peer ? [peer.address, ...seeds.picked] : seeds.picked;
  return send(next, targets, {type: 'ping', seq});
}
