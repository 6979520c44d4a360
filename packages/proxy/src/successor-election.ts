/**
 * Asks the endpoints of a group how far their logs reach, and chooses the one
 * that may replace the primary. Where acknowledged commits must be kept, also
 * endpoints that can't be asked at the moment count for the choice.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type Member,
  type Succession,
  Told,
  chooseSuccessor,
} from '@quetzalreel/failover';
import type {EndpointControl} from './endpoint-control.js';
import {ENTRY_RETURN_MS} from './endpoint-directory.js';
import type {GroupRuntime} from './group-types.js';
import type {ListedEndpoint} from './routes.js';

/** What a successor is chosen for. */
export interface ElectionRequest {
  /** The primary that is replaced; '' if it is not known. */
  readonly replaced: string;
  /** Whether the replaced primary may be asked, and chosen again. */
  readonly mayReturn: boolean;
  /**
   * Whether the old primary still serves. Its successor receives all that it has
   * acknowledged before the order, so any that stays may be chosen.
   */
  readonly isPlanned: boolean;
  /** See `SuccessionContext`. */
  readonly lastNamed: string | undefined;
}

/** A choice, and what it rests on. */
export interface ElectionResult {
  readonly members: readonly Member[];
  readonly succession: Succession;
}

/** Chooses successors of one group's primary. */
export type SuccessorElection = (
  req: ElectionRequest,
) => Promise<ElectionResult>;

/** Creates the elections of a group. */
export function successorElection(
  group: GroupRuntime,
  {clock, control}: {readonly clock: Clock; readonly control: EndpointControl},
): SuccessorElection {
  async function memberOf(
    {id: endpoint, leaving: isLeaving}: ListedEndpoint,
    repeats: boolean,
  ): Promise<Member> {
    const member = {endpoint, isLeaving};
    const report = await control.requestStatus(endpoint, repeats);
    switch (report?.type) {
      case Told.Status: {
        const {type: told, received: position, isPrimary} = report;
        return {...member, told, position, isPrimary};
      }
      case Told.Busy: {
        const {type: told, applied: position} = report;
        return {...member, told, position, isPrimary: undefined};
      }
      default:
        return {...member, ...UNHEARD};
    }
  }

  /** The members of the group that can't be asked, or were not. */
  function unasked(asked: readonly Member[]): Member[] {
    const names = new Set([...group.links.keys(), ...group.lapsedEndpoints()]);
    for (const {endpoint} of asked) names.delete(endpoint);
    return [...names].map(endpoint => ({
      endpoint,
      isLeaving: false,
      ...UNHEARD,
    }));
  }

  /** Whether entries that lapsed before this instance knew the list may be back. */
  function isListNew(): boolean {
    return clock.now() - group.listedSince < ENTRY_RETURN_MS;
  }

  return async ({replaced, mayReturn, isPlanned, lastNamed}) => {
    const syncReplicas = isPlanned ? 0 : group.policy.syncReplicas;
    const keepsCommits = syncReplicas > 0;
    const asked: Array<Promise<Member>> = [];
    for (const {listed} of group.links.values()) {
      if (listed.id === replaced && !mayReturn) continue;
      // One that leaves may be the only one with a commit.
      if (listed.leaving && !keepsCommits) continue;
      asked.push(memberOf(listed, keepsCommits));
    }
    const members = await Promise.all(asked);
    if (keepsCommits) members.push(...unasked(members));
    if (keepsCommits && isListNew()) return {members, succession: LIST_IS_NEW};
    const context = {members, replaced, syncReplicas, lastNamed};
    return {members, succession: chooseSuccessor(context)};
  };
}

/** Of an endpoint that has told nothing. */
const UNHEARD = {
  told: Told.Nothing,
  position: undefined,
  isPrimary: undefined,
} as const;

/** The members are not known yet. */
const LIST_IS_NEW: Succession = {
  type: 'waits',
  needed: 0,
  missing: [],
  busy: [],
};
