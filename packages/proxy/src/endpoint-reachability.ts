/**
 * Handles endpoints that don't answer this instance: peers are asked whether
 * they reach the endpoint, and one that does acts as relay. An endpoint that
 * peers reach, or about which too few peers could be asked, counts as
 * unreachable from this instance rather than down. Requests that need it are
 * refused at once, since the caller's next attempt goes to another instance.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {type ReachabilityResult, Verdict} from '@quetzalreel/peer-queries';
import {TIMES} from './defaults.js';
import type {EndpointLink} from './endpoint-link.js';
import type {Log} from './log.js';

/** Dependencies of endpoint reachability. */
export interface ReachabilityContext {
  readonly clock: Clock;
  readonly log: Log;
  /**
   * Asks peers whether they reach the endpoint; resolves to undefined while
   * there are no peers.
   */
  readonly ask: (endpoint: string) => Promise<ReachabilityResult | undefined>;
  /** Called when an unresponsive endpoint can be reached through a peer. */
  readonly onFound: (link: EndpointLink) => void;
}

/** Reachability of the endpoints of one group. */
export interface EndpointReachability {
  /** Asks peers about an unresponsive endpoint, at most once per interval. */
  askPeersIfDue(link: EndpointLink): void;
  /**
   * Whether an endpoint is unreachable from here while the peers did not
   * confirm it as down.
   */
  isUnreachableLocally(link: EndpointLink): boolean;
  /** Drops the state of an endpoint that is no longer listed. */
  forget(endpoint: string): void;
}

interface PeerQuery {
  /** When peers were asked last. */
  readonly askedAt: number;
  /** The last answer of the peers; `foundAt` is its time. */
  readonly finding: ReachabilityResult | undefined;
  readonly foundAt: number;
}

/** Starts without findings. */
export function endpointReachability(
  context: ReachabilityContext,
): EndpointReachability {
  const {clock, log, ask, onFound} = context;
  const known = new Map<string, PeerQuery>();

  async function askPeersAbout(link: EndpointLink): Promise<void> {
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
    link.startDetour(finding.relay);
    onFound(link);
  }

  return {
    askPeersIfDue(link) {
      const now = clock.now();
      const {unansweredSince} = link.facts;
      if (
        unansweredSince === undefined ||
        now - unansweredSince < TIMES.askPeersAfterMs
      )
        return;
      const last = known.get(link.listed.id)?.askedAt ?? -Infinity;
      if (link.isOnDetour || now - last < TIMES.askPeersIntervalMs) return;
      askPeersAbout(link).catch(err =>
        log.warn({
          event: 'othersNotAsked',
          endpoint: link.listed.id,
          why: messageOf(err),
        }),
      );
    },
    isUnreachableLocally(link) {
      const {unansweredSince} = link.facts;
      if (unansweredSince === undefined || link.isOnDetour) return false;
      const found = known.get(link.listed.id);
      if (!found?.finding || found.foundAt < unansweredSince) return false;
      if (clock.now() - found.foundAt > TIMES.reachabilityMaxAgeMs)
        return false;
      return found.finding.verdict !== Verdict.Unreached;
    },
    forget(endpoint) {
      known.delete(endpoint);
    },
  };
}
