/**
 * Watches a group's primary and starts a change of primary when it is down or
 * leaving.
 */
import {
  type Clock,
  type Disposable,
  hashFraction,
  messageOf,
} from '@quetzalreel/common';
import type {Answer, EndpointStatus} from '@quetzalreel/requests';
import {
  ChangeOutcome,
  type ChangeRecord,
  type Confirmations,
  type Member,
  type PrepareChange,
  type PrimaryChanger,
  type PrimaryView,
  type Succession,
  ChangeReason,
  reasonToChange,
} from '@quetzalreel/failover';
import {Verdict, type PeerQueries} from '@quetzalreel/peer-queries';
import {backoffMs} from './backoff.js';
import {changePreparation} from './change-preparation.js';
import {FAILOVER_THRESHOLDS, TIMES} from './defaults.js';
import {endpointControl} from './endpoint-control.js';
import type {GroupRuntime} from './group-types.js';
import {lineLimit} from './line-limit.js';
import type {Log} from './log.js';
import {needsPermission} from './primary-use.js';
import {successorElection} from './successor-election.js';
import {successorWait} from './successor-wait.js';

/** Dependencies of a watch. */
export interface PrimaryWatchContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly changer: PrimaryChanger;
  readonly peerQueries: () => PeerQueries | undefined;
  readonly readStatus: (answer: Answer) => EndpointStatus | undefined;
  /** Whether a replaced primary stops by itself when the order takes effect. */
  readonly replacedPrimaryStops: boolean;
  /**
   * Announces a change to all instances; undefined while they are not known.
   */
  readonly announce: (
    change: ChangeRecord,
  ) => Promise<Confirmations | undefined>;
  /** Called when a lost primary can't be replaced for want of replicas' logs. */
  readonly onSuccessorAwaited: () => void;
}

function viewOf(group: GroupRuntime): PrimaryView {
  const {primary} = group;
  return {
    primary: primary?.listed.id,
    leaving: primary?.listed.leaving ?? false,
    mustHandOver: group.policy.syncReplicas > 0,
    refusingSince: primary?.facts.refusingSince,
    unresponsiveSince: primary?.facts.unansweredSince,
    missingSince: group.missingSince,
  };
}

/** Outcomes after which the old primary is out of use and none is ordered. */
const UNFINISHED: ReadonlySet<ChangeOutcome> = new Set([
  ChangeOutcome.NotPrepared,
  ChangeOutcome.Refused,
  ChangeOutcome.Unanswered,
]);

/** Lines about changes that an instance considers: a few, then one each 2 s. */
const CHANGE_LINES = {burst: 5, intervalMs: 2000} as const;

const RETRY_BOUNDS = {
  firstMs: TIMES.changeRetryMs,
  mostMs: TIMES.changeRetryMaxMs,
} as const;

