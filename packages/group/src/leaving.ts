/**
 * Drains endpoints that are marked as leaving. A leaving replica gets no new
 * reads. If the primary is leaving, a planned failover moves it. After
 * `closeAfterMs` a leaving endpoint gets no work at all, and its open
 * transactions are ended. All functions are pure; all times are in monotonic
 * milliseconds.
 */
import type {GroupConfig} from '@quetzalreel/config';
import {comparePositions} from '@quetzalreel/position';
import {
  type EndpointView,
  type GroupView,
  Responsiveness,
  writablePrimary,
} from './view.js';

/** Time limits in milliseconds since the leaving mark was first seen. */
export const LEAVING_LIMITS = {
  /** Time for open transactions to finish before the planned failover. */
  failoverAfterMs: 1000,
  /** Delay between the starts of instances in consecutive stagger slots. */
  staggerMs: 60,
  /** From then on no new work is accepted and open transactions are ended. */
  closeAfterMs: 3000,
} as const;

/**
 * Number of start delays. Instances in different slots don't start the same
 * failover at the same time.
 */
const STAGGER_SLOTS = 8;

/** Which endpoints are leaving, and since when. */
export interface LeavingState {
  /** When the leaving mark was first seen, by endpoint name. */
  readonly since: ReadonlyMap<string, number>;
  /** Endpoints whose open transactions have been ended. */
  readonly closed: ReadonlySet<string>;
}

/** State with no leaving endpoint. */
export function initialLeaving(): LeavingState {
  return {since: new Map(), closed: new Set()};
}

/**
 * Takes over the leaving marks of a configuration. Marks that were set before
 * keep their start time.
 */
export function updateLeaving(
  before: LeavingState,
  cfg: GroupConfig,
  now: number,
): LeavingState {
  const since = new Map<string, number>();
  const closed = new Set<string>();
  for (const {name, leaving} of cfg.endpoints) {
    if (!leaving) continue;
    since.set(name, before.since.get(name) ?? now);
    if (before.closed.has(name)) closed.add(name);
  }
  return {since, closed};
}

/**
 * Whether an endpoint accepts no more work because its time to leave is over.
 */
export function isClosed(
  state: LeavingState,
  endpoint: string,
  now: number,
): boolean {
  const since = state.since.get(endpoint);
  return since !== undefined && now - since >= LEAVING_LIMITS.closeAfterMs;
}

/**
 * Endpoints whose open transactions must be ended now; each is returned only
 * once.
 */
export function closeOverdue(
  state: LeavingState,
  now: number,
): {readonly state: LeavingState; readonly endpoints: readonly string[]} {
  const endpoints: string[] = [];
  for (const name of state.since.keys()) {
    if (isClosed(state, name, now) && !state.closed.has(name)) {
      endpoints.push(name);
    }
  }
  if (endpoints.length === 0) return {state, endpoints};
  const closed = new Set([...state.closed, ...endpoints]);
  return {state: {...state, closed}, endpoints};
}

/**
 * The endpoint to fail over to because the primary is leaving; undefined before
 * this instance's start time.
 */
export function plannedTarget(
  state: LeavingState,
  view: GroupView,
  instance: string,
  now: number,
): string | undefined {
  const primary = writablePrimary(view);
  const since = primary && state.since.get(primary.cfg.name);
  if (since === undefined) return undefined;
  const {failoverAfterMs, staggerMs} = LEAVING_LIMITS;
  if (now - since < failoverAfterMs + staggerSlotOf(instance) * staggerMs) {
    return undefined;
  }
  let best: EndpointView | undefined;
  for (const endpoint of view.endpoints.values()) {
    const {cfg, reach, status} = endpoint;
    if (endpoint === primary || cfg.leaving) continue;
    if (reach !== Responsiveness.Up || !status) continue;
    if (!best || comparePositions(status.last, best.status!.last) > 0) {
      best = endpoint;
    }
  }
  return best?.cfg.name;
}

function staggerSlotOf(instance: string): number {
  let sum = 0;
  for (const char of instance) sum += char.charCodeAt(0);
  return sum % STAGGER_SLOTS;
}
