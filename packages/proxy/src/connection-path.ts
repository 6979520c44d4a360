/**
 * The way to one endpoint: connections of this instance's own, the relay of an
 * instance that holds connections for it, or, while the endpoint is silent
 * here, a detour through any instance that reaches it.
 */
import type {Clock} from '@quetzalreel/common';
import type {RelayAddress} from '@quetzalreel/relay';
import {TIMES} from './defaults.js';
import {NO_CONNECTIONS_PLAN, type SharingPlan} from './connection-sharing.js';

/** Ways to one endpoint. */
export interface ConnectionPath {
  plan: SharingPlan;
  /** Whether a detour is taken now. */
  readonly isDetour: boolean;
  /** The relay for the next connection; undefined for a direct one. */
  nextRelay(): RelayAddress | undefined;
  /** Goes through `relay` for a while. */
  useRelay(relay: RelayAddress): void;
  /** Notes that a relay did not serve; others are tried first for a while. */
  noteRelayFailure(relay: RelayAddress): void;
  /** Notes whether a direct connection was opened. */
  noteDirectAttempt(opened: boolean): void;
}

/** No detour is known, and no relay has failed. */
export function connectionPath(clock: Clock): ConnectionPath {
  let aside: RelayAddress | undefined;
  let asideUntil = -Infinity;
  /** When each relay that failed may be tried again. */
  const retryAt = new Map<RelayAddress, number>();

  function hasDetour(): boolean {
    return aside !== undefined && clock.now() < asideUntil;
  }

  const ways: ConnectionPath = {
    plan: NO_CONNECTIONS_PLAN,
    get isDetour() {
      return hasDetour();
    },
    nextRelay() {
      if (hasDetour()) return aside;
      const now = clock.now();
      for (const {relay} of ways.plan.holders) {
        if (now >= (retryAt.get(relay) ?? -Infinity)) return relay;
      }
      return undefined;
    },
    useRelay(relay) {
      aside = relay;
      asideUntil = clock.now() + TIMES.relayUseMs;
    },
    noteRelayFailure(relay) {
      if (relay === aside) aside = undefined;
      for (const [known, at] of retryAt) {
        if (clock.now() >= at) retryAt.delete(known);
      }
      retryAt.set(relay, clock.now() + TIMES.relayRetryMs);
    },
    noteDirectAttempt(opened) {
      // Still no direct way: the detour that worked before is taken again.
      if (!opened) asideUntil = clock.now() + TIMES.relayUseMs;
      else aside = undefined;
    },
  };
  return ways;
}
