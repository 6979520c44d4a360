/** Changes that are still to be passed on, within a bound for each message. */
import type {GossipChange} from './messages.js';

/** A change and how often it was sent. */
export interface QueuedChange {
  readonly change: GossipChange;
  readonly sent: number;
}

/** Changes carried by one message; bounds its size. */
export const MAX_CHANGES_PER_MESSAGE = 6;

/** Times that a change is sent, for each tenfold of the fleet. */
const SENDS_PER_TENFOLD = 4;

const keyOf = (change: GossipChange) =>
  change.kind === 'member'
    ? `member ${change.member.id}`
    : `report ${change.report.instance}`;

/** The queue with `change` in place of older news of the same subject. */
export function enqueueChange(
  queue: readonly QueuedChange[],
  change: GossipChange,
): readonly QueuedChange[] {
  const key = keyOf(change);
  const others = queue.filter(item => keyOf(item.change) !== key);
  return [{change: change, sent: 0}, ...others];
}

/** The changes for one message, those sent least first, and the rest. */
export function takeChangesForMessage(
  queue: readonly QueuedChange[],
  members: number,
): {
  readonly changes: readonly GossipChange[];
  readonly queue: readonly QueuedChange[];
} {
  const limit = SENDS_PER_TENFOLD * Math.ceil(Math.log10(members + 2));
  const sorted = [...queue].sort((a, b) => a.sent - b.sent);
  const taken = sorted.slice(0, MAX_CHANGES_PER_MESSAGE);
  const kept = sorted.slice(MAX_CHANGES_PER_MESSAGE);
  for (const item of taken) {
    if (item.sent + 1 < limit) kept.push({...item, sent: item.sent + 1});
  }
  return {changes: taken.map(item => item.change), queue: kept};
}
