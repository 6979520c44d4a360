/**
 * Prepares a change of primary: the old one has stepped down before the order, or
 * no instance uses it any more. That is needed on a platform where a replaced
 * primary goes on acknowledging, and where acknowledged commits must be kept: what
 * a primary acknowledges after its successor was chosen may be missing there.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type ChangeRecord,
  type Confirmations,
  type PrepareChange,
  type PrimaryChanger,
  Told,
  orderTime,
} from '@quetzalreel/failover';
import {isAtLeast} from '@quetzalreel/position';
import {PERMISSION_LIMITS} from './defaults.js';
import type {EndpointControl} from './endpoint-control.js';
import type {Log} from './log.js';
import type {SuccessorElection} from './successor-election.js';

/** Dependencies of a preparation. */
export interface PreparationContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly changer: PrimaryChanger;
  readonly control: EndpointControl;
  readonly elect: SuccessorElection;
  /** Whether acknowledged commits have to be in the successor's log. */
  readonly mustKeepCommits: () => boolean;
  /** Whether a replaced primary stops by itself when the order takes effect. */
  readonly replacedPrimaryStops: boolean;
  /**
   * Announces a change to all instances; undefined while they are not known.
   */
  readonly announce: (
    change: ChangeRecord,
  ) => Promise<Confirmations | undefined>;
}

/** Creates the preparation of one group's changes. */
export function changePreparation(context: PreparationContext): PrepareChange {
  const {instance, clock, log, changer, control, mustKeepCommits} = context;
  const {replacedPrimaryStops} = context;

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
    const report = await control.requestStatus(endpoint, true);
    if (report?.type === Told.Status && !report.isPrimary) return true;
    return (await control.stepDown(endpoint)) !== undefined;
  }

  /**
   * Whether the successor still has all acknowledged commits, now that nothing
   * more is acknowledged. It was chosen before.
   */
  async function hasAllCommits(
    {group, from: replaced, to}: ChangeRecord,
    previous: ChangeRecord | undefined,
  ): Promise<boolean> {
    const {members, succession} = await context.elect({
      replaced,
      mayReturn: to === replaced,
      isPlanned: false,
      lastNamed: previous?.to,
    });
    if (succession.type === 'chosen') {
      const positionOf = (endpoint: string) =>
        members.find(member => member.endpoint === endpoint)?.position;
      const position = positionOf(to);
      const best = positionOf(succession.endpoint);
      if (position && best && isAtLeast(position, best)) return true;
    }
    log.warn({event: 'successorOutdated', group, to, members, succession});
    return false;
  }

  return async (change, {writtenAt, orderUntil, previous}) => {
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
    if (mustKeepCommits() && !(await hasAllCommits(unplanned, previous)))
      return false;
    return replacedPrimaryStops || isReplica(change.to);
  };
}
