/** What `show` and `history` tell, as rows of named columns. Pure. */
import type {Configuration} from '@quetzalreel/config';
import type {Topic} from './command.js';
import type {GroupRow, InstanceState, Member} from './instances.js';

/** A row; each row of a table has the same columns. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/** What rows are made of. */
export interface ShowSources {
  /** The instance that was asked first. */
  readonly entry: InstanceState;
  readonly members: readonly Member[];
  /** The stored configuration; undefined when the store is down. */
  readonly stored: Configuration | undefined;
  readonly group: string | undefined;
}

const NONE = '-';

/** The rows of a topic. */
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

function groupsOf({entry, group}: ShowSources): readonly GroupRow[] {
  if (group === undefined) return entry.groups;
  return entry.groups.filter(item => item.name === group);
}

function endpointRows(group: GroupRow): Row[] {
  return group.endpoints.map(endpoint => ({
    group: group.name,
    endpoint: endpoint.name,
    dataCentre: endpoint.dataCentre,
    role: endpoint.role ?? NONE,
    term: endpoint.term ?? NONE,
    position: endpoint.position ?? NONE,
    reach: endpoint.reach,
    leaving: endpoint.leaving,
    busy: endpoint.busy,
    slots: endpoint.capacity,
  }));
}

function groupRow(group: GroupRow): Row {
  const primaries = group.endpoints.filter(item => item.role === 'primary');
  primaries.sort((a, b) => (b.term ?? 0) - (a.term ?? 0));
  const primary = primaries[0];
  return {
    group: group.name,
    primary: primary?.name ?? NONE,
    term: primary?.term ?? NONE,
    position: primary?.position ?? NONE,
    step: group.step,
    waiting: group.waiting,
    held: group.held,
  };
}

function memberRow({id, status, state}: Member): Row {
  return {
    instance: id,
    dataCentre: state?.dataCentre ?? NONE,
    status,
    answers: state !== undefined,
    ready: state?.ready ?? false,
    store: state ? (state.storeDown ? 'down' : 'reachable') : NONE,
  };
}

function generationRow(
  {id, state}: Member,
  stored: Configuration | undefined,
): Row {
  return {
    instance: id,
    generation: state?.generation ?? NONE,
    change: state?.changeId || NONE,
    stored: stored?.generation ?? NONE,
  };
}

/** Accepted changes that some live instance has not in force. */
function pendingRows({members, stored}: ShowSources): Row[] {
  const rows: Row[] = [];
  for (const change of stored?.changes ?? []) {
    const missing = behind(members, change.generation);
    if (missing.length === 0) continue;
    const {changeId, generation, by, order} = change;
    const waiting = missing.join(' ');
    rows.push({change: changeId, generation, by, order, missing: waiting});
  }
  return rows;
}

/** Members that do not have `generation` or a higher one in force. */
export function behind(
  members: readonly Member[],
  generation: number,
): string[] {
  const late = members.filter(
    ({state}) => (state?.generation ?? 0) < generation,
  );
  return late.map(member => member.id);
}

function shareRows({id, state}: Member): Row[] {
  return (state?.shares ?? []).map(share => ({instance: id, ...share}));
}

function sessionRow({id, state}: Member): Row {
  return {instance: id, callers: state?.callers ?? NONE};
}

/** The history, the newest change first. */
export function historyRows(stored: Configuration): Row[] {
  return [...stored.changes].reverse().map(change => ({
    generation: change.generation,
    change: change.changeId,
    at: change.at,
    by: change.by,
    order: change.order,
  }));
}
