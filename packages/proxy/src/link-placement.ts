/**
 * Describes a link as an option for placing statements, from local state only.
 */
import {expectedMs} from './answer-time.js';
import {catchUpDelayMs} from './catch-up.js';
import {maxInFlightPerHolder} from './concurrency.js';
import {TIMES} from './defaults.js';
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

/**
 * Weight of a failing read in the expected time of reads, in milliseconds: a
 * read that fails costs its caller more than one that waits elsewhere.
 */
const FAILED_READ_MS = 500;

/** Describes the link as a placement option. */
export function placementOf(
  link: EndpointLink,
  {isPrimary, dataCentre, now, othersFailing}: PlacementContext,
): PlacementOption {
  const {facts, listed} = link;
  const failing = excessFailing(facts.pace, othersFailing, now);
  const isBelowLimit = facts.inFlight < inFlightLimit(link);
  return {
    id: listed.id,
    isPrimary,
    usable:
      facts.unansweredSince === undefined && (!listed.leaving || isPrimary),
    position: facts.position,
    positionAgeMs: now - facts.lastContactAt,
    catchUpDelayMs: catchUpDelayMs(facts.catchUp),
    answerMs: expectedMs(facts.answerTime, now) + failing * FAILED_READ_MS,
    inFlight: facts.inFlight,
    slots: listed.slots,
    distanceMs: listed.dataCentre === dataCentre ? 0 : TIMES.otherDataCentreMs,
    isBelowLimit,
    hasCapacity: isBelowLimit && link.idle > 0,
    hasDirectCapacity: isBelowLimit && link.idleDirect > 0,
  };
}
