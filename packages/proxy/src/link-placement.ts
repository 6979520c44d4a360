/** What placing sees of a link; decided from what is known, without asking. */
import {catchUpDelayMs} from './catch-up.js';
import {maxInFlightPerHolder} from './concurrency.js';
import {TIMES} from './defaults.js';
import type {EndpointLink} from './endpoint-link.js';
import type {PlacementOption} from './placement.js';

/** What is known beside the link itself. */
export interface PlacementContext {
  readonly isPrimary: boolean;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Statements that this instance may have under way at an endpoint. */
function limitOf({facts, listed, plan}: EndpointLink): number {
  const {limit} = facts.concurrency;
  if (!plan.isHolder) return limit;
  return Math.min(limit, maxInFlightPerHolder(listed.slots, plan.holderCount));
}

/** The link as a place for statements. */
export function placementOf(
  link: EndpointLink,
  {isPrimary, dataCentre, now}: PlacementContext,
): PlacementOption {
  const {facts, listed} = link;
  const hasTurn = facts.inFlight < limitOf(link);
  return {
    id: listed.id,
    isPrimary,
    usable:
      facts.unansweredSince === undefined && (!listed.leaving || isPrimary),
    position: facts.position,
    positionAgeMs: now - facts.lastContactAt,
    catchUpDelayMs: catchUpDelayMs(facts.catchUp),
    answerMs: facts.answerMs,
    inFlight: facts.inFlight,
    slots: listed.slots,
    distanceMs: listed.dataCentre === dataCentre ? 0 : TIMES.otherDataCentreMs,
    hasCapacity: hasTurn && link.idle > 0,
    hasDirectCapacity: hasTurn && link.idleDirect > 0,
  };
}
