/** Merges received changes into the state. */
import {enqueueChange} from './change-queue.js';
import {type MemberRecord, supersedes} from './member.js';
import type {GossipChange, SuspicionReport} from './messages.js';
import type {
  MembershipEffect,
  MembershipResult,
  MembershipState,
} from './state.js';

/** Merges changes and queues those that are new for gossip. */
export function mergeChanges(
  state: MembershipState,
  changes: readonly GossipChange[],
  now: number,
): MembershipResult {
  let current = state;
  const effects: MembershipEffect[] = [];
  for (const change of changes) {
    const result =
      change.kind === 'member'
        ? mergeMember(current, change.member, now)
        : mergeReport(current, change.report);
    current = result.state;
    effects.push(...result.effects);
  }
  return {state: current, effects};
}

/** Merges the record of a member. */
export function mergeMember(
  state: MembershipState,
  member: MemberRecord,
  now: number,
): MembershipResult {
  if (member.id === state.self.id) return refute(state, member);
  const before = state.members.get(member.id)?.record;
  // A dead or left instance that is not known here is ignored: storing it would
  // only keep its record circulating.
  const isGone = member.status === 'dead' || member.status === 'left';
  if (!before && isGone) return {state, effects: []};
  if (!supersedes(member, before)) return {state, effects: []};
  const members = new Map(state.members);
  members.set(member.id, {record: member, statusSince: now});
  const queue = enqueueChange(state.queue, {kind: 'member', member});
  const reports = new Map(state.reports);
  if (isGone) reports.delete(member.id);
  return {
    state: {...state, members, queue, reports},
    effects: [{type: 'member', member, before}],
  };
}

/** Refutes a record about this instance with a higher incarnation. */
function refute(
  state: MembershipState,
  received: MemberRecord,
): MembershipResult {
  const {self} = state;
  const isObsolete = received.incarnation < self.incarnation;
  if (isObsolete || self.status === 'left') return {state, effects: []};
  if (
    received.status === 'alive' &&
    received.incarnation === self.incarnation
  ) {
    return {state, effects: []};
  }
  const incarnation = received.incarnation + 1;
  const member = {...self, incarnation};
  const queue = enqueueChange(state.queue, {kind: 'member', member});
  return {
    state: {...state, self: member, queue},
    effects: [{type: 'refuted', incarnation}],
  };
}

function mergeReport(
  state: MembershipState,
  report: SuspicionReport,
): MembershipResult {
  const known = state.reports.get(report.instance);
  const isOwn = report.instance === state.self.id;
  if (isOwn || (known && known.seq >= report.seq)) return {state, effects: []};
  return storeReport(state, report);
}

/** Stores `report` as the latest of its instance and queues it for gossip. */
export function storeReport(
  state: MembershipState,
  report: SuspicionReport,
): MembershipResult {
  const reports = new Map(state.reports).set(report.instance, report);
  const queue = enqueueChange(state.queue, {kind: 'report', report});
  return {state: {...state, reports, queue}, effects: [{type: 'reports'}]};
}
