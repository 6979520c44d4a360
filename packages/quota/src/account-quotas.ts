/** The quotas of an instance: ties lender and borrowers to a clock and peers. */
import {randomInt} from 'node:crypto';
import type {Disposable} from '@quetzalreel/common';
import {type Borrower, borrower} from './borrower.js';
import {TAKEOVER_MS, quotaFleet} from './fleet.js';
import type {BorrowerTime, SentRequest} from './held-tokens.js';
import {
  Avoidance,
  type Avoided,
  type NextLender,
  SILENT_MS,
  nearestFirst,
  nextLender,
} from './lender-choice.js';
import {type LoanAnswer, lender} from './lender.js';
import {ANSWER_MS, type RateLimit, TOKEN_MS, ownerCount} from './limits.js';
import {
  LenderRole,
  MAX_LISTED,
  type QuotaMessage,
  type TokenAnswer,
  type TokenRequest,
} from './messages.js';
import type {QuotaInstance} from './owners.js';
import type {
  AccountQuotaState,
  AccountQuotas,
  Admission,
  QuotaContext,
} from './quota-types.js';
import {type AccountRole, accountRoles} from './roles.js';

/** Interval of the periodic work, in milliseconds. */
const TICK_MS = 1000;
/** Changes of the instances within this time are evaluated together. */
const REFRESH_MS = 20;
/** Time after which to retry before limits and instances are known. */
const UNKNOWN_RETRY_MS = 200;
/** Sequence numbers start at random, as those of an earlier life may be known. */
const MAX_FIRST_SEQ = 2 ** 32;

const ADMITTED: Admission = {type: 'admitted'};
const NOT_LISTED: LoanAnswer = {
  count: 0,
  retryMs: 0,
  lowMs: 0,
  role: LenderRole.Pending,
};
const STOPPED: Admission = {
  type: 'refused',
  retryMs: UNKNOWN_RETRY_MS,
  why: 'this instance stops',
};

function isLower(limit: RateLimit, before: RateLimit | undefined): boolean {
  if (!before) return false;
  const {ratePerSecond, burst} = limit;
  return ratePerSecond < before.ratePerSecond || burst < before.burst;
}

