/**
 * Watches a group's primary and starts a change of primary when it is down or
 * leaving.
 */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import type {Answer, EndpointStatus} from '@quetzalreel/requests';
import {
  type Candidate,
  ChangeOutcome,
  type PrimaryChanger,
  type PrimaryView,
  ChangeReason,
  mostAdvanced,
  reasonToChange,
} from '@quetzalreel/failover';
import {Verdict, type PeerQueries} from '@quetzalreel/peer-queries';
import {FAILOVER_THRESHOLDS, TIMES} from './defaults.js';
import type {EndpointLink} from './endpoint-link.js';
import type {GroupRuntime} from './group-types.js';
import type {Log} from './log.js';
import {ANY_ENDPOINT} from './placement.js';
import {sendWithTimeout} from './run-request.js';

/** Dependencies of a watch. */
export interface PrimaryWatchContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly changer: PrimaryChanger;
  readonly peerQueries: () => PeerQueries | undefined;
  readonly readStatus: (answer: Answer) => EndpointStatus | undefined;
}

/**
 * A number between 0 and 1, derived from `text`, that differs between
 * instances.
 */
function hashFraction(text: string): number {
  let sum = 0;
  for (const char of text) sum = (sum * 31 + char.charCodeAt(0)) % 9973;
  return sum / 9973;
}

function viewOf(group: GroupRuntime): PrimaryView {
  const {primary} = group;
  return {
    primary: primary?.listed.id,
    leaving: primary?.listed.leaving ?? false,
    refusingSince: primary?.facts.refusingSince,
    unresponsiveSince: primary?.facts.unansweredSince,
    missingSince: group.missingSince,
  };
}

/** Watches the primary until disposed. */
export function watchPrimary(
  group: GroupRuntime,
  context: PrimaryWatchContext,
): Disposable {
  const {clock, log, changer, instance} = context;
  /** Spreads the attempts of instances over time. */
  const delayMs = hashFraction(instance + group.name) * TIMES.changeJitterMs;
  let disposed = false;

  async function requestStatus(
    link: EndpointLink,
  ): Promise<Candidate | undefined> {
    const only = link.listed.id;
    const lease = await group.acquire({
      primaryOnly: false,
      need: () => ({...ANY_ENDPOINT, only}),
      priority: 0,
      settingsKey: '',
      objectiveAt: clock.now() + TIMES.statusTimeoutMs,
      deadline: clock.now() + TIMES.statusTimeoutMs,
      hasDisconnected: () => false,
    });
    if (!lease) return undefined;
    try {
      const answer = await sendWithTimeout(
        clock,
        lease,
        {type: 'status'},
        TIMES.statusTimeoutMs,
      );
      lease.release(true);
      const status = context.readStatus(answer);
      const received = status?.received ?? link.facts.position;
      return received && {endpoint: link.listed.id, received};
    } catch (err) {
      lease.release(false);
      const endpoint = link.listed.id;
      log.info({event: 'statusLost', endpoint, why: messageOf(err)});
      return undefined;
    }
  }

  async function candidates(from: string | undefined): Promise<Candidate[]> {
    const requests: Array<Promise<Candidate | undefined>> = [];
    for (const link of group.links.values()) {
      if (link.listed.id === from || link.listed.leaving) continue;
      requests.push(requestStatus(link));
    }
    const found: Candidate[] = [];
    for (const candidate of await Promise.all(requests)) {
      if (candidate) found.push(candidate);
    }
    return found;
  }

  /**
   * The peers' verdict on a primary that this instance does not reach or that
   * is no longer listed: an entry may expire while its endpoint still serves.
   */
  async function verdictOfPeers(from: string | undefined): Promise<Verdict> {
    const witnesses = context.peerQueries();
    if (!witnesses) return Verdict.Inconclusive;
    const {verdict} = await witnesses.queryReachability(
      group.name,
      from ?? group.lastPrimary,
    );
    return verdict;
  }

  async function changeFor(reason: ChangeReason): Promise<void> {
    const from = group.primary?.listed.id;
    const isPlanned = reason === ChangeReason.Leaving;
    const [found, verdict] = await Promise.all([
      candidates(from),
      isPlanned ? Verdict.Unreached : verdictOfPeers(from),
    ]);
    const best = mostAdvanced(found);
    log.warn({
      event: 'primaryToChange',
      group: group.name,
      from,
      reason,
      verdict,
      found,
    });
    if (!best || verdict !== Verdict.Unreached) return;
    const planned = {group: group.name, from: from ?? '', to: best.endpoint};
    const outcome = await changer.change(planned);
    log.info({event: 'changeEnded', group: group.name, outcome});
    if (outcome === ChangeOutcome.Ordered) await waitForNewPrimary(from);
  }

  async function waitForNewPrimary(from: string | undefined): Promise<void> {
    const until = clock.now() + TIMES.primaryChangeTimeoutMs;
    while (!disposed && clock.now() < until) {
      const now = group.primary?.listed.id;
      if (now !== undefined && now !== from) return;
      await clock.sleep(TIMES.tickMs);
    }
  }

  async function run(): Promise<void> {
    while (!disposed) {
      await clock.sleep(TIMES.tickMs);
      const reason = reasonToChange(
        viewOf(group),
        FAILOVER_THRESHOLDS,
        clock.now(),
      );
      if (!reason) continue;
      const waitMs = changer.isHolder
        ? 0
        : TIMES.leaseHolderHeadStartMs + delayMs;
      await clock.sleep(waitMs);
      if (!reasonToChange(viewOf(group), FAILOVER_THRESHOLDS, clock.now()))
        continue;
      try {
        await changeFor(reason);
      } catch (err) {
        log.error({
          event: 'changeFailed',
          group: group.name,
          why: messageOf(err),
        });
      }
    }
  }

  void run();
  return {
    dispose() {
      disposed = true;
    },
  };
}
