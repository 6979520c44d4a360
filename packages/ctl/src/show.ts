/** Builds the rows that `show` and `history` print. Pure functions. */
import type {Configuration} from '@quetzalreel/config';
import type {Topic} from './command.js';
import type {GroupState, InstanceState, MemberResult} from './instances.js';

/** Values by column name; all rows of a table have the same columns. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/** Data from which rows are built. */
export interface ShowSources {
  /** State of the first configured instance that answered. */
  readonly entry: InstanceState;
  readonly members: readonly MemberResult[];
  /** The stored configuration; undefined when the store is down. */
  readonly stored: Configuration | undefined;
  readonly group: string | undefined;
}

const NO_VALUE = '-';

/** Builds the rows of a topic. */
export function rowsOf(topic: Topic, sources: ShowSources): Row[] {
  switch (topic) {
    case 'endpoints':
      return groupsOf(sources).flatMap(endpointRows);
    case 'groups':
      return groupsOf(sources).map(groupRow);
    case 'members':
      return sources.members.map(memberRow);
    case 'generation':
      return sources.members.map(member =>
        generationRow(member, sources.stored),
      );
    case 'changes':
      return pendingRows(sources);
    case 'shares':
      return sources.members.flatMap(shareRows);
    case 'sessions':
      return sources.members.map(sessionRow);
    case 'kinds':
      return (sources.stored?.kinds ?? []).map(kind => ({...kind}));
  }
}

function groupsOf({entry, group}: ShowSources): readonly GroupState[] {
  if (group === undefined) return entry.groups;
  return entry.groups.filter(item => item.name === group);
}

function endpointRows(group: GroupState): Row[] {
  return group.endpoints.map(endpoint => ({
    group: group.name,
    endpoint: endpoint.name,
    dataCentre: endpoint.dataCentre,
    role: endpoint.role ?? NO_VALUE,
    term: endpoint.term ?? NO_VALUE,
    position: endpoint.position ?? NO_VALUE,
    reach: endpoint.reach,
    leaving: endpoint.leaving,
    busy: endpoint.busy,
    slots: endpoint.capacity,
  }));
}

function groupRow(group: GroupState): Row {
  const primaries = group.endpoints.filter(item => item.role === 'primary');
  primaries.sort((a, b) => (b.term ?? 0) - (a.term ?? 0));
  const primary = primaries[0];
  return {
    group: group.name,
    primary: primary?.name ?? NO_VALUE,
    term: primary?.term ?? NO_VALUE,
    position: primary?.position ?? NO_VALUE,
    step: group.step,
    waiting: group.waiting,
    held: group.held,
  };
}

function memberRow({id, status, state}: MemberResult): Row {
  return {
    instance: id,
    dataCentre: state?.dataCentre ?? NO_VALUE,
    status,
    answers: state !== undefined,
    ready: state?.ready ?? false,
    store: state ? (state.storeDown ? 'down' : 'reachable') : NO_VALUE,
  };
}

function generationRow(
  {id, state}: MemberResult,
  stored: Configuration | undefined,
): Row {
  return {
    instance: id,
    generation: state?.generation ?? NO_VALUE,
    change: state?.changeId || NO_VALUE,
    stored: stored?.generation ?? NO_VALUE,
  };
}

/** Lists accepted changes that are not yet in force on every live instance. */
function pendingRows({members, stored}: ShowSources): Row[] {
  const rows: Row[] = [];
  for (const change of stored?.changes ?? []) {
    const missing = membersBehind(members, change.generation);
    if (missing.length === 0) continue;
    const {changeId, generation, by, order} = change;
    const waiting = missing.join(' ');
    rows.push({change: changeId, generation, by, order, missing: waiting});
  }
  return rows;
}

/** Ids of the members whose generation in force is below `generation`. */
export function membersBehind(
  members: readonly MemberResult[],
  generation: number,
): string[] {
  const late = members.filter(
    ({state}) => (state?.generation ?? 0) < generation,
  );
  return late.map(member => member.id);
}

function shareRows({id, state}: MemberResult): Row[] {
  return (state?.shares ?? []).map(share => ({instance: id, ...share}));
}

function sessionRow({id, state}: MemberResult): Row {
  return {instance: id, callers: state?.callers ?? NO_VALUE};
}

/** Rows of the history, newest change first. */
export function historyRows(stored: Configuration): Row[] {
  return [...stored.changes].reverse().map(change => ({
    generation: change.generation,
    change: change.changeId,
    at: change.at,
    by: change.by,
    order: change.order,
  }));
}
