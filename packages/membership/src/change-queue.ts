/** Queue of changes to gossip, with a limit on the changes per message. */
import type {GossipChange} from './messages.js';

/** A change and the number of times it was sent. */
export interface QueuedChange {
  readonly change: GossipChange;
  readonly sendCount: number;
}

/** Maximum number of changes in one message; bounds the message size. */
export const MAX_CHANGES_PER_MESSAGE = 6;

/** Number of times each change is sent, per factor of ten in fleet size. */
const SENDS_PER_FLEET_LOG10 = 4;

const subjectOf = (change: GossipChange) =>
  change.kind === 'member'
    ? `member ${change.member.id}`
    : `report ${change.report.instance}`;

/**
 * Adds `change` in place of a queued change about the same member or report.
 */
export function enqueueChange(
  queue: readonly QueuedChange[],
  change: GossipChange,
): readonly QueuedChange[] {
  const key = subjectOf(change);
  const otherItems = queue.filter(item => subjectOf(item.change) !== key);
  return [{change, sendCount: 0}, ...otherItems];
}

/**
 * Selects the changes for one message, those sent least often first. A change
 * leaves the queue after a number of sends that grows with the logarithm of the
 * fleet size.
 */
export function takeChangesForMessage(
  queue: readonly QueuedChange[],
  members: number,
): {
  readonly changes: readonly GossipChange[];
  readonly queue: readonly QueuedChange[];
} {
  const maxSends = SENDS_PER_FLEET_LOG10 * Math.ceil(Math.log10(members + 2));
  const sorted = [...queue].sort((a, b) => a.sendCount - b.sendCount);
  const selected = sorted.slice(0, MAX_CHANGES_PER_MESSAGE);
  const remaining = sorted.slice(MAX_CHANGES_PER_MESSAGE);
  for (const item of selected) {
    if (item.sendCount + 1 < maxSends)
      remaining.push({...item, sendCount: item.sendCount + 1});
  }
  return {changes: selected.map(item => item.change), queue: remaining};
}
