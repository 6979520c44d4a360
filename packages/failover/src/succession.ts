/**
 * Chooses the endpoint that replaces a group's primary. An acknowledged commit has
 * been received by `k` of the `n` endpoints beside the primary. If `n - k + 1` of
 * them report what they have received, at least one of these has the commit, and so
 * has the one with the latest log. Viewstamped replication and Raft's elections rest
 * on the same overlap of quorums.
 */
import {type Position, comparePositions} from '@quetzalreel/position';

/** What an endpoint has told of itself. */
export const Told = {
  /** What it has received, and its role. */
  Status: 'status',
  /** That it is too busy to say. */
  Busy: 'busy',
  /** Nothing: it did not answer, or is not listed at the moment. */
  Nothing: 'nothing',
} as const;

/** One of the values of `Told`. */
export type Told = (typeof Told)[keyof typeof Told];

/** An endpoint of a group, as it is known when a successor is chosen. */
export interface Member {
  readonly endpoint: string;
  /** Whether it leaves, and will have to be replaced again. */
  readonly isLeaving: boolean;
  readonly told: Told;
  /**
   * The end of the log that it has received. Of one that was too busy to say, the
   * end of what it is known to have applied; undefined if nothing is known.
   */
  readonly position: Position | undefined;
  /** Whether it says that it is the primary; undefined if it did not say. */
  readonly isPrimary: boolean | undefined;
}

/** What the choice depends on. */
export interface SuccessionContext {
  /** All endpoints that may have received a commit, the old primary included. */
  readonly members: readonly Member[];
  /** The primary that is replaced, as far as is known here; '' for none. */
  readonly replaced: string;
  /**
   * Number of replicas that have received a commit before it is acknowledged; 0
   * where acknowledged commits may be lost.
   */
  readonly syncReplicas: number;
  /**
   * The endpoint that the newest change before this one was to make the primary.
   * It may have led since, unknown to this instance.
   */
  readonly lastNamed: string | undefined;
}

/** The result of a choice. */
export type Succession =
  | {readonly type: 'chosen'; readonly endpoint: string}
  /** No endpoint may lead yet. */
  | {
      readonly type: 'waits';
      /** Number of endpoints that have to be heard beside the old primary. */
      readonly needed: number;
      /** Those that were not heard. */
      readonly missing: readonly string[];
      /** Those of `missing` that answer, but are too busy to say. */
      readonly busy: readonly string[];
    };

function isHeard({told}: Member): boolean {
  return told === Told.Status;
}

/** Chooses the successor of a primary. */
export function chooseSuccessor(context: SuccessionContext): Succession {
  const {members, replaced, syncReplicas} = context;
  if (syncReplicas === 0) return chosenOf(members, 1, members);
  const voters = votersOf(context);
  const heard = members.filter(isHeard);
  if (isBack(context, heard)) return {type: 'chosen', endpoint: replaced};
  const needed = Math.max(1, voters.length - syncReplicas + 1);
  if (voters.filter(isHeard).length < needed) return waitFor(needed, voters);
  return chosenOf(heard, needed, voters);
}

/**
 * Whether the old primary is back and still leads. It has all commits that it
 * acknowledged, so it goes on, whoever else was heard.
 */
function isBack(
  {replaced, lastNamed}: SuccessionContext,
  heard: readonly Member[],
): boolean {
  const primary = heard.find(({endpoint}) => endpoint === replaced);
  if (!primary?.isPrimary) return false;
  const isCertain = lastNamed === undefined || lastNamed === replaced;
  const mayHaveLed = ({endpoint}: Member) => endpoint === lastNamed;
  if (!isCertain && !heard.some(mayHaveLed)) return false;
  const best = mostAdvanced(heard)!;
  return comparePositions(primary.position!, best.position!) >= 0;
}

/**
 * Those that may have received a commit: all but the last primary. Where either of
 * two may have been the last, one of them may be left out if both are members: the
 * other one counts then, and has all commits if it was the last.
 */
function votersOf({
  members,
  replaced,
  lastNamed,
}: SuccessionContext): readonly Member[] {
  const isMember = (id: string) =>
    members.some(({endpoint}) => endpoint === id);
  const isCertain = lastNamed === undefined || lastNamed === replaced;
  if (!isCertain && !(isMember(replaced) && isMember(lastNamed)))
    return members;
  return members.filter(({endpoint}) => endpoint !== replaced);
}

function chosenOf(
  candidates: readonly Member[],
  needed: number,
  voters: readonly Member[],
): Succession {
  const best = mostAdvanced(candidates);
  if (!best) return waitFor(needed, voters);
  return {type: 'chosen', endpoint: best.endpoint};
}

function waitFor(needed: number, voters: readonly Member[]): Succession {
  const unheard = voters.filter(member => !isHeard(member));
  const namesOf = (of: readonly Member[]) => of.map(({endpoint}) => endpoint);
  const busy = unheard.filter(({told}) => told === Told.Busy);
  return {
    type: 'waits',
    needed,
    missing: namesOf(unheard),
    busy: namesOf(busy),
  };
}

/**
 * The member with the latest position. Of several that have it, one that stays
 * comes first, then the first by name, so that all instances choose the same one.
 */
export function mostAdvanced(members: readonly Member[]): Member | undefined {
  let best: Member | undefined;
  for (const member of members) {
    if (!member.position) continue;
    if (!best || comesBefore(member, best)) best = member;
  }
  return best;
}

function comesBefore(a: Member, b: Member): boolean {
  const order = comparePositions(a.position!, b.position!);
  if (order !== 0) return order > 0;
  if (a.isLeaving !== b.isLeaving) return b.isLeaving;
  return a.endpoint < b.endpoint;
}
