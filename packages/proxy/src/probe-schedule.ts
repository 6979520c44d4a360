/**
 * When an endpoint is asked for a sign of life or a position. Decided from what
 * is known, without asking anybody.
 */
import {TIMES} from './defaults.js';

/** What is known before asking. */
export interface ProbeInputs {
  /** Whether this instance holds connections to the endpoint; the holders of
   * an endpoint ask it all the time, and the fleet's questions add up. */
  readonly isHolder: boolean;
  /** Whether the group has a primary, as far as is known. */
  readonly hasPrimary: boolean;
  /** Whether this endpoint is the primary. */
  readonly isPrimary: boolean;
  /** Statements under way from here. */
  readonly inFlight: number;
  /** Time since the endpoint was heard of, in milliseconds. */
  readonly silentMs: number;
  /** Age of the newest sample of the primary, in milliseconds. */
  readonly sampleAgeMs: number;
}

/** When an endpoint was heard of, and how. */
export interface ContactInputs {
  /** Whether this instance holds connections to it. */
  readonly isHolder: boolean;
  /** When it was heard of last, by this instance's clock in milliseconds. */
  readonly lastContactAt: number;
  /** Since when an answer is owed; undefined for none. */
  readonly unansweredSince: number | undefined;
}

/**
 * Whether an endpoint counts as reached for another instance that asked at
 * `askedAt`. What was heard long before the question says nothing: all that
 * know the endpoint through the same holder would vouch for one that has just
 * died.
 */
export function isReachable(view: ContactInputs, askedAt: number): boolean {
  const {isHolder, lastContactAt: heardAt, unansweredSince: owesSince} = view;
  if (isHolder) return heardAt > askedAt - TIMES.directContactMaxAgeMs;
  return (
    owesSince === undefined && heardAt > askedAt - TIMES.relayedContactMaxAgeMs
  );
}

/** Whether an endpoint is to be asked now. */
export function isProbeDue(view: ProbeInputs): boolean {
  const {isHolder, hasPrimary, isPrimary, silentMs} = view;
  if (view.inFlight > 0 && silentMs > TIMES.inFlightProbeMs) return true;
  if (!isHolder) {
    return (
      silentMs >
      (hasPrimary ? TIMES.nonHolderProbeMs : TIMES.nonHolderNoPrimaryProbeMs)
    );
  }
  if (silentMs > TIMES.probeIntervalMs || !hasPrimary) return true;
  return isPrimary && view.sampleAgeMs > TIMES.sampleMaxAgeMs;
}
