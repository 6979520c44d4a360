/**
 * Decides who is in the fleet: random probes, each carrying changes, indirect
 * probes through others, and suspicion that its subject can refute. The bytes
 * that an instance sends do not depend on the size of the fleet. No clock,
 * socket or log is used here; random choices come from the state.
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

/** Members told to a newcomer by one message. */
const ROSTER_PAGE = 64;

/** Seeds probed at a time while nobody is known. */
const SEEDS_AT_START = 3;

/** The next state. `now` is monotonic milliseconds. */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  now: number,
): MembershipResult {
  switch (event.type) {
    case 'tick':
      return tick(state, now);
    case 'received':
      return received(state, event.message, now);
    case 'listed':
      return {state: listed(state, event.addresses), effects: []};
    case 'inForce':
      return inForce(state, event.config);
    case 'suspects': {
      const seq = (state.reports.get(state.self.id)?.seq ?? now) + 1;
      const {suspected} = event;
      const report = {instance: state.self.id, seq, suspected};
      return thenTell(storeReport(state, report));
    }
    case 'ask': {
      const to = state.members.get(event.instance)?.record.address;
      if (!to) return {state, effects: []};
      return send(state, [to], event.payload);
    }
    case 'askAny':
      return askAny(state, event.payload);
    case 'leave':
      return leave(state);
  }
}

/** Sends one message to each address, with the changes that are due. */
function send(
  state: MembershipState,
  addresses: readonly string[],
  purpose: MessagePayload,
): MembershipResult {
  let queue = state.queue;
  const effects: MembershipEffect[] = [];
  for (const to of addresses) {
    const taken = takeChangesForMessage(queue, state.members.size);
    queue = taken.queue;
    const {self: from, config} = state;
    const message = {from, config, changes: taken.changes, ...purpose};
    effects.push({type: 'send', to, message});
  }
  return {state: {...state, queue}, effects};
}

/** Sends what is new to a few members at once. */
function tellSome(state: MembershipState): MembershipResult {
  const addresses = livePeers(state).map(peer => peer.address);
  const {fanOut} = state.limits;
  const {picked: drawn, random} = pickRandom(state.random, addresses, fanOut);
  return send({...state, random}, drawn, {type: 'news'});
}

function thenTell(result: MembershipResult): MembershipResult {
  return chain(result, tellSome);
}

/** Goes on from a result, and gathers the effects of both. */
function chain(
  result: MembershipResult,
  next: (state: MembershipState) => MembershipResult,
): MembershipResult {
  const then = next(result.state);
  return {state: then.state, effects: [...result.effects, ...then.effects]};
}

function listed(
  state: MembershipState,
  addresses: readonly string[],
): MembershipState {
  const own = state.self.address;
  const seeds = [...new Set(addresses)].filter(address => address !== own);
  return {...state, seeds};
}

function inForce(
  state: MembershipState,
  config: ConfigSummary,
): MembershipResult {
  return tellSome({...state, config});
}

function askAny(
  state: MembershipState,
  purpose: MessagePayload,
): MembershipResult {
  const known = livePeers(state).map(peer => peer.address);
  const from = known.length > 0 ? known : state.seeds;
  const {fanOut} = state.limits;
  const {picked: drawn, random} = pickRandom(state.random, from, fanOut);
  return send({...state, random}, drawn, purpose);
}

function leave(state: MembershipState): MembershipResult {
  const self = {...state.self, status: 'left'} as const;
  const left = {...state, self, probe: undefined};
  const addresses = livePeers(state).map(peer => peer.address);
  const {picked: drawn} = pickRandom(
    state.random,
    addresses,
    2 * state.limits.fanOut,
  );
  return send(left, drawn, {type: 'news'});
}

function received(
  state: MembershipState,
  message: PeerMessage,
  now: number,
): MembershipResult {
  const {from, config} = message;
  if (from.id === state.self.id) return {state, effects: []};
  const held = state.members.get(from.id)?.record;
  const isNew = !held;
  let result = mergeMember(state, from, now);
  result = chain(result, next => mergeChanges(next, message.changes, now));
  result = chain(result, next => ({
    state: next,
    effects: [{type: 'heard', from: from.id, config}],
  }));
  // A sender that is held for dead or suspect is told so, for it to refute.
  const rest = result.state.members.get(from.id)?.record;
  if (rest && rest.status !== 'alive' && from.status !== 'left') {
    const member = rest;
    const change = {change: {kind: 'member', member}, sent: 0} as const;
    const queue = [change, ...result.state.queue];
    result = {...result, state: {...result.state, queue}};
  }
  result = chain(result, next => answer(next, message, isNew, now));
  const hasNewReport = result.effects.some(item => item.type === 'reports');
  return hasNewReport ? thenTell(result) : result;
}

function answer(
  state: MembershipState,
  message: PeerMessage,
  isNew: boolean,
  now: number,
): MembershipResult {
  const to = message.from.address;
  switch (message.type) {
    case 'ping': {
      const acked = send(state, [to], {type: 'ack', seq: message.seq});
      return isNew ? chain(acked, next => welcome(next, to)) : acked;
    }
    case 'ack':
      return acked(state, message.seq);
    case 'relay':
      return relay(state, message.target, to, message.seq, now);
    case 'roster':
      return takeRoster(state, message.members, now);
    case 'news':
      return {state, effects: []};
    default:
      return {state, effects: [{type: 'deliver', message}]};
  }
}