/** Watches the primary until disposed. */
export function watchPrimary(
  group: GroupRuntime,
  context: PrimaryWatchContext,
): Disposable {
  const {clock, log, changer, instance} = context;
  const control = endpointControl(group, context);
  /** Whether acknowledged commits have to be in the log of a successor. */
  const mustKeepCommits = () => group.policy.syncReplicas > 0;
  const elect = successorElection(group, {clock, control});
  const preparation = changePreparation({
    ...context,
    control,
    elect,
    mustKeepCommits,
  });
  const wait = successorWait({
    group: group.name,
    clock,
    log,
    onBegin: context.onSuccessorAwaited,
  });
  const changeLines = lineLimit(clock, CHANGE_LINES);
  /** What a change of primary needs before its order; undefined for nothing. */
  function prepareNow(): PrepareChange | undefined {
    const {replacedPrimaryStops} = context;
    return needsPermission(group.policy, replacedPrimaryStops)
      ? preparation
      : undefined;
  }
  /** Spreads the attempts of instances over time. */
  const delayMs = hashFraction(instance + group.name) * TIMES.changeJitterMs;
  let disposed = false;
  /** The newest known change, and when it was first seen here. */
  let knownChange: {change: ChangeRecord | undefined; since: number} = {
    change: undefined,
    since: -Infinity,
  };
  /** Times in a row that a change was not begun or not completed. */
  let failures = 0;
  /** Since when too few peers answer for a verdict; undefined while enough do. */
  let openSince: number | undefined;
  /** Whether a change was begun here that no order completed. */
  let isUnfinished = false;

  /**
   * Whether an endpoint already leads as the newest change wants it. It must not
   * be told to step down, as a replaced primary is.
   */
  function leads({endpoint, isPrimary}: Member): boolean {
    const change = changer.changes.get(group.name);
    return isPrimary === true && change?.to === endpoint;
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
      from ?? missingPrimary(),
    );
    return verdict;
  }

  /**
   * The endpoint to ask about when no primary is known: the last one, since an
   * entry may expire while its endpoint serves; '' stands for whichever the
   * peers know, once the last one has denied the role or was replaced.
   */
  function missingPrimary(): string {
    const {lastPrimary} = group;
    const facts = group.links.get(lastPrimary)?.facts;
    const hasDenied =
      facts !== undefined && facts.provenNotPrimaryAt > facts.provenPrimaryAt;
    const change = changer.changes.get(group.name);
    const isReplaced = change !== undefined && change.to !== lastPrimary;
    return hasDenied || isReplaced ? '' : lastPrimary;
  }

  /**
   * Whether the primary may be replaced after the verdict. Peers that don't answer
   * for long have been lost, and no majority will come about before their entries
   * expire. They may also be cut off from this instance together with the primary,
   * so it must be the part with the store.
   */
  async function mayReplace(verdict: Verdict): Promise<boolean> {
    if (verdict !== Verdict.Inconclusive) {
      openSince = undefined;
      return verdict === Verdict.Unreached;
    }
    openSince ??= clock.now();
    if (clock.now() - openSince < TIMES.lostPeersMs) return false;
    await changer.readLease();
    log.warn({event: 'peersLost', group: group.name, openSince});
    return true;
  }

  async function changeFor(reason: ChangeReason): Promise<void> {
    const from = group.primary?.listed.id;
    const isPlanned = reason === ChangeReason.Leaving;
    const replaced = from ?? group.lastPrimary;
    const request = {
      replaced,
      mayReturn: from === undefined,
      isPlanned,
      lastNamed: changer.changes.get(group.name)?.to,
    };
    const [{members, succession}, verdict] = await Promise.all([
      elect(request),
      isPlanned ? Verdict.Unreached : verdictOfPeers(from),
    ]);
    failures++;
    const before = changeLines.ask();
    if (before !== undefined)
      log.warn({
        event: 'primaryToChange',
        group: group.name,
        from,
        reason,
        verdict,
        members,
        succession,
        before,
      });
    if (verdict === Verdict.Reached) endWait('peers reach the primary');
    if (members.some(leads) || !(await mayReplace(verdict))) return;
    if (succession.type === 'waits') {
      if (!isPlanned && mustKeepCommits()) noteWait(replaced, succession);
      return;
    }
    endWait('enough replicas were heard');
    const planned = {
      group: group.name,
      from: replaced,
      to: succession.endpoint,
    };
    const outcome = await changer.change(planned, isPlanned, prepareNow());
    log.info({event: 'changeEnded', group: group.name, outcome});
    isUnfinished = UNFINISHED.has(outcome);
    if (outcome === ChangeOutcome.Ordered) failures = 0;
    if (outcome === ChangeOutcome.Ordered) await waitForNewPrimary(from);
  }

  /** Callers are refused at once, unless a replica is only busy for a moment. */
  function noteWait(
    replaced: string,
    succession: Extract<Succession, {type: 'waits'}>,
  ): void {
    wait.note(replaced, succession);
    const {missing, busy} = succession;
    group.awaitsSuccessor = missing.length > busy.length;
  }

  function endWait(why: string): void {
    wait.end(why);
    group.awaitsSuccessor = false;
  }

  async function waitForNewPrimary(from: string | undefined): Promise<void> {
    const until = clock.now() + TIMES.primaryChangeTimeoutMs;
    while (!disposed && clock.now() < until) {
      const now = group.primary?.listed.id;
      if (now !== undefined && now !== from) return;
      await clock.sleep(TIMES.tickMs);
    }
  }

  /** Whether a change became known that may still take effect. */
  function isChangeRecent(): boolean {
    const change = changer.changes.get(group.name);
    if (change !== knownChange.change)
      knownChange = {change, since: clock.now()};
    if (!change) return false;
    return clock.now() - knownChange.since < TIMES.primaryChangeTimeoutMs;
  }

  function reasonNow(): ChangeReason | undefined {
    // The instances no longer use the old primary, so there is nothing to wait
    // for.
    if (isUnfinished && !group.primary) return ChangeReason.Missing;
    const reason = reasonToChange(
      viewOf(group),
      FAILOVER_THRESHOLDS,
      clock.now(),
    );
    // The primary is missing while the change of another instance takes effect.
    return reason === ChangeReason.Missing && isChangeRecent()
      ? undefined
      : reason;
  }

  /** Delay of this instance before it begins a change. */
  function startDelayMs(): number {
    const retryMs = failures === 0 ? 0 : backoffMs(failures, RETRY_BOUNDS);
    if (changer.isHolder) return retryMs;
    const delay = TIMES.leaseHolderHeadStartMs + delayMs + retryMs;
    return holdsConnections() ? delay : delay + TIMES.holderHeadStartMs;
  }

  /** Whether this instance holds connections to an endpoint of the group. */
  function holdsConnections(): boolean {
    for (const {plan} of group.links.values()) if (plan.isHolder) return true;
    return false;
  }

  async function run(): Promise<void> {
    while (!disposed) {
      await clock.sleep(TIMES.tickMs);
      const reason = reasonNow();
      if (!reason) {
        failures = 0;
        openSince = undefined;
        endWait('a primary is known');
        continue;
      }
      await clock.sleep(startDelayMs());
      const reasonAfterDelay = reasonNow();
      if (!reasonAfterDelay) continue;
      try {
        await changeFor(reasonAfterDelay);
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
