/**
 * Prepares a change of primary. On a platform where a replaced primary goes on
 * acknowledging, it has stepped down before the order, or no instance uses it any
 * more. Elsewhere it stops by itself, but what it acknowledges up to that moment
 * may be missing at its successor.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type ChangeRecord,
  type Confirmations,
  type PrepareChange,
  type PrimaryChanger,
  orderTime,
} from '@quetzalreel/failover';
import {PERMISSION_LIMITS} from './defaults.js';
import type {EndpointControl} from './endpoint-control.js';
import type {Log} from './log.js';

/** Dependencies of a preparation. */
export interface PreparationContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly changer: PrimaryChanger;
  readonly control: EndpointControl;
  /** Whether acknowledged commits have to be in the successor's log. */
  readonly mustKeepCommits: () => boolean;
  /**
   * Announces a change to all instances; undefined while they are not known.
   */
  readonly announce: (
    change: ChangeRecord,
  ) => Promise<Confirmations | undefined>;
}

/**
 * Creates the preparation of planned changes of a group whose acknowledged commits
 * must not be lost, on a platform where a replaced primary stops by itself.
 */
export function syncedHandOver(control: EndpointControl): PrepareChange {
  return async ({from, to, isPlanned}) => {
    // Without the old primary nothing more is acknowledged, and the successor is
    // the one that has received most.
    if (!isPlanned) return true;
    const end = await control.stepDown(from);
    return end !== undefined && control.waitUntilReceived(to, end);
  };
}

/** Creates the preparation of one group's changes. */
export function changePreparation(context: PreparationContext): PrepareChange {
  const {instance, clock, log, changer, control, mustKeepCommits} = context;

  async function announce(
    change: ChangeRecord,
  ): Promise<Confirmations | undefined> {
    const sentAt = clock.now();
    changer.addChanges([change]);
    const answers = await context.announce(change);
    log.info({
      event: 'changeAnnounced',
      ...change,
      told: answers?.told,
      confirmed: answers && [...answers.confirmed],
      renewed: answers && [...answers.renewed],
      tookMs: Math.round(clock.now() - sentAt),
    });
    return answers;
  }

  /** Whether the old primary has stepped down, with its log at the successor. */
  async function handOver({from, to}: ChangeRecord): Promise<boolean> {
    const end = await control.stepDown(from);
    if (!end) return false;
    const isReceived = await control.waitUntilReceived(to, end);
    return isReceived || !mustKeepCommits();
  }

  /**
   * Makes sure that the successor is a replica. It may be an earlier primary
   * that still claims the role, and must then start a new term.
   */
  async function isReplica(endpoint: string): Promise<boolean> {
    const state = await control.requestState(endpoint);
    if (!state?.isPrimary) return true;
    return (await control.stepDown(endpoint)) !== undefined;
  }

  return async (change, {writtenAt, orderUntil}) => {
    if (change.isPlanned) {
      const answers = await announce(change);
      if (!answers || answers.isOutdated) return false;
      if (await handOver(change)) return true;
      // The successor was chosen while the old primary acknowledged commits.
      if (mustKeepCommits()) return false;
    }
    const unplanned = {...change, isPlanned: false};
    const answers = await announce(unplanned);
    if (!answers) return false;
    const order = orderTime(instance, answers, writtenAt, PERMISSION_LIMITS);
    log.info({event: 'orderTime', ...unplanned, ...order, now: clock.now()});
    if (order.type === 'never' || order.at >= orderUntil) return false;
    await clock.sleep(Math.max(0, order.at - clock.now()));
    return isReplica(change.to);
  };
}
