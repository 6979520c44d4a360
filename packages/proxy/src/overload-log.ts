/** Logs the load of endpoints that refuse work, and what happened to that work. */
import type {Clock} from '@quetzalreel/common';
import {expectedMs} from './answer-time.js';
import type {EndpointLink} from './endpoint-link.js';
import {inFlightLimit} from './link-placement.js';
import {type LoadReporter, loadReporter} from './load-counts.js';
import type {Log} from './log.js';

/** Dependencies of an overload log. */
export interface OverloadLogContext {
  /** Name of the group whose endpoints are observed. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** State of the group at the time of a line. */
export interface GroupLoad {
  readonly isPrimary: boolean;
  /** Requests of the group that wait for a connection. */
  readonly waiting: number;
}

/** The overload log of one group. */
export interface OverloadLog {
  /** Writes a line about an endpoint when one is due. */
  observe(link: EndpointLink, state: GroupLoad): void;
}

/** Creates the log of a group. */
export function overloadLog(context: OverloadLogContext): OverloadLog {
  const {name, clock, log} = context;
  const reporters = new WeakMap<EndpointLink, LoadReporter>();

  function reporterOf(link: EndpointLink): LoadReporter {
    const known = reporters.get(link);
    if (known) return known;
    const created = loadReporter(link.load);
    reporters.set(link, created);
    return created;
  }

  return {
    observe(link, {isPrimary, waiting}) {
      const now = clock.now();
      const counts = reporterOf(link).report(now);
      if (!counts) return;
      const {inFlight, answerTime} = link.facts;
      log.info({
        event: 'endpointOverloaded',
        group: name,
        endpoint: link.listed.id,
        isPrimary,
        isHolder: link.plan.isHolder,
        ...counts,
        inFlight,
        limit: inFlightLimit(link),
        answerMs: Math.round(expectedMs(answerTime, now)),
        connections: link.connections,
        idle: link.idle,
        waiting,
      });
    },
  };
}
