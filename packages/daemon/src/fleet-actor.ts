/**
 * The actor of membership: passes messages of peers, the platform's list of
 * instances and timer ticks to the pure membership state machine, and executes
 * the effects that it returns.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {
  type Clock,
  type Disposable,
  disposableStore,
  messageOf,
} from '@quetzalreel/common';
import type {FollowerEvent, ConfigInForce} from '@quetzalreel/config';
import {
  type MemberRecord,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  type PeerMessage,
  type SuspectedPrimary,
  type SuspicionReport,
  initialMembership,
  isPeerMessage,
  liveMembers,
  seededRandom,
  stepMembership,
} from '@quetzalreel/membership';
import {
  type PeerTls,
  type PeerTraffic,
  type PeerTransport,
  tcpTransport,
} from '@quetzalreel/peer';
import type {PlatformClient} from '@quetzalreel/object-store';
import {type ActorSystemRef, dispatch, spawn, stop} from 'nact';
import type {ConfigPeers} from './config-actor.js';
import {LINK_LIMITS, MEMBERSHIP_LIMITS, TIMES} from './defaults.js';
import type {Log} from './log.js';
import {keepRunning} from './supervision.js';

/** Dependencies and parameters of membership. */
export interface FleetContext {
  readonly system: ActorSystemRef;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly instance: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  /** Address of this instance's HTTP interface for operators. */
  readonly admin: string;
  /** Addresses of peers from the settings. */
  readonly peers: readonly string[];
  /** Seed of the random number generator. */
  readonly seed: number;
  /** Higher at each start of this instance than at the start before. */
  readonly incarnation: number;
  readonly tls?: () => PeerTls;
  /** Configuration in force on this instance, sent to peers on request. */
  readonly inForce: () => ConfigInForce | undefined;
  /** Called with a peer's generation or document of the configuration. */
  readonly onConfig: (event: FollowerEvent) => void;
  readonly onMembers: (members: readonly MemberRecord[]) => void;
  readonly onReports: (reports: ReadonlyMap<string, SuspicionReport>) => void;
  /** Called with each message about a loan of connections. */
  readonly onLoan: (message: LoanMessage) => void;
}

/** A message about a loan of connections. */
export type LoanMessage = Extract<PeerMessage, {type: 'wantLoan' | 'loan'}>;

/** Membership of the fleet, as known to this instance. */
export interface FleetHandle extends Disposable {
  /** Address at which peers reach this instance. */
  readonly address: string;
  /** Live members, this instance included. */
  readonly members: readonly MemberRecord[];
  readonly state: MembershipState;
  readonly traffic: PeerTraffic;
  readonly configPeers: ConfigPeers;
  /** Broadcasts which primaries this instance suspects. */
  broadcastSuspicions(suspected: readonly SuspectedPrimary[]): void;
  /** Requests a loan of connections from a few members. */
  requestLoan(endpoint: string, count: number): void;
  grantLoan(to: string, endpoint: string, count: number): void;
  /** Broadcasts that this instance leaves the fleet. */
  leave(): void;
}

/** Largest document accepted from a peer, in bytes after decompression. */
const MAX_DOCUMENT_BYTES = 1024 * 1024;

