/**
 * Handles endpoints that don't answer this instance: peers are asked whether
 * they reach the endpoint, and one that does acts as relay. An endpoint that
 * peers reach, or about which too few peers could be asked, counts as
 * unreachable from this instance rather than down. Requests that need it are
 * refused at once, since the caller's next attempt goes to another instance.
 */
import {type Clock, messageOf} from '@quetzalreel/common';
import {type ReachabilityResult, Verdict} from '@quetzalreel/peer-queries';
import {type BackoffBounds, backoffMs} from './backoff.js';
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
  /** Queries in a row that found no relay, while the endpoint was silent. */
  readonly misses: number;
}

/** Interval between two queries of an instance that holds connections. */
const HOLDER_INTERVAL: BackoffBounds = {
  firstMs: TIMES.askPeersIntervalMs,
  mostMs: TIMES.askPeersMaxIntervalMs,
};
/**
 * The same of an instance without connections: it goes through holders, which
 * look for a path themselves.
 */
const NON_HOLDER_INTERVAL: BackoffBounds = {
  firstMs: TIMES.askPeersMaxIntervalMs,
  mostMs: TIMES.nonHolderAskMaxIntervalMs,
};

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
    const silentSince = link.facts.unansweredSince ?? askedAt;
    const isSameSilence = before !== undefined && before.askedAt >= silentSince;
    const misses = isSameSilence ? before.misses : 0;
    known.set(id, {
      askedAt,
      finding: before?.finding,
      foundAt: before?.foundAt ?? -Infinity,
      misses,
    });
    const finding = await ask(id);
    if (!known.has(id)) return;
    known.set(id, {
      askedAt,
      finding,
      foundAt: clock.now(),
      misses: finding?.relay ? 0 : misses + 1,
    });
    log.info({event: 'othersAsked', endpoint: id, ...finding});
    if (!finding?.relay || link.facts.unansweredSince === undefined) return;
    link.startDetour(finding.relay);
    onFound(link);
  }

  function nextQueryAt({listed, plan, facts}: EndpointLink): number {
    const last = known.get(listed.id);
    const bounds = plan.isHolder ? HOLDER_INTERVAL : NON_HOLDER_INTERVAL;
    const since = facts.unansweredSince ?? -Infinity;
    // The first query of an instance without connections waits as well.
    if (!last || last.askedAt < since)
      return plan.isHolder ? -Infinity : since + bounds.firstMs;
    return last.askedAt + backoffMs(last.misses, bounds);
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
      if (link.isOnDetour || now < nextQueryAt(link)) return;
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
