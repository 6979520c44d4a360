/**
 * The actor of the connection shares: applies them to groups and handles loans.
 */
import {type Clock, type Disposable} from '@quetzalreel/common';
import type {Configuration, EndpointConfig} from '@quetzalreel/config';
import {
  type MemberRecord,
  type ShareEffect,
  type ShareEvent,
  type ShareState,
  allowedConnections,
  initialShares,
  stepShares,
} from '@quetzalreel/membership';
import {type ActorSystemRef, dispatch, spawn, stop} from 'nact';
import xxhash from 'xxhash-wasm';
import {SHARE_LIMITS} from './defaults.js';
import type {LoanMessage} from './fleet-actor.js';
import type {Log} from './log.js';
import {keepRunning} from './supervision.js';

/** Dependencies and parameters of the connection shares. */
export interface ShareContext {
  readonly system: ActorSystemRef;
  readonly clock: Clock;
  readonly log: Log;
  readonly instance: string;
  /**
   * Number of instances from the settings, used until the members are known.
   */
  readonly expectedInstances: number;
  readonly tickMs: number;
  /** Sets how many requests may run on an endpoint at the same time. */
  readonly setCapacity: (endpoint: string, capacity: number) => void;
  /** Number of requests running on an endpoint, and waiting in its group. */
  readonly useOf: (endpoint: string) => {busy: number; waiting: number};
  readonly requestLoan: (endpoint: string, count: number) => void;
  readonly grantLoan: (to: string, endpoint: string, count: number) => void;
}

/** This instance's shares of the endpoints' connections. */
export interface ShareHandle extends Disposable {
  configure(cfg: Configuration): void;
  setMembers(members: readonly MemberRecord[]): void;
  onLoan(message: LoanMessage): void;
  /** Number of requests that may run on an endpoint at the same time. */
  capacityOf(endpoint: EndpointConfig): number;
  /** Number of connections that may be open to an endpoint now. */
  connectionsOf(endpoint: string): number;
  readonly state: ShareState;
}

/** Connections to each endpoint that are reserved for control calls. */
const CONTROL_CONNECTIONS = 1;

/** Starts the actor of the connection shares. */
export async function startShares(context: ShareContext): Promise<ShareHandle> {
  const {h32} = await xxhash();
  const hash = (text: string) => h32(text);
  const slotLimits = new Map<string, number>();
  let state = initialShares(
    context.instance,
    context.expectedInstances,
    SHARE_LIMITS,
  );
  const actor = spawn(
    context.system,
    (current: ShareState, event: ShareEvent) => {
      const result = stepShares(current, event, context.clock.now(), hash);
      state = result.state;
      for (const effect of result.effects) perform(effect);
      return state;
    },
    'shares',
    {
      initialState: state,
      onCrash: keepRunning<ShareEvent>(context.log, 'shares'),
    },
  );
  const send = (event: ShareEvent) => dispatch(actor, event);

  function perform(effect: ShareEffect): void {
    const {endpoint} = effect;
    switch (effect.type) {
      case 'allowed': {
        const {connections} = effect;
        context.log.info({endpoint, connections}, 'connection share');
        context.setCapacity(endpoint, capacityFor(endpoint, connections));
        return;
      }
      case 'want':
        context.requestLoan(endpoint, effect.count);
        return;
      case 'grant':
        context.log.info({endpoint, to: effect.to}, 'connection lent');
        context.grantLoan(effect.to, endpoint, effect.count);
    }
  }

  function capacityFor(endpoint: string, connections: number): number {
    const requestConnections = Math.max(0, connections - CONTROL_CONNECTIONS);
    return Math.min(
      slotLimits.get(endpoint) ?? requestConnections,
      requestConnections,
    );
  }

  function reportUse(): void {
    for (const endpoint of state.shares.keys()) {
      const {busy, waiting} = context.useOf(endpoint);
      const inUse = busy + CONTROL_CONNECTIONS;
      send({type: 'use', endpoint, busy: inUse, waiting});
    }
    send({type: 'tick'});
  }

  const timer = setInterval(reportUse, context.tickMs);
  return {
    get state() {
      return state;
    },
    configure(cfg) {
      const list = cfg.groups.flatMap(group => group.endpoints);
      slotLimits.clear();
      for (const endpoint of list)
        slotLimits.set(endpoint.name, endpoint.slots);
      send({type: 'endpoints', list});
      for (const {name} of list) {
        if (!state.shares.has(name)) continue;
        const connections = allowedConnections(state, name);
        context.setCapacity(name, capacityFor(name, connections));
      }
    },
    setMembers: members =>
      send({type: 'members', ids: members.map(member => member.id)}),
    onLoan(message) {
      const {endpoint, count} = message;
      const from = message.from.id;
      if (message.type === 'loan') send({type: 'granted', endpoint, count});
      else send({type: 'wanted', from, endpoint, count});
    },
    capacityOf(endpoint) {
      const isKnown = state.shares.has(endpoint.name);
      const initialShare = Math.floor(
        endpoint.connections / context.expectedInstances,
      );
      const connections = isKnown
        ? allowedConnections(state, endpoint.name)
        : initialShare;
      const requestConnections = Math.max(0, connections - CONTROL_CONNECTIONS);
      return Math.min(endpoint.slots, requestConnections);
    },
    connectionsOf: endpoint => allowedConnections(state, endpoint),
    dispose() {
      clearInterval(timer);
      stop(actor);
    },
  };
}
