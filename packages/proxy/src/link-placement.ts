/**
 * Describes a link as an option for placing statements, from local state only.
 */
import {expectedMs} from './answer-time.js';
import {catchUpDelayMs} from './catch-up.js';
import {maxInFlightPerHolder} from './concurrency.js';
import {TIMES} from './defaults.js';
import type {ConnectionUse} from './connection-use.js';
import type {EndpointLink} from './endpoint-link.js';
import {excessFailing, limitOf} from './endpoint-pace.js';
import type {PlacementOption} from './placement.js';

/** State needed beside the link itself. */
export interface PlacementContext {
  readonly isPrimary: boolean;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Monotonic milliseconds. */
  readonly now: number;
  /** The requests that the connection is for. */
  readonly use: ConnectionUse;
  /** Whether the route has the highest priority. */
  readonly isUrgent: boolean;
  /** Lowest share of failing reads at the group's other endpoints. */
  readonly othersFailing: number;
}

/**
 * Maximum number of statements that this instance may have in flight at an
 * endpoint.
 */
export function inFlightLimit({facts, listed, plan}: EndpointLink): number {
  const most = plan.isHolder
    ? maxInFlightPerHolder(listed.slots, plan.holderCount)
    : Infinity;
  return limitOf(facts.pace, most);
}

/** Why an endpoint gets no new work. */
export type UnusableReason = 'silent' | 'leaving';

/** Why the endpoint gets no new work; undefined if it does. */
export function unusableReason(
  {facts, listed}: EndpointLink,
  isPrimary: boolean,
): UnusableReason | undefined {
  if (facts.unansweredSince !== undefined) return 'silent';
  // A leaving primary works until another endpoint replaces it.
  return listed.leaving && !isPrimary ? 'leaving' : undefined;
}

/**
 * Weight of a failing read in the expected time of reads, in milliseconds: a
 * read that fails costs its caller more than one that waits elsewhere.
 */
const FAILED_READ_MS = 500;

/**
 * Statements of the highest priority that may be sent beyond the limit. While reads
 * fill it, such a statement would wait for one of them to end.
 */
const URGENT_EXTRA = 1;

/** Describes the link as a placement option. */
export function placementOf(
  link: EndpointLink,
  {isPrimary, dataCentre, now, use, isUrgent, othersFailing}: PlacementContext,
): PlacementOption {
  const {facts, listed} = link;
  const failing = excessFailing(facts.pace, othersFailing, now);
  const extra = isUrgent ? URGENT_EXTRA : 0;
  const isBelowLimit = facts.inFlight < inFlightLimit(link) + extra;
  return {
    id: listed.id,
    isPrimary,
    usable: unusableReason(link, isPrimary) === undefined,
    position: facts.position,
    positionAgeMs: now - facts.lastContactAt,
    catchUpDelayMs: catchUpDelayMs(facts.catchUp),
    answerMs: expectedMs(facts.answerTime, now) + failing * FAILED_READ_MS,
    inFlight: facts.inFlight,
    slots: listed.slots,
    distanceMs: listed.dataCentre === dataCentre ? 0 : TIMES.otherDataCentreMs,
    isBelowLimit,
    hasCapacity: isBelowLimit && link.hasIdle(use),
  };
}
