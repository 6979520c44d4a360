/**
 * The runtime of one group: its endpoints, which of them is the primary, the
 * samples of its log, and the statements that wait for a connection.
 */
import {type Answer, ErrorCode} from '@quetzalreel/requests';
import {isReachable, isProbeDue} from './probe-schedule.js';
import {afterAnswer} from './answer-time.js';
import {endpointReachability} from './endpoint-reachability.js';
import {LIMITS, TIMES} from './defaults.js';
import {type ConnectionUse, ConnectionWay, OWN_USE} from './connection-use.js';
import {type EndpointLink, endpointLink} from './endpoint-link.js';
import {confirmedPositions} from './confirmed-positions.js';
import {
  type GroupContext,
  type GroupRuntime,
  type ConnectionLease,
  type ConnectionRequest,
  OWN_REQUESTS,
  type RequestSource,
} from './group-types.js';
import {groupPace} from './group-pace.js';
import {groupPrimary} from './group-primary.js';
import {leavingEndpoints} from './leaving-endpoints.js';
import {placementOf} from './link-placement.js';
import {overloadLog} from './overload-log.js';
import {
  ANY_ENDPOINT,
  type Need,
  PRIMARY_NEED,
  type PlacementOption,
  canServe,
} from './placement.js';
import {type PlacementDecision, decidePlacement} from './placement-decision.js';
import {paceLog} from './pace-log.js';
import {probe} from './probe.js';
import type {PooledConnection} from './pooled-connection.js';
import type {GroupPolicy, ListedEndpoint} from './routes.js';
import {type AcquireAttempt, waitingRequests} from './waiting-requests.js';

