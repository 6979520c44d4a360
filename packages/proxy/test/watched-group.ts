/** Plays the watch of one group's primary on a simulated clock, for tests. */
import {manualClock} from '@quetzalreel/common';
import {
  ChangeOutcome,
  type ChangeRecord,
  type PlannedChange,
  type PrepareChange,
  type PrimaryChanger,
} from '@quetzalreel/failover';
import {StoreUnavailableError} from '@quetzalreel/object-store';
import {type PeerQueries, Verdict} from '@quetzalreel/peer-queries';
import {
  type Answer,
  type EndpointRequest,
  type EndpointStatus,
  ErrorCode,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {ConnectionLease, GroupRuntime} from '../src/group-types.js';
import {createLog} from '../src/log.js';
import {noLoad} from '../src/load-counts.js';
import {ANY_ENDPOINT} from '../src/placement.js';
import {watchPrimary} from '../src/primary-watch.js';
import {listedEndpoint} from './listed.js';

const GROUP = 'g';
/** A change that became known is left time to take effect for less. */
const RECENT_MS = 4000;

/** An endpoint that says it is the primary, with a log up to `offset`. */
export interface Claimant {
  isPrimary: boolean;
  offset: number;
  readonly leaves?: boolean;
  /** How many of its first answers are that it is busy. */
  busyAnswers?: number;
  /** Until when it does not answer, in milliseconds from the start. */
  readonly silentUntil?: number;
}

/** What makes a primary that leaves unavailable. */
export interface Loss {
  /** The last request that it answers; 'none' if it is lost from the start. */
  readonly after: 'none' | 'stepDown' | 'order';
  /** Whether it refuses connections; else it accepts them and is silent. */
  readonly refuses: boolean;
}

/** What differs from a group that has lost its primary, as all peers agree. */
interface Circumstances {
  /** The primary, which leaves. */
  readonly leaving?: string;
  readonly syncReplicas?: number;
  /** Whether a replaced primary stops by itself; by default with `syncReplicas`. */
  readonly replacedStops?: boolean;
  /** The verdict of the peers. */
  readonly verdict?: Verdict;
  /** From when on a peer reaches the primary, in milliseconds from the start. */
  readonly reachedFrom?: number;
  readonly isStoreDown?: boolean;
  readonly loss?: Loss;
  /** Endpoints whose entries have lapsed, each until a time. */
  readonly lapsedUntil?: Readonly<Record<string, number>>;
  /** When the endpoints were listed first. */
  readonly listedSince?: number;
  /** Called with each announcement of a change. */
  readonly onAnnounce?: () => void;
}

/**
 * Watches a group without a known primary, or with one that leaves; `change` is
 * the newest known one.
 */
export async function watchGroup(
  claimants: Readonly<Record<string, Claimant>>,
  change: ChangeRecord,
  {
    leaving,
    syncReplicas,
    replacedStops = syncReplicas !== undefined,
    verdict = Verdict.Unreached,
    reachedFrom = Infinity,
    isStoreDown,
    loss,
    lapsedUntil = {},
    listedSince = -Infinity,
    onAnnounce,
  }: Circumstances = {},
): Promise<{
  readonly sent: string[];
  readonly begun: PlannedChange[];
  /** When the first change was begun; undefined for never. */
  readonly begunAt: number | undefined;
  /** When the first order was sent; undefined for never. */
  readonly orderedAt: number | undefined;
  /** How often a wait for the logs of replicas began. */
  readonly waits: number;
  /** From when to when callers were refused at once for it. */
  readonly refusing: {from?: number; until?: number};
}> {
  const clock = manualClock();
  let waits = 0;
  const refusing: {from?: number; until?: number} = {};
  let primary = leaving;
  let isLost = false;
  let orderedAt: number | undefined;
  const sent: string[] = [];
  const begun: PlannedChange[] = [];
  let begunAt: number | undefined;

  function loseAfter(event: Loss['after']): void {
    if (!leaving || loss?.after !== event) return;
    isLost = true;
    const {facts} = links.get(leaving)!;
    if (loss.refuses) facts.refusingSince = clock.now();
    facts.unansweredSince = clock.now();
  }

  const isAway = (id: string) => isLost && id === leaving;

  function run(id: string, req: EndpointRequest): Answer | Promise<Answer> {
    const claimant = claimants[id]!;
    sent.push(`${req.type} ${id}`);
    const isSilent = clock.now() < (claimant.silentUntil ?? 0);
    if (isAway(id) || isSilent) return new Promise(() => {});
    const busyAnswers = claimant.busyAnswers ?? 0;
    claimant.busyAnswers = busyAnswers - 1;
    if (busyAnswers > 0)
      return localError(ErrorCode.Busy, 'busy', SessionState.Idle);
    if (req.type === 'stepDown') claimant.isPrimary = false;
    const status: EndpointStatus = {
      isPrimary: claimant.isPrimary,
      term: 2,
      received: {term: 1, offset: claimant.offset},
      termHeld: 2,
      lagMs: 0,
      busy: 0,
      connections: 1,
    };
    if (req.type === 'stepDown') loseAfter('stepDown');
    return {...localAnswer(SessionState.Idle), rows: [JSON.stringify(status)]};
  }

  // Only the members of a group, a link and a lease that are used here.
  function leaseOf(id: string): ConnectionLease {
    const connection = {endpoint: id, dispose() {}};
    return {
      need: ANY_ENDPOINT,
      link: links.get(id)!,
      pooled: {connection, send: async (req: EndpointRequest) => run(id, req)},
      release() {},
    } as unknown as ConnectionLease;
  }
  const links = new Map(
    Object.keys(claimants).map(id => [
      id,
      {
        listed: {
          ...listedEndpoint(id),
          leaving: id === leaving || (claimants[id]!.leaves ?? false),
        },
        // The end of what it has told that it has applied.
        facts: {position: {term: 1, offset: 0}},
        load: noLoad(),
        plan: {isHolder: true},
      },
    ]),
  ) as unknown as GroupRuntime['links'];
  const group = {
    name: GROUP,
    links,
    get primary() {
      return primary === undefined ? undefined : links.get(primary);
    },
    lastPrimary: 'i-1',
    missingSince: leaving ? undefined : 0,
    awaitsSuccessor: false,
    listedSince,
    lapsedEndpoints: () =>
      Object.keys(lapsedUntil).filter(id => clock.now() < lapsedUntil[id]!),
    policy: {
      name: GROUP,
      maxConnections: 9,
      syncReplicas: syncReplicas ?? 0,
      hasAccounts: false,
    },
    acquireForControl: async id =>
      isAway(id) && loss?.refuses ? undefined : leaseOf(id),
  } as Partial<GroupRuntime> as GroupRuntime;
  const changer = {
    isHolder: true,
    changes: new Map([[GROUP, change]]),
    async readLease() {
      if (isStoreDown) throw new StoreUnavailableError('away', true);
      return true;
    },
    addChanges() {},
    async change(
      planned: PlannedChange,
      isPlanned: boolean,
      prepare?: PrepareChange,
    ) {
      begun.push(planned);
      begunAt ??= clock.now();
      const record = {...planned, fence: change.fence + 1, isPlanned};
      const term = {
        writtenAt: clock.now(),
        orderUntil: Infinity,
        previous: change,
      };
      const isPrepared = prepare === undefined || (await prepare(record, term));
      if (!isPrepared) return ChangeOutcome.NotPrepared;
      sent.push(`order ${planned.to}`);
      orderedAt ??= clock.now();
      loseAfter('order');
      primary &&= planned.to;
      return ChangeOutcome.Ordered;
    },
  } as Partial<PrimaryChanger> as PrimaryChanger;
  const watch = watchPrimary(group, {
    instance: 'self',
    clock,
    log: createLog('test', {write: () => {}}),
    changer,
    peerQueries: () =>
      ({
        queryReachability: async () => ({
          verdict: clock.now() < reachedFrom ? verdict : Verdict.Reached,
          relay: undefined,
        }),
      }) as Partial<PeerQueries> as PeerQueries,
    readStatus: ({rows: [row]}) =>
      row === undefined ? undefined : (JSON.parse(row) as EndpointStatus),
    replacedPrimaryStops: replacedStops,
    async announce() {
      onAnnounce?.();
      return {
        confirmedBy: clock.now(),
        told: [],
        confirmed: new Set(),
        isOutdated: false,
        witnesses: ['self'],
        renewed: new Set(),
      };
    },
    onSuccessorAwaited: () => waits++,
  });
  loseAfter('none');
  for (let ms = 0; ms < RECENT_MS + 8000; ms += 50) {
    clock.advance(50);
    await new Promise(resolve => setImmediate(resolve));
    if (group.awaitsSuccessor) refusing.from ??= clock.now();
    else if (refusing.from !== undefined) refusing.until ??= clock.now();
  }
  watch.dispose();
  return {sent, begun, begunAt, orderedAt, waits, refusing};
}

export const CHANGE: ChangeRecord = {
  group: GROUP,
  from: 'i-1',
  to: 'i-2',
  fence: 4,
  isPlanned: false,
};
