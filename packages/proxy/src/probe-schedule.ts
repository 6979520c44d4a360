/** Decides when an endpoint is probed, from local state only. */
import {TIMES} from './defaults.js';

/** The local state that decides whether a probe is due. */
export interface ProbeInputs {
  /**
   * Whether this instance holds connections to the endpoint. Only holders probe
   * at the short interval, since the probes of all instances add up at the
   * endpoint.
   */
  readonly isHolder: boolean;
  /** Whether the group has a known primary. */
  readonly hasPrimary: boolean;
  /** Whether this endpoint is the primary. */
  readonly isPrimary: boolean;
  /** Statements of this instance in flight at the endpoint. */
  readonly inFlight: number;
  /** Time since the last contact with the endpoint, in milliseconds. */
  readonly sinceContactMs: number;
  /** Age of the newest sample of the primary, in milliseconds. */
  readonly sampleAgeMs: number;
}

/** The last contact with an endpoint, direct or through a holder. */
export interface ContactInputs {
  /** Whether this instance holds connections to the endpoint. */
  readonly isHolder: boolean;
  /** Time of the last contact, by this instance's clock in milliseconds. */
  readonly lastContactAt: number;
  /** When the oldest unanswered request was sent; undefined for none. */
  readonly unansweredSince: number | undefined;
}

/**
 * Whether an endpoint counts as reachable in the answer to a peer that asked at
 * `askedAt`. Earlier contact is not evidence: if the endpoint has just failed, all
 * instances that use the same holder still know of contact before the failure.
 */
export function isReachable(view: ContactInputs, askedAt: number): boolean {
  const {isHolder, lastContactAt, unansweredSince} = view;
  if (isHolder) return lastContactAt > askedAt - TIMES.directContactMaxAgeMs;
  return (
    unansweredSince === undefined &&
    lastContactAt > askedAt - TIMES.relayedContactMaxAgeMs
  );
}

/** Whether a probe of the endpoint is due. */
export function isProbeDue(view: ProbeInputs): boolean {
  const {isHolder, hasPrimary, isPrimary, sinceContactMs} = view;
  if (view.inFlight > 0 && sinceContactMs > TIMES.inFlightProbeMs) return true;
  if (!isHolder) {
    return (
      sinceContactMs >
      (hasPrimary ? TIMES.nonHolderProbeMs : TIMES.nonHolderNoPrimaryProbeMs)
    );
  }
  if (sinceContactMs > TIMES.probeIntervalMs || !hasPrimary) return true;
  return isPrimary && view.sampleAgeMs > TIMES.sampleMaxAgeMs;
}
