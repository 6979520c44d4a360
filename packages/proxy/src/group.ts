/**
 * One group at work: its endpoints, which of them is the primary, the samples
 * of its log, and the statements that wait for a place.
 */
import {type Answer, ErrorCode} from '@quetzalreel/requests';
import {isReachable, isProbeDue} from './probe-schedule.js';
import {afterBusy, afterRun} from './concurrency.js';
import {endpointReachability} from './endpoint-reachability.js';
import {LIMITS, TIMES} from './defaults.js';
import {
  type EndpointLink,
  endpointLink,
  noteAnswerTime,
} from './endpoint-link.js';
import {confirmedPositions} from './confirmed-positions.js';
import type {
  GroupContext,
  GroupRuntime,
  ConnectionLease,
  ConnectionRequest,
} from './group-types.js';
import {primaryOf} from './leadership.js';
import {placementOf} from './link-placement.js';
import {
  ANY_ENDPOINT,
  type Need,
  PRIMARY_NEED,
  type PlacementOption,
  canServe,
  choosePlacement,
} from './placement.js';
import {probe} from './probe.js';
import type {GroupPolicy, ListedEndpoint} from './routes.js';
import {waitQueue} from './wait-queue.js';

interface Waiter extends ConnectionRequest {
  resolve(lease: ConnectionLease | undefined): void;
  done: boolean;
}