/** Creates a group without endpoints. */
export function groupRuntime(
  policy: GroupPolicy,
  context: GroupContext,
): GroupRuntime {
  const {clock, log, dataCentre, primaryUse} = context;
  const links = new Map<string, EndpointLink>();
  const waiting = waitingRequests({clock, tryAcquire});
  const probing = new Set<string>();
  const overload = overloadLog(context);
  const limits = paceLog(context);
  const reachability = endpointReachability({
    clock,
    log,
    ask: endpoint => context.askPeers(context.name, endpoint),
    onFound: link => link.open(),
  });
  const positions = confirmedPositions({
    ...context,
    askPeers: () =>
      context.requestConfirmedPosition(
        context.name,
        addressesOf(group.primary),
      ),
  });
  const pace = groupPace({clock, links});
  const primary = groupPrimary({
    ...context,
    links,
    onChange() {
      pace.notePrimary(primary.id);
      waiting.serve();
    },
  });
  const leaving = leavingEndpoints(context);
  let askedHoldersAt = -Infinity;
  let listedSince = Infinity;

  function replan(link: EndpointLink): void {
    const {id, dataCentre} = link.listed;
    const {maxConnections, hasAccounts} = group.policy;
    link.applyPlan(
      context.planFor({id, dataCentre, maxConnections, hasAccounts}),
    );
  }

  function optionOf(
    link: EndpointLink,
    use: ConnectionUse = OWN_USE,
    {priority}: RequestSource = OWN_REQUESTS,
  ): PlacementOption {
    const {id} = link.listed;
    const isPrimary = id === primary.id && !leaving.isOver(id);
    return placementOf(link, {
      isPrimary,
      dataCentre,
      now: clock.now(),
      use,
      isUrgent: priority === 0,
      othersFailing: pace.othersFailing(link),
    });
  }

  /** The options for a request, whether it may use the primary or not. */
  function optionsFor(
    {directOnly}: Pick<Need, 'directOnly'>,
    from: RequestSource,
  ): readonly PlacementOption[] {
    const way = directOnly ? ConnectionWay.Direct : ConnectionWay.Any;
    const use = {way, account: from.account};
    return [...links.values()].map(link => optionOf(link, use, from));
  }

  /**
   * The connections that serve a need. Without permission to use primaries only
   * relayed ones do: the instance that relays checks its own.
   */
  function wayFor({directOnly, primaryOnly}: Need): ConnectionWay {
    if (directOnly) return ConnectionWay.Direct;
    return primaryOnly && !primaryUse.isPermitted
      ? ConnectionWay.Relayed
      : ConnectionWay.Any;
  }

  function leaseOf(
    link: EndpointLink,
    settingsKey: string,
    need: Need,
    use: ConnectionUse,
  ): ConnectionLease | undefined {
    const pooled = link.acquire(settingsKey, use);
    return pooled && leaseFor(link, pooled, need);
  }

  /** The lease of a connection that was taken from its link. */
  function leaseFor(
    link: EndpointLink,
    pooled: PooledConnection,
    need: Need,
  ): ConnectionLease {
    let returned = false;
    const lease: ConnectionLease = {
      need,
      link,
      pooled,
      isReserved: false,
      onStatementEnd: waiting.serve,
      release(reusable) {
        if (returned) return;
        returned = true;
        if (lease.isReserved) link.facts.inFlight--;
        lease.isReserved = false;
        link.release(pooled, reusable);
      },
    };
    return lease;
  }

  /** Takes a connection for a statement, which counts as in flight. */
  function reservedLease(
    link: EndpointLink,
    settingsKey: string,
    need: Need,
    use: ConnectionUse,
  ): ConnectionLease | undefined {
    const lease = leaseOf(link, settingsKey, need, use);
    if (!lease) return undefined;
    lease.isReserved = true;
    link.facts.inFlight++;
    return lease;
  }

  function decide(need: Need, from: RequestSource): PlacementDecision {
    const use = {way: wayFor(need), account: from.account};
    return decidePlacement(optionsFor(need, from), need, {
      hasConnection: id => links.get(id)!.hasIdle(use),
      isOutOfReach: () => isOutOfReach(need),
    });
  }

  function tryAcquire(req: ConnectionRequest): AcquireAttempt {
    const need = req.need();
    const {account, settingsKey} = req;
    const decision = decide(need, req);
    if (decision.type === 'take') {
      const link = links.get(decision.endpoint)!;
      const use = {way: wayFor(need), account};
      const lease = reservedLease(link, settingsKey, need, use);
      return {lease, isHopeless: false};
    }
    const {type, opening} = decision;
    if (opening !== undefined) {
      const way = need.directOnly ? ConnectionWay.Direct : ConnectionWay.Any;
      links.get(opening)!.open({way, account});
    }
    return {lease: undefined, isHopeless: type === 'refuse'};
  }

  /**
   * Whether the need is for a primary that is unreachable from this instance
   * while peers did not confirm it as down.
   */
  function isOutOfReach(need: Need): boolean {
    if (!need.primaryOnly) return false;
    if (group.awaitsSuccessor) return true;
    if (primary.id === undefined) return false;
    const link = links.get(primary.id);
    if (!link) return false;
    if (link.plan.isHolder && primaryUse.hasLapsed) return true;
    return reachability.isUnreachableLocally(link);
  }

  function needsProbe({facts, listed, plan}: EndpointLink): boolean {
    return isProbeDue({
      isHolder: plan.isHolder,
      hasPrimary: primary.id !== undefined,
      isPrimary: listed.id === primary.id,
      inFlight: facts.inFlight,
      sinceContactMs: clock.now() - facts.lastContactAt,
      sampleAgeMs: positions.age(),
    });
  }

  /** Requests a sample of the primary from the holders of connections to it. */
  function askHolders(): void {
    const link = group.primary;
    if (!link || link.plan.isHolder) return;
    const now = clock.now();
    if (positions.age() <= TIMES.askHolderSampleAgeMs) return;
    if (now - askedHoldersAt <= TIMES.askHolderRetryMs) return;
    askedHoldersAt = now;
    context.requestConfirmedPosition(context.name, addressesOf(link));
  }

  /** An answer that a holder generated carries no log position. */
  function countRefusal({load}: EndpointLink, {position}: Answer): void {
    if (position) load.refusedByEndpoint++;
    else load.refusedByHolder++;
  }

  function addressesOf(link: EndpointLink | undefined): readonly string[] {
    return link?.plan.holders.map(({address}) => address) ?? [];
  }

  function probeEndpoint(link: EndpointLink): void {
    const {id} = link.listed;
    if (probing.has(id)) return;
    const lease = leaseOf(link, '', ANY_ENDPOINT, OWN_USE);
    if (!lease) {
      // Statements waiting for their answers are no evidence that the endpoint
      // is alive; opening a connection is.
      link.open();
      return;
    }
    probing.add(id);
    void probe(lease, {
      clock,
      group,
      log,
      timeoutMs: TIMES.probeTimeoutMs,
    }).finally(() => probing.delete(id));
  }

  /** An answer that denies the primary role is taken as proof. */
  function noteAnswer(
    link: EndpointLink,
    answer: Answer,
    sentAt: number,
  ): void {
    link.noteAnswer(answer);
    if (answer.error?.code !== ErrorCode.ReadOnly) return;
    link.facts.provenNotPrimaryAt = Math.max(
      link.facts.provenNotPrimaryAt,
      sentAt,
    );
    if (link.listed.id === primary.id) primary.find();
  }

  const group: GroupRuntime = {
    name: context.name,
    policy,
    links,
    get primary() {
      return primary.id === undefined ? undefined : links.get(primary.id);
    },
    get lastPrimary() {
      return primary.lastId;
    },
    get missingSince() {
      return primary.missingSince;
    },
    awaitsSuccessor: false,
    get listedSince() {
      return listedSince;
    },
    lapsedEndpoints: context.lapsedEndpoints,
    get isUnreachableLocally() {
      return isOutOfReach(PRIMARY_NEED);
    },
    mayStartOnPrimary: primary.mayStart,
    mayContinueOnPrimary: primary.mayContinue,
    noteChange: primary.noteChange,
    get primaryWork() {
      return primary.work;
    },
    countPrimaryWork: primary.countWork,
    canServe: need =>
      [...links.values()].some(link => canServe(optionOf(link), need)),
    optionsFor,
    decide,
    get waiting() {
      return waiting.size;
    },
    async acquire(req) {
      const {lease, isHopeless} = tryAcquire(req);
      if (lease || isHopeless) return lease;
      return waiting.wait(req);
    },
    async acquireForControl(endpoint, until, way = ConnectionWay.Any) {
      const use = {...OWN_USE, way};
      for (;;) {
        const link = links.get(endpoint);
        const leftMs = until - clock.now();
        if (!link || leftMs <= 0) return undefined;
        const waitMs = Math.min(leftMs, TIMES.controlConnectRetryMs);
        const pooled = await link.acquireNext(use, waitMs);
        if (pooled) return leaseFor(link, pooled, ANY_ENDPOINT);
      }
    },
    requiredPosition: positions.requiredPosition,
    knownRequiredPosition: positions.knownRequiredPosition,
    noteAnswer,
    noteStatementAnswer(link, answer, sentAt, onPrimary) {
      noteAnswer(link, answer, sentAt);
      const {facts} = link;
      pace.noteAnswer(link, answer, sentAt, onPrimary);
      if (answer.error?.code === ErrorCode.Busy) countRefusal(link, answer);
      if (answer.error) return;
      link.load.ran++;
      if (onPrimary) return;
      const now = clock.now();
      facts.answerTime = afterAnswer(facts.answerTime, now - sentAt, now);
    },
    noteNoAnswer: pace.noteNoAnswer,
    notePrimaryAnswer(link, {position}, sentAt) {
      // A replaced primary may still answer as one.
      if (primary.isReplaced(link.listed.id)) return;
      link.facts.provenPrimaryAt = Math.max(link.facts.provenPrimaryAt, sentAt);
      if (link.listed.id !== primary.id) primary.find();
      if (!position || link.listed.id !== primary.id) return;
      positions.addOwn({sentAt, position});
    },
    ownConfirmed() {
      const own = positions.own();
      if (!own || primary.id === undefined) return undefined;
      return {endpoint: primary.id, ...own};
    },
    addPeerConfirmed({endpoint, position}, askedAt) {
      if (!positions.addFromPeer({sentAt: askedAt, position})) return;
      const link = links.get(endpoint);
      if (link) {
        link.facts.provenPrimaryAt = Math.max(
          link.facts.provenPrimaryAt,
          askedAt,
        );
        primary.find();
      }
      waiting.serve();
    },
    async checkReachable(wanted, withinMs) {
      const endpoint = wanted === '' ? (primary.id ?? '') : wanted;
      const askedAt = clock.now();
      const hasContact = () => {
        const link = links.get(endpoint);
        if (!link) return false;
        const {lastContactAt, unansweredSince} = link.facts;
        const {isHolder} = link.plan;
        return isReachable({isHolder, lastContactAt, unansweredSince}, askedAt);
      };
      while (!hasContact() && clock.now() - askedAt < withinMs) {
        const link = links.get(endpoint);
        // An endpoint that this instance reaches only through a peer can't be
        // relayed to other peers.
        if (!link || link.isOnDetour) return false;
        probeEndpoint(link);
        await clock.sleep(TIMES.peerCheckPollMs);
      }
      return hasContact() && !links.get(endpoint)?.isOnDetour;
    },
    setEndpoints(endpoints) {
      const isFirstList = links.size === 0;
      if (endpoints.length > 0)
        listedSince = Math.min(listedSince, clock.now());
      const listedIds = new Set(endpoints.map(({id}) => id));
      for (const [id, link] of links) {
        if (listedIds.has(id)) continue;
        log.info({event: 'endpointGone', group: group.name, endpoint: id});
        link.dispose();
        links.delete(id);
        primary.forget(id);
        leaving.forget(id);
        reachability.forget(id);
      }
      for (const endpoint of endpoints) updateEntry(endpoint, isFirstList);
      primary.find();
    },
    replan() {
      for (const link of links.values()) replan(link);
    },
    tick() {
      for (const link of links.values()) {
        if (link.connections < LIMITS.minConnections) link.open();
        link.closeUnused(LIMITS.minConnections);
        if (needsProbe(link)) probeEndpoint(link);
        reachability.askPeersIfDue(link);
        limits.observe(link);
        overload.observe(link, {
          isPrimary: link.listed.id === primary.id,
          waiting: waiting.size,
        });
      }
      askHolders();
      waiting.serve();
    },
    dispose() {
      for (const link of links.values()) link.dispose();
    },
  };

  function updateEntry(endpoint: ListedEndpoint, isFirstList: boolean): void {
    const {id} = endpoint;
    const known = links.get(id);
    leaving.note(endpoint);
    const isSame =
      known?.listed.startedAt === endpoint.startedAt &&
      known.listed.host === endpoint.host &&
      known.listed.port === endpoint.port;
    if (known?.listed.saysPrimary !== endpoint.saysPrimary || !isSame) {
      primary.noteListedRole(id);
    }
    if (known && isSame) {
      if (known.listed.leaving !== endpoint.leaving) logListed(endpoint);
      known.listed = endpoint;
      return;
    }
    known?.dispose();
    logListed(endpoint);
    const onIdle = waiting.serve;
    const link = endpointLink(endpoint, {...context, onIdle});
    if (!isFirstList) pace.noteStart(link, known);
    links.set(id, link);
    replan(link);
  }

  function logListed(endpoint: ListedEndpoint): void {
    log.info({event: 'endpointListed', ...endpoint});
  }

  return group;
}
