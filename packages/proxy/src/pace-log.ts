/** Logs when the limit of an endpoint is lowered, and when it is full again. */
import type {EndpointLink} from './endpoint-link.js';
import {PaceReason} from './endpoint-pace.js';
import {inFlightLimit} from './link-placement.js';
import type {OverloadLogContext} from './overload-log.js';

/** The log of the limits of one group. */
export interface PaceLog {
  /** Writes a line if the limit has changed by a step that matters. */
  observe(link: EndpointLink): void;
}

/** The last line about an endpoint. */
interface LastLine {
  readonly reason: PaceReason;
  readonly at: number;
}

/** Least time between two lines on one endpoint, in milliseconds. */
const LINE_INTERVAL_MS = 1000;

/** Creates the log of a group. */
export function paceLog({name, clock, log}: OverloadLogContext): PaceLog {
  const told = new WeakMap<EndpointLink, LastLine>();

  return {
    observe(link) {
      const {reason, share} = link.facts.pace;
      const last = told.get(link) ?? {reason: PaceReason.Well, at: -Infinity};
      if (reason === last.reason || reason === PaceReason.Raised) return;
      const now = clock.now();
      if (now - last.at < LINE_INTERVAL_MS) return;
      told.set(link, {reason, at: now});
      log.info({
        event: 'endpointLimit',
        group: name,
        endpoint: link.listed.id,
        reason,
        share,
        limit: inFlightLimit(link),
        inFlight: link.facts.inFlight,
      });
    },
  };
}