/** Starts the quotas of an instance. */
export function accountQuotas(context: QuotaContext): AccountQuotas {
  const {clock, rule, self} = context;
  const startedAt = clock.now();
  const fleet = quotaFleet({
    self,
    now: startedAt,
    mayOwnAtOnce: context.mayOwnAtOnce,
    renewedMs: context.renewedMs ?? (() => Infinity),
  });
  const roles = accountRoles(fleet, rule, self);
  const lending = lender();
  const borrowers = new Map<string, Borrower>();
  const sent = new Map<number, SentRequest & {readonly account: string}>();
  const timeouts = new Map<number, Disposable>();
  const silentUntil = new Map<string, number>();
  const known = new Map<string, AccountRole>();
  let limits: ReadonlyMap<string, RateLimit> = new Map();
  let rolesVersion = -1;
  let lastSeq = randomInt(MAX_FIRST_SEQ);
  let refreshTimer: Disposable | undefined;
  let wasListed = true;

  function timeNow(): BorrowerTime {
    return {now: clock.now(), suspensions: context.suspensions()};
  }

  // Roles

  function refreshRoles(): void {
    refreshTimer?.dispose();
    refreshTimer = undefined;
    if (!fleet.isKnown) return;
    const now = clock.now();
    rolesVersion = fleet.version;
    known.clear();
    const counts = {owned: 0, pending: 0, backup: 0};
    for (const [account, limit] of limits) {
      const role = roles.roleOf(account, limit);
      known.set(account, role);
      lending.setRole(account, role, now);
      if (role.kind === 'backup') counts.backup++;
      else if (role.waitsFor.length > 0) counts.pending++;
      else if (role.kind === 'owner') counts.owned++;
    }
    lending.keepOnly(limits);
    context.onEvent({event: 'quotaRoles', ...counts});
  }

  function refreshSoon(): void {
    refreshTimer ??= clock.after(REFRESH_MS, refreshRoles);
  }

  /** The role for an account; undefined before the instances are known. */
  function roleOf(account: string): AccountRole | undefined {
    if (rolesVersion !== fleet.version) refreshRoles();
    return known.get(account);
  }

  // Lender

  /** Whether enough instances list this one; logs changes. */
  function mayGrant(): boolean {
    const isListed = fleet.mayGrant(clock.now());
    if (isListed !== wasListed) {
      wasListed = isListed;
      const event = isListed ? 'quotaGrantsResumed' : 'quotaGrantsSuspended';
      context.onEvent({event});
    }
    return isListed;
  }

  function lend({account, from, ...request}: TokenRequest): LoanAnswer {
    roleOf(account);
    if (!mayGrant()) return NOT_LISTED;
    const loan = {...request, borrower: from};
    return lending.lend(account, loan, clock.now());
  }

  /** Takes a token for an operation from the own bucket. */
  function spendOwn(account: string, to: Borrower): boolean {
    const now = clock.now();
    const answer = mayGrant() ? lending.spend(account, now) : NOT_LISTED;
    to.noteAnswer(self().address, answer, now);
    return answer.count > 0;
  }

  // Borrower

  function borrowerOf(account: string): Borrower {
    const found = borrowers.get(account);
    if (found) return found;
    const created = borrower();
    borrowers.set(account, created);
    return created;
  }

  function avoidedBy(to: Borrower, {address}: QuotaInstance) {
    const until = silentUntil.get(address);
    if (until !== undefined && until > clock.now())
      return {until, why: Avoidance.Silent} satisfies Avoided;
    return to.avoided(address);
  }

  function nextFor(account: string, to: Borrower): NextLender {
    const role = roleOf(account);
    if (!role) {
      const retryMs = UNKNOWN_RETRY_MS;
      return {type: 'refuse', retryMs, lender: undefined, why: undefined};
    }
    const owners = nearestFirst(role.owners, self());
    const lenders = {owners, backup: role.backup};
    return nextLender(lenders, item => avoidedBy(to, item), clock.now());
  }

  function refusal(
    account: string,
    to: Borrower,
    next: Extract<NextLender, {type: 'refuse'}>,
  ): Admission {
    const limit = limits.get(account);
    to.lastRefusedBy = next.lender?.instance;
    const lender = next.lender
      ? `${next.lender.instance} ${next.why}`
      : 'no instance grants operations yet';
    const why =
      `account ${account} is limited to ${limit?.ratePerSecond} operations ` +
      `a second with a burst of ${limit?.burst}: ${lender}`;
    return {type: 'refused', retryMs: next.retryMs, why};
  }

  function ask(account: string, to: Borrower, lender: QuotaInstance): void {
    const time = timeNow();
    const request = {
      account,
      lender: lender.address,
      seq: ++lastSeq,
      ...to.wanted(time.now),
      sentAt: time.now,
      suspensions: time.suspensions,
    };
    const settled = to.tokens.takeSettled(lender.address, time);
    to.tokens.noteSent(request);
    to.asking = request;
    sent.set(request.seq, request);
    const timeout = clock.after(ANSWER_MS, () => noteSilent(request));
    timeouts.set(request.seq, timeout);
    const {seq, count, ahead} = request;
    context.send(lender.address, {
      type: 'tokensWanted',
      from: self().address,
      seq,
      account,
      count,
      ahead,
      settled,
    });
    reportSettled(account, to);
  }

  /** Tells lenders that are low what they may lend again. */
  function reportSettled(account: string, to: Borrower): void {
    const time = timeNow();
    for (const address of to.tokens.reportedLenders(time)) {
      if (!to.avoided(address)) continue;
      const settled = to.tokens.takeSettled(address, time);
      const from = self().address;
      const seq = ++lastSeq;
      const type = 'tokensSettled';
      context.send(address, {type, from, seq, account, settled});
    }
  }

  function noteSilent(request: SentRequest & {account: string}): void {
    timeouts.delete(request.seq);
    const to = borrowers.get(request.account);
    if (to?.asking?.seq !== request.seq) return;
    to.asking = undefined;
    silentUntil.set(request.lender, clock.now() + SILENT_MS);
    context.onEvent({event: 'quotaLenderSilent', address: request.lender});
    serve(request.account, to);
  }

  /** Admits, asks for or refuses the waiting operations. */
  function serve(account: string, to: Borrower): void {
    for (;;) {
      to.admitWaiting(timeNow());
      if (to.waiting === 0 || to.asking) return;
      if (!limits.has(account)) {
        to.endWaiting(ADMITTED);
        return;
      }
      const next = nextFor(account, to);
      if (next.type === 'refuse') {
        to.endWaiting(refusal(account, to, next));
        return;
      }
      if (next.lender.instance !== self().instance) {
        ask(account, to, next.lender);
        return;
      }
      if (spendOwn(account, to)) to.admitOne();
    }
  }

  function receiveTokens(message: TokenAnswer): void {
    const request = sent.get(message.seq);
    if (!request || request.lender !== message.from) return;
    sent.delete(message.seq);
    timeouts.get(message.seq)?.dispose();
    timeouts.delete(message.seq);
    silentUntil.delete(message.from);
    const {account} = request;
    const to = borrowerOf(account);
    const time = timeNow();
    to.tokens.noteGranted(message.seq, message.count, time);
    to.noteAnswer(request.lender, message, time.now);
    if (to.asking?.seq === request.seq) to.asking = undefined;
    serve(account, to);
  }

  function admitted(to: Borrower): Admission {
    to.admitted++;
    return ADMITTED;
  }

  // Peers

  function announce(peers: readonly QuotaInstance[]): void {
    const from = self().address;
    for (const {instance, address} of peers) {
      if (fleet.isConfirmed(instance) || instance === self().instance) continue;
      const seq = ++lastSeq;
      const {digest} = fleet;
      const message = {
        type: 'joined' as const,
        from,
        seq,
        instance: self(),
        digest,
      };
      context.send(address, message);
    }
  }

  function receiveJoined(
    message: Extract<QuotaMessage, {type: 'joined'}>,
  ): void {
    const {from, seq, instance} = message;
    fleet.noteJoined([instance], clock.now());
    if (rolesVersion !== fleet.version) refreshRoles();
    const isSame = message.digest === fleet.digest;
    const listOf = (instances: readonly QuotaInstance[]) =>
      isSame
        ? []
        : instances
            .filter(item => item.instance !== instance.instance)
            .slice(-MAX_LISTED);
    context.send(from, {
      type: 'joinedNoted',
      from: self().address,
      seq,
      instance: self().instance,
      joined: listOf(fleet.joined),
      vanished: listOf(fleet.vanished),
    });
  }

  function receiveJoinedNoted(
    message: Extract<QuotaMessage, {type: 'joinedNoted'}>,
  ): void {
    const names = new Set(fleet.listed.map(({instance}) => instance));
    const added = message.joined.filter(({instance}) => !names.has(instance));
    if (added.length > 0) {
      fleet.noteJoined(added, clock.now());
      announce(added);
    }
    fleet.noteVanished(message.vanished, clock.now());
    fleet.noteConfirmed(message.instance);
    if (rolesVersion !== fleet.version) refreshSoon();
  }

  function forgetOldRequests(now: number): void {
    for (const [seq, {sentAt}] of sent) {
      if (now - sentAt >= TOKEN_MS) sent.delete(seq);
    }
    for (const [address, until] of silentUntil) {
      if (until <= now) silentUntil.delete(address);
    }
  }

  function tick(): void {
    const now = clock.now();
    fleet.advance(now);
    if (rolesVersion !== fleet.version) refreshRoles();
    const from = self().address;
    for (const {address} of fleet.peersToAsk(now))
      context.send(address, {type: 'listedWanted', from, seq: ++lastSeq});
    if (now - startedAt < TAKEOVER_MS) announce(fleet.listed);
    forgetOldRequests(now);
    timer = clock.after(TICK_MS, tick);
  }
  let timer = clock.after(TICK_MS, tick);

  function stateOf(account: string, limit: RateLimit): AccountQuotaState {
    const role = roleOf(account);
    const to = borrowers.get(account);
    const {level, outstanding} = lending.stateOf(account, clock.now());
    const waitsFor = role?.waitsFor ?? [];
    return {
      account,
      limit,
      ownerCount: ownerCount(limit),
      owners: (role?.owners ?? []).map(({instance}) => instance),
      backup: role?.backup?.instance,
      role: role?.kind ?? 'none',
      pending:
        waitsFor.length > 0 ? `waits for ${waitsFor.join(', ')}` : undefined,
      level,
      outstanding,
      held: to?.tokens.count(timeNow()) ?? 0,
      waiting: to?.waiting ?? 0,
      admitted: to?.admitted ?? 0,
      refused: to?.refused ?? 0,
      lastRefusedBy: to?.lastRefusedBy,
    };
  }

  return {
    admit(account) {
      if (!limits.has(account)) return ADMITTED;
      const to = borrowerOf(account);
      const time = timeNow();
      to.demand.note(time.now);
      while (to.waiting === 0) {
        if (to.tokens.spend(time)) return admitted(to);
        const next = nextFor(account, to);
        if (next.type === 'refuse' && !to.asking) {
          to.refused++;
          return refusal(account, to, next);
        }
        const isOwn =
          next.type === 'ask' && next.lender.instance === self().instance;
        if (!isOwn) break;
        if (spendOwn(account, to)) return admitted(to);
      }
      const admission = to.wait();
      serve(account, to);
      return admission;
    },
    setLimits(next) {
      for (const [account, to] of borrowers) {
        const limit = next.get(account);
        if (!limit) {
          to.endWaiting(ADMITTED);
          borrowers.delete(account);
        } else if (isLower(limit, limits.get(account))) {
          to.tokens.discard(timeNow());
        }
      }
      limits = next;
      refreshRoles();
    },
    setInstances(others) {
      fleet.setOthers(others, clock.now());
      if (clock.now() - startedAt < TAKEOVER_MS) announce(others);
      refreshRoles();
    },
    receive(message) {
      const {type, from, seq} = message;
      const own = self().address;
      switch (type) {
        case 'tokensWanted': {
          // The sender lists this instance as a lender.
          fleet.noteListedBy(from, clock.now());
          const answer = lend(message);
          context.send(from, {type: 'tokens', from: own, seq, ...answer});
          return;
        }
        case 'tokensSettled': {
          const {account, settled} = message;
          lending.settle(account, from, settled, clock.now());
          return;
        }
        case 'tokens':
          receiveTokens(message);
          return;
        case 'joined':
          receiveJoined(message);
          return;
        case 'joinedNoted':
          receiveJoinedNoted(message);
          return;
        case 'left':
          fleet.noteLeft(message.instance, clock.now());
          refreshRoles();
          return;
        case 'listedWanted':
          if (fleet.hasAddress(from))
            context.send(from, {type: 'listed', from: own, seq});
          return;
        case 'listed':
          fleet.noteListedBy(from, clock.now());
          return;
      }
    },
    leave() {
      const from = self().address;
      const peers = fleet.listed.filter(
        ({instance}) => instance !== self().instance,
      );
      fleet.leave(clock.now());
      refreshRoles();
      const {instance} = self();
      for (const {address} of peers)
        context.send(address, {type: 'left', from, seq: ++lastSeq, instance});
    },
    get state() {
      return [...limits].map(([account, limit]) => stateOf(account, limit));
    },
    dispose() {
      timer.dispose();
      refreshTimer?.dispose();
      for (const timeout of timeouts.values()) timeout.dispose();
      for (const to of borrowers.values()) to.endWaiting(STOPPED);
    },
  };
}
