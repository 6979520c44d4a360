/**
 * Endpoints that are leaving: no new work, a planned change when the primary
 * leaves, and an end for what is still open at the bound. Pure functions; all
 * times are monotonic milliseconds.
 */
import type {GroupConfig} from '@quetzalreel/config';
import {comparePositions} from '@quetzalreel/position';
import {
  type EndpointView,
  type GroupView,
  Reach,
  writablePrimary,
} from './view.js';

/** Bounds of leaving, in milliseconds since the mark was seen. */
export const LEAVING_LIMITS = {
  /** Open transactions have this long before the primary is changed. */
  failoverAfterMs: 1000,
  /** Least time between the attempts of two instances. */
  staggerMs: 60,
  /** From then on there is no new work, and what is open is ended. */
  closeAfterMs: 3000,
} as const;

/** Instances of different turns don't race for the same change. */
const TURNS = 8;

/** Which endpoints are leaving, and since when. */
export interface LeavingState {
  /** When the mark was first seen, by name. */
  readonly since: ReadonlyMap<string, number>;
  /** Endpoints whose open work was ended. */
  readonly closed: ReadonlySet<string>;
}

/** No endpoint is leaving. */
export function initialLeaving(): LeavingState {
  return {since: new Map(), closed: new Set()};
}

/** The marks of a configuration; those that stood before keep their time. */
export function updateLeaving(
  before: LeavingState,
  cfg: GroupConfig,
  now: number,
): LeavingState {
  const since = new Map<string, number>();
  const vacated = new Set<string>();
  for (const {name, leaving} of cfg.endpoints) {
    if (!leaving) continue;
    since.set(name, before.since.get(name) ?? now);
    if (before.closed.has(name)) vacated.add(name);
  }
  return {since, closed: vacated};
}

/** Whether an endpoint gets no new work at all. */
export function isClosed(
  state: LeavingState,
  endpoint: string,
  now: number,
): boolean {
  const since = state.since.get(endpoint);
  return since !== undefined && now - since >= LEAVING_LIMITS.closeAfterMs;
}

/** Endpoints whose open work is to be ended now, each named once. */
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
  const vacated = new Set([...state.closed, ...endpoints]);
  return {state: {...state, closed: vacated}, endpoints};
}

/** The endpoint to change to because the primary is leaving, if it is time. */
export function plannedTarget(
  state: LeavingState,
  view: GroupView,
  instance: string,
  now: number,
): string | undefined {
  const primary = writablePrimary(view);
  const since = primary && state.since.get(primary.cfg.name);
  if (since === undefined) return undefined;
  const {failoverAfterMs: changeAfterMs, staggerMs: turnMs} = LEAVING_LIMITS;
  if (now - since < changeAfterMs + turnOf(instance) * turnMs) return undefined;
  let best: EndpointView | undefined;
  for (const endpoint of view.endpoints.values()) {
    const {cfg, reach, status} = endpoint;
    if (endpoint === primary || cfg.leaving) continue;
    if (reach !== Reach.Up || !status) continue;
    if (!best || comparePositions(status.last, best.status!.last) > 0) {
      best = endpoint;
    }
  }
  return best?.cfg.name;
}

function turnOf(instance: string): number {
  let sum = 0;
  for (const letter of instance) sum += letter.charCodeAt(0);
  return sum % TURNS;
}
