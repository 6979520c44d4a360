/**
 * Chooses how this instance connects to one endpoint: directly, through the
 * relay of an instance that holds connections to it, or, while the endpoint
 * does not answer directly, on a detour through any instance that reaches it.
 */
import {type Clock, hashOf} from '@quetzalreel/common';
import type {RelayAddress} from '@quetzalreel/relay';
import {TIMES} from './defaults.js';
import {NO_CONNECTIONS_PLAN, type SharingPlan} from './connection-sharing.js';

/** The path to one endpoint. */
export interface ConnectionPath {
  plan: SharingPlan;
  /** Whether a detour is in use. */
  readonly isDetour: boolean;
  /**
   * The relay for an account's requests; undefined for a direct connection. All
   * instances choose the same holder for an account, so that few holders need
   * connections of it.
   */
  nextRelay(account: string): RelayAddress | undefined;
  /** Uses `relay` as a detour for `TIMES.relayUseMs`. */
  startDetour(relay: RelayAddress): void;
  /**
   * Records a failed relay; other relays are preferred until its retry delay
   * has passed.
   */
  noteRelayFailure(relay: RelayAddress): void;
  /** Records whether a direct connection could be opened. */
  noteDirectAttempt(opened: boolean): void;
}

/** Starts without detour or failed relays. */
export function connectionPath(clock: Clock): ConnectionPath {
  let detourRelay: RelayAddress | undefined;
  let detourUntil = -Infinity;
  /** When each failed relay may be tried again. */
  const retryAt = new Map<RelayAddress, number>();
  let plan = NO_CONNECTIONS_PLAN;
  /** The holders in the order in which each account uses them. */
  let orders = new Map<string, readonly RelayAddress[]>();

  function orderFor(account: string): readonly RelayAddress[] {
    const known = orders.get(account);
    if (known) return known;
    const relays = plan.holders.map(({relay}) => relay);
    if (account !== '') {
      const rank = (relay: RelayAddress) => hashOf(`${account}/${relay}`);
      relays.sort((a, b) => rank(a) - rank(b) || (a < b ? -1 : 1));
    }
    orders.set(account, relays);
    return relays;
  }

  function isDetourActive(): boolean {
    return detourRelay !== undefined && clock.now() < detourUntil;
  }

  const path: ConnectionPath = {
    get plan() {
      return plan;
    },
    set plan(next) {
      plan = next;
      orders = new Map();
    },
    get isDetour() {
      return isDetourActive();
    },
    nextRelay(account) {
      if (isDetourActive()) return detourRelay;
      const now = clock.now();
      for (const relay of orderFor(account)) {
        if (now >= (retryAt.get(relay) ?? -Infinity)) return relay;
      }
      return undefined;
    },
    startDetour(relay) {
      detourRelay = relay;
      detourUntil = clock.now() + TIMES.detourMs;
    },
    noteRelayFailure(relay) {
      if (relay === detourRelay) detourRelay = undefined;
      for (const [known, at] of retryAt) {
        if (clock.now() >= at) retryAt.delete(known);
      }
      retryAt.set(relay, clock.now() + TIMES.relayRetryMs);
    },
    noteDirectAttempt(opened) {
      // The endpoint is still unreachable directly, so the last working detour
      // is used again.
      if (!opened) detourUntil = clock.now() + TIMES.detourMs;
      else detourRelay = undefined;
    },
  };
  return path;
}