/** Starts the peer transport and joins the fleet. */
export async function joinFleet(context: FleetContext): Promise<FleetHandle> {
  const {clock, log} = context;
  const owned = disposableStore();
  let transport: PeerTransport<PeerMessage> | undefined = undefined;
  let state: MembershipState;
  let lastDocumentRequest = {generation: 0, at: -Infinity};

  const link = await tcpTransport<PeerMessage>({
    host: context.host,
    port: context.port,
    clock,
    limits: LINK_LIMITS,
    check: isPeerMessage,
    ...(context.tls ? {tls: context.tls} : {}),
    onMessage: message => {
      if (transport) send({type: 'received', message});
    },
    onLinkError: (address, why) => log.debug({address, why}, 'link lost'),
  });
  transport = link;
  const {instance: id, admin, dataCentre, incarnation} = context;
  const self = {id, address: link.address, admin, dataCentre, incarnation};
  state = initialMembership(
    self,
    MEMBERSHIP_LIMITS,
    seededRandom(context.seed),
  );
  const actor = spawn(
    context.system,
    (current: MembershipState, event: MembershipEvent) => {
      const result = stepMembership(current, event, clock.now());
      state = result.state;
      for (const effect of result.effects) perform(effect);
      return state;
    },
    'membership',
    {
      initialState: state,
      onCrash: keepRunning<MembershipEvent>(log, 'membership'),
    },
  );
  const send = (event: MembershipEvent) => dispatch(actor, event);

  function perform(effect: MembershipEffect): void {
    switch (effect.type) {
      case 'send':
        link.send(effect.to, effect.message);
        return;
      case 'member': {
        const {id: member, address, status} = effect.member;
        const before = effect.before?.status;
        log.info({member, address, before, status}, 'member');
        context.onMembers(liveMembers(state));
        return;
      }
      case 'reports':
        context.onReports(state.reports);
        return;
      case 'heard':
        context.onConfig({type: 'heard', from: effect.from, ...effect.config});
        return;
      case 'deliver':
        deliver(effect.message);
        return;
      case 'refuted':
        log.warn({incarnation: effect.incarnation}, 'suspicion refuted');
        return;
      case 'woke':
        log.warn({pausedMs: Math.round(effect.pausedMs)}, 'woke from a pause');
    }
  }

  function deliver(message: PeerMessage): void {
    const from = message.from.id;
    if (message.type === 'wantDocument') sendDocument(from);
    if (message.type === 'document') receiveDocument(from, message.body);
    if (message.type === 'wantLoan' || message.type === 'loan') {
      context.onLoan(message);
    }
  }

  function sendDocument(instance: string): void {
    const inForce = context.inForce();
    if (!inForce) return;
    const body = deflateRawSync(JSON.stringify(inForce.document));
    send({type: 'ask', instance, payload: {type: 'document', body}});
  }

  function receiveDocument(from: string, body: Uint8Array): void {
    try {
      const options = {maxOutputLength: MAX_DOCUMENT_BYTES};
      const text = inflateRawSync(body, options).toString('utf8');
      const document = JSON.parse(text) as unknown;
      context.onConfig({type: 'document', source: 'peer', from, document});
    } catch (err) {
      log.warn({from, why: messageOf(err)}, 'document unreadable');
    }
  }

  function requestDocument(instance: string): void {
    const generation = context.inForce()?.cfg.generation ?? 0;
    const now = clock.now();
    const isRequested =
      generation === lastDocumentRequest.generation &&
      now - lastDocumentRequest.at < TIMES.documentRetryMs;
    if (isRequested) return;
    lastDocumentRequest = {generation, at: now};
    send({type: 'ask', instance, payload: {type: 'wantDocument'}});
  }

  async function pollInstanceList(): Promise<void> {
    send({type: 'listed', addresses: context.peers});
    while (!owned.disposed) {
      try {
        const listed = await context.platform.instances();
        const addresses = listed.map(item => item.address);
        send({type: 'listed', addresses: [...context.peers, ...addresses]});
      } catch (err) {
        log.debug({why: messageOf(err)}, 'instance list not read');
      }
      const members = Math.max(8, state.members.size + 1);
      await clock.sleep((TIMES.instanceListIntervalMs * members) / 8);
    }
  }

  function leave(): void {
    if (state.self.status === 'left') return;
    // Runs outside of the actor: its next message might be processed only after
    // the transport is closed.
    const result = stepMembership(state, {type: 'leave'}, clock.now());
    state = result.state;
    stop(actor);
    for (const effect of result.effects) perform(effect);
  }

  const timer = setInterval(() => send({type: 'tick'}), TIMES.fleetTickMs);
  owned.add(link);
  owned.add({dispose: () => clearInterval(timer)});
  owned.add({dispose: () => stop(actor)});
  void pollInstanceList();

  return {
    address: link.address,
    get members() {
      return liveMembers(state);
    },
    get state() {
      return state;
    },
    get traffic() {
      return link.traffic;
    },
    configPeers: {
      get members() {
        return liveMembers(state).length;
      },
      requestDocument: requestDocument,
      requestDocumentFromAny: () =>
        send({type: 'askAny', payload: {type: 'wantDocument'}}),
      announce: inForce => {
        const {generation} = inForce.cfg;
        const {digest} = inForce;
        send({type: 'inForce', config: {generation, digest}});
      },
    },
    broadcastSuspicions: suspected => send({type: 'suspects', suspected}),
    requestLoan: (endpoint, count) =>
      send({type: 'askAny', payload: {type: 'wantLoan', endpoint, count}}),
    grantLoan: (instance, endpoint, count) =>
      send({type: 'ask', instance, payload: {type: 'loan', endpoint, count}}),
    leave,
    dispose() {
      leave();
      owned.dispose();
    },
  };
}
