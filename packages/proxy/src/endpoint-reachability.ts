/**
 * What is done about an endpoint that is silent here: others are asked whether
 * they reach it, and one that does lends its relay. An endpoint that others
 * reach, or that too few could be asked about, is out of this instance's reach
 * rather than down: what needs it is refused at once, since the caller's next
 * try goes to another instance.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {type ReachabilityResult, Verdict} from '@quetzalreel/peer-queries';
import {TIMES} from './defaults.js';
import type {EndpointLink} from './endpoint-link.js';
import type {Log} from './log.js';

/** What detours work with. */
export interface ReachabilityContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Asks other instances; undefined while there are none to ask. */
  readonly ask: (endpoint: string) => Promise<ReachabilityResult | undefined>;
  /** Called when a silent endpoint can be reached through another instance. */
  readonly onFound: (link: EndpointLink) => void;
}

/** Detours to the endpoints of one group. */
export interface EndpointReachability {
  /** Asks others about a silent endpoint, not too often. */
  askPeersIfDue(link: EndpointLink): void;
  /** Whether an endpoint lives but can't be reached from here. */
  isUnreachableLocally(link: EndpointLink): boolean;
  /** Drops what is known of an endpoint that has gone. */
  forget(endpoint: string): void;
}

interface Known {
  /** When others were asked last. */
  readonly askedAt: number;
  /** What they said last, and when. */
  readonly finding: ReachabilityResult | undefined;
  readonly foundAt: number;
}

/** Nothing is known yet. */
export function endpointReachability(
  context: ReachabilityContext,
): EndpointReachability {
  const {clock, log, ask, onFound} = context;
  const known = new Map<string, Known>();

  async function askAbout(link: EndpointLink): Promise<void> {
    const {id} = link.listed;
    const askedAt = clock.now();
    const before = known.get(id);
    known.set(id, {
      askedAt,
      finding: before?.finding,
      foundAt: before?.foundAt ?? -Infinity,
    });
    const finding = await ask(id);
    if (!known.has(id)) return;
    known.set(id, {askedAt, finding, foundAt: clock.now()});
    log.info({event: 'othersAsked', endpoint: id, ...finding});
    if (!finding?.relay || link.facts.unansweredSince === undefined) return;
    link.useRelay(finding.relay);
    onFound(link);
  }

  return {
    askPeersIfDue(link) {
      const now = clock.now();
      const {unansweredSince: askedAt} = link.facts;
      if (askedAt === undefined || now - askedAt < TIMES.askPeersAfterMs)
        return;
      const last = known.get(link.listed.id)?.askedAt ?? -Infinity;
      if (link.isRelayed || now - last < TIMES.askPeersIntervalMs) return;
      askAbout(link).catch(err =>
        log.warn({
          event: 'othersNotAsked',
          endpoint: link.listed.id,
          why: messageOf(err),
        }),
      );
    },
    isUnreachableLocally(link) {
      const {unansweredSince: askedAt} = link.facts;
      if (askedAt === undefined || link.isRelayed) return false;
      const found = known.get(link.listed.id);
      if (!found?.finding || found.foundAt < askedAt) return false;
      if (clock.now() - found.foundAt > TIMES.reachabilityMaxAgeMs)
        return false;
      return found.finding.verdict !== Verdict.Unreached;
    },
    forget(endpoint) {
      known.delete(endpoint);
    },
  };
}