/** A group of which nothing is known yet. */
export function groupRuntime(
  policy: GroupPolicy,
  context: GroupContext,
): GroupRuntime {
  const {clock, log, dataCentre} = context;
  const links = new Map<string, EndpointLink>();
  /** When each endpoint's entry last changed what it says of its role. */
  const saidAt = new Map<string, number>();
  const line = waitQueue<Waiter>();
  const probing = new Set<string>();
  const ways = endpointReachability({
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
  let primaryId: string | undefined;
  let lastPrimary = '';
  let missingSince: number | undefined = clock.now();
  let askedHoldersAt = -Infinity;

  function findPrimary(): void {
    const evidence = [...links.values()].map(({listed, facts}) => ({
      id: listed.id,
      term: facts.position?.term ?? 0,
      saysPrimary: listed.saysPrimary,
      saidAt: saidAt.get(listed.id) ?? -Infinity,
      ledAt: facts.provenPrimaryAt,
      deniedAt: facts.provenNotPrimaryAt,
    }));
    const found = primaryOf(evidence);
    if (found === primaryId) return;
    log.info({
      event: 'primaryChanged',
      group: group.name,
      from: primaryId,
      to: found,
      evidence,
    });
    primaryId = found;
    lastPrimary = found ?? lastPrimary;
    missingSince = found ? undefined : clock.now();
    serveWaiting();
  }

  function replan(link: EndpointLink): void {
    const {id, dataCentre} = link.listed;
    const {maxConnections} = group.policy;
    link.applyPlan(context.planFor({id, dataCentre, maxConnections}));
  }

  function seen(link: EndpointLink): PlacementOption {
    const isPrimary = link.listed.id === primaryId;
    return placementOf(link, {isPrimary, dataCentre, now: clock.now()});
  }

  function lend(
    link: EndpointLink,
    settingsKey: string,
    need: Need,
  ): ConnectionLease | undefined {
    const pooled = link.acquire(settingsKey, need.directOnly);
    if (!pooled) return undefined;
    let returned = false;
    return {
      need,
      link,
      pooled,
      release(reusable) {
        if (returned) return;
        returned = true;
        link.release(pooled, reusable);
      },
    };
  }

  function tryPlace(req: ConnectionRequest): ConnectionLease | undefined {
    const places = [...links.values()].map(seen);
    const need = req.need();
    const place = choosePlacement(places, need);
    if (place) return lend(links.get(place.id)!, req.settingsKey, need);
    openFor(places, need);
    return undefined;
  }

  /** Opens a connection where one more would serve the request. */
  function openFor(places: readonly PlacementOption[], need: Need): void {
    const room = {hasCapacity: true, hasDirectCapacity: true};
    const roomy = places.map(place => ({...place, ...room}));
    const wanted = choosePlacement(roomy, need);
    if (wanted) links.get(wanted.id)!.open(need.directOnly);
  }

  /** Whether what is needed lives, but not where this instance reaches it. */
  function isOutOfReach(need: Need): boolean {
    if (!need.primaryOnly || primaryId === undefined) return false;
    const link = links.get(primaryId);
    return link !== undefined && ways.isUnreachableLocally(link);
  }

  function serveWaiting(): void {
    if (line.size === 0) return;
    line.offer(
      waiter => {
        if (waiter.hasDisconnected()) {
          settle(waiter, undefined);
          return true;
        }
        const lease = tryPlace(waiter);
        if (!lease && !isOutOfReach(waiter.need())) return false;
        settle(waiter, lease);
        return true;
      },
      LIMITS.laneLookAhead,
      clock.now(),
    );
  }

  function settle(waiter: Waiter, lease: ConnectionLease | undefined): void {
    if (waiter.done) {
      lease?.release(true);
      return;
    }
    waiter.done = true;
    waiter.resolve(lease);
  }

  function wait(req: ConnectionRequest): Promise<ConnectionLease | undefined> {
    return new Promise(resolve => {
      const waiter: Waiter = {...req, resolve, done: false};
      line.add(waiter);
      clock.after(Math.max(0, req.deadline - clock.now()), () => {
        if (waiter.done) return;
        line.remove(waiter);
        settle(waiter, undefined);
      });
    });
  }

  function needsProbe({facts, listed, plan}: EndpointLink): boolean {
    return isProbeDue({
      isHolder: plan.isHolder,
      hasPrimary: primaryId !== undefined,
      isPrimary: listed.id === primaryId,
      inFlight: facts.inFlight,
      silentMs: clock.now() - facts.lastContactAt,
      sampleAgeMs: positions.age(),
    });
  }

  /** Has a sample of the primary from those that hold connections to it. */
  function askHolders(): void {
    const link = primaryId === undefined ? undefined : links.get(primaryId);
    if (!link || link.plan.isHolder) return;
    const now = clock.now();
    if (positions.age() <= TIMES.askHolderSampleAgeMs) return;
    if (now - askedHoldersAt <= TIMES.askHolderRetryMs) return;
    askedHoldersAt = now;
    context.requestConfirmedPosition(context.name, addressesOf(link));
  }

  function addressesOf(link: EndpointLink | undefined): readonly string[] {
    return link?.plan.holders.map(({address}) => address) ?? [];
  }

  function probeEndpoint(link: EndpointLink): void {
    const {id} = link.listed;
    if (probing.has(id)) return;
    const lease = lend(link, '', ANY_ENDPOINT);
    if (!lease) {
      // A statement that waits says nothing; a new connection does.
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

  /** An endpoint that says that it is not the primary is believed. */
  function heard(link: EndpointLink, answer: Answer, sentAt: number): void {
    link.noteAnswer(answer);
    if (answer.error?.code !== ErrorCode.ReadOnly) return;
    link.facts.provenNotPrimaryAt = Math.max(
      link.facts.provenNotPrimaryAt,
      sentAt,
    );
    if (link.listed.id === primaryId) findPrimary();
  }

  const group: GroupRuntime = {
    name: context.name,
    policy,
    links,
    get primary() {
      return primaryId === undefined ? undefined : links.get(primaryId);
    },
    get lastPrimary() {
      return lastPrimary;
    },
    get missingSince() {
      return missingSince;
    },
    get isUnreachableLocally() {
      return isOutOfReach(PRIMARY_NEED);
    },
    canServe: need =>
      [...links.values()].some(link => canServe(seen(link), need)),
    async acquire(req) {
      const lease = tryPlace(req);
      if (lease || isOutOfReach(req.need())) return lease;
      return wait(req);
    },
    required: positions.required,
    noteAnswer: heard,
    noteStatementAnswer(link, answer, sentAt) {
      heard(link, answer, sentAt);
      const {facts, listed} = link;
      if (answer.error?.code === ErrorCode.Busy) {
        facts.concurrency = afterBusy(facts.concurrency);
      }
      if (answer.error) return;
      facts.concurrency = afterRun(facts.concurrency, listed.slots);
      noteAnswerTime(facts, clock.now() - sentAt);
    },
    notePrimaryAnswer(link, {position}, sentAt) {
      link.facts.provenPrimaryAt = Math.max(link.facts.provenPrimaryAt, sentAt);
      if (link.listed.id !== primaryId) findPrimary();
      if (!position || link.listed.id !== primaryId) return;
      positions.addOwn({sentAt, position});
    },
    ownConfirmed() {
      const own = positions.own();
      if (!own || primaryId === undefined) return undefined;
      return {endpoint: primaryId, ...own};
    },
    addPeerConfirmed({endpoint, position}, askedAt) {
      if (!positions.addFromPeer({sentAt: askedAt, position})) return;
      const link = links.get(endpoint);
      if (link) {
        link.facts.provenPrimaryAt = Math.max(
          link.facts.provenPrimaryAt,
          askedAt,
        );
        findPrimary();
      }
      serveWaiting();
    },
    async checkReachable(wanted, withinMs) {
      const endpoint = wanted === '' ? (primaryId ?? '') : wanted;
      const askedAt = clock.now();
      const isHeard = () => {
        const link = links.get(endpoint);
        if (!link) return false;
        const {lastContactAt: heardAt, unansweredSince: owesSince} = link.facts;
        const {isHolder} = link.plan;
        return isReachable(
          {isHolder, lastContactAt: heardAt, unansweredSince: owesSince},
          askedAt,
        );
      };
      while (!isHeard() && clock.now() - askedAt < withinMs) {
        const link = links.get(endpoint);
        // One that is reached through others is no way for them.
        if (!link || link.isRelayed) return false;
        probeEndpoint(link);
        await clock.sleep(TIMES.reachPollMs);
      }
      return isHeard() && !links.get(endpoint)?.isRelayed;
    },
    setEndpoints(endpoints) {
      const listedIds = new Set(endpoints.map(({id}) => id));
      for (const [id, link] of links) {
        if (listedIds.has(id)) continue;
        log.info({event: 'endpointGone', group: group.name, endpoint: id});
        link.dispose();
        links.delete(id);
        saidAt.delete(id);
        ways.forget(id);
      }
      for (const endpoint of endpoints) take(endpoint);
      findPrimary();
    },
    replan() {
      for (const link of links.values()) replan(link);
    },
    tick() {
      for (const link of links.values()) {
        if (link.connections < LIMITS.minConnections) link.open();
        link.closeUnused(LIMITS.minConnections);
        if (needsProbe(link)) probeEndpoint(link);
        ways.askPeersIfDue(link);
      }
      askHolders();
      serveWaiting();
    },
    dispose() {
      for (const link of links.values()) link.dispose();
    },
  };

  function take(endpoint: ListedEndpoint): void {
    const {id} = endpoint;
    const known = links.get(id);
    const isSame =
      known?.listed.startedAt === endpoint.startedAt &&
      known.listed.host === endpoint.host &&
      known.listed.port === endpoint.port;
    if (known?.listed.saysPrimary !== endpoint.saysPrimary || !isSame) {
      saidAt.set(id, clock.now());
    }
    if (known && isSame) {
      if (known.listed.leaving !== endpoint.leaving) noteListed(endpoint);
      known.listed = endpoint;
      return;
    }
    known?.dispose();
    noteListed(endpoint);
    const onIdle = () => serveWaiting();
    const link = endpointLink(endpoint, {...context, onIdle});
    links.set(id, link);
    replan(link);
  }

  function noteListed(endpoint: ListedEndpoint): void {
    log.info({event: 'endpointListed', ...endpoint});
  }

  return group;
}