/** Tells a newcomer who is there, in pages of bounded size. */
function welcome(state: MembershipState, to: string): MembershipResult {
  const records = livePeers(state);
  let result: MembershipResult = {state, effects: []};
  for (let i = 0; i < records.length; i += ROSTER_PAGE) {
    const members = records.slice(i, i + ROSTER_PAGE);
    const roster = {type: 'roster', members} as const;
    result = chain(result, next => send(next, [to], roster));
  }
  return result;
}

/** Takes in what others know already: it is not passed on. */
function takeRoster(
  state: MembershipState,
  members: readonly MemberRecord[],
  now: number,
): MembershipResult {
  const changes = members.map(member => ({kind: 'member', member}) as const);
  const result = mergeChanges(state, changes, now);
  const own = result.state.self.incarnation !== state.self.incarnation;
  // A refutation is news for everyone.
  const queue = own ? result.state.queue : state.queue;
  return {...result, state: {...result.state, queue}};
}

function acked(state: MembershipState, seq: number): MembershipResult {
  if (state.probe?.seq === seq) {
    return {state: {...state, probe: undefined}, effects: []};
  }
  const relayed = state.relayed.find(item => item.seq === seq);
  if (!relayed) return {state, effects: []};
  const rest = state.relayed.filter(item => item !== relayed);
  const ack = {type: 'ack', seq: relayed.requesterSeq} as const;
  return send({...state, relayed: rest}, [relayed.requesterAddress], ack);
}

function relay(
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
  const seen = {...state, lastTickAt: now};
  if (pausedMs > state.limits.pauseThresholdMs)
    return wake(seen, pausedMs, now);
  let result = expire(seen, now);
  result = chain(result, next => advanceProbe(next, now));
  if (now < result.state.nextProbeAt) return result;
  return chain(result, next => startProbe(next, now));
}

/**
 * After a pause nothing that fell due meanwhile says anything about others:
 * their answers may have come and waited. Suspicions from before are dropped
 * and not passed on; those that still hold come back from others or probes.
 */
function wake(
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
  const queue = state.queue.filter(({change: change}) => !isSuspicion(change));
  return {
    state: {...state, members, queue, probe: undefined, relayed: []},
    effects: [{type: 'woke', pausedMs}],
  };
}

function isSuspicion(change: GossipChange): boolean {
  return change.kind === 'member' && change.member.status === 'suspect';
}

/** Declares overdue suspects dead and forgets those long gone. */
function expire(state: MembershipState, now: number): MembershipResult {
  const {suspicionMs, forgetAfterMs: forgetMs, probeTimeoutMs} = state.limits;
  const relayed = state.relayed.filter(
    item => now - item.startedAt < probeTimeoutMs,
  );
  let result: MembershipResult = {
    state: relayed.length < state.relayed.length ? {...state, relayed} : state,
    effects: [],
  };
  for (const [id, {record, statusSince: since}] of state.members) {
    const age = now - since;
    if (record.status === 'suspect' && age >= suspicionMs) {
      const dead = {...record, status: 'dead'} as const;
      result = chain(result, next => mergeMember(next, dead, now));
    }
    const isGone = record.status === 'dead' || record.status === 'left';
    if (!isGone || age < forgetMs) continue;
    const members = new Map(result.state.members);
    members.delete(id);
    result = {...result, state: {...result.state, members}};
  }
  return result;
}

/** Asks others to probe, or suspects, when no answer came. */
function advanceProbe(state: MembershipState, now: number): MembershipResult {
  const {probe, limits} = state;
  if (!probe) return {state, effects: []};
  const age = now - probe.startedAt;
  if (age >= limits.probeTimeoutMs) return giveUp(state, now);
  if (probe.relayed || age < limits.directProbeTimeoutMs || !probe.id) {
    return {state, effects: []};
  }
  const others = livePeers(state).filter(peer => peer.id !== probe.id);
  const addresses = others.map(peer => peer.address);
  const {picked: drawn, random} = pickRandom(
    state.random,
    addresses,
    limits.relayCount,
  );
  const next = {...state, random, probe: {...probe, relayed: true}};
  const {seq, target} = probe;
  return send(next, drawn, {type: 'relay', seq, target});
}

function giveUp(state: MembershipState, now: number): MembershipResult {
  const id = state.probe?.id;
  const next = {...state, probe: undefined};
  const record = id === undefined ? undefined : next.members.get(id)?.record;
  if (record?.status !== 'alive') return {state: next, effects: []};
  return mergeMember(next, {...record, status: 'suspect'}, now);
}

/** Probes one member, and one listed address that is no member. */
function startProbe(state: MembershipState, now: number): MembershipResult {
  const nextProbeAt = now + state.limits.probeIntervalMs;
  const peers = livePeers(state);
  const known = new Set(peers.map(peer => peer.address));
  const strangers = state.seeds.filter(address => !known.has(address));
  const atStart = peers.length === 0 ? SEEDS_AT_START : 1;
  const seeds = pickRandom(state.random, strangers, atStart);
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
