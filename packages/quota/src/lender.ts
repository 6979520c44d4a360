/** Grants the tokens of the accounts of which this instance is a lender. */
import {ANSWER_MS, type RateLimit, TOKEN_MS} from './limits.js';
import {
  LenderRole,
  MAX_RETRY_MS,
  type SettledGrant,
  type TokenAnswer,
  type TokenRequest,
} from './messages.js';
import type {AccountRole} from './roles.js';
import {type TokenBucket, tokenBucket} from './token-bucket.js';

/**
 * How long tokens in advance count as outstanding unless their grant is settled,
 * in milliseconds: the report of unspent tokens follows their end.
 */
const AHEAD_HOLD_MS = TOKEN_MS + 300;
/**
 * Longest time that a borrower is sent away for while others ask as well, in
 * milliseconds. Tokens for a longer time might exceed the burst and be lost.
 */
const CROWD_RETRY_MS = 100;
const MS_PER_SECOND = 1000;

/** What a borrower asks for. */
export type Loan = Pick<TokenRequest, 'seq' | 'count' | 'ahead' | 'settled'> & {
  /** Its address. */
  readonly borrower: string;
};

/** The answer to a borrower. */
export type LoanAnswer = Pick<
  TokenAnswer,
  'count' | 'retryMs' | 'lowMs' | 'role'
>;

/** What a lender holds of an account. */
export interface LenderState {
  readonly level: number;
  readonly outstanding: number;
}

/** The lender of all accounts; times are monotonic milliseconds. */
export interface Lender {
  /** Sets the role for an account; a new role starts with an empty bucket. */
  setRole(account: string, role: AccountRole, now: number): void;
  /** Ends the roles for accounts that are not in `accounts`. */
  keepOnly(accounts: ReadonlyMap<string, unknown>): void;
  lend(account: string, loan: Loan, now: number): LoanAnswer;
  /** Notes grants that a borrower has settled. */
  settle(
    account: string,
    borrower: string,
    settled: readonly SettledGrant[],
    now: number,
  ): void;
  /** Takes a token for an operation of this instance, which starts at once. */
  spend(account: string, now: number): LoanAnswer;
  stateOf(account: string, now: number): LenderState;
}

interface Loans {
  readonly kind: AccountRole['kind'];
  readonly bucket: TokenBucket;
  share: RateLimit;
  /** When each borrower was last refused. */
  readonly refusedAt: Map<string, number>;
}

function grantName(borrower: string, seq: number): string {
  return `${borrower} ${seq}`;
}

/** Creates a lender without a role. */
export function lender(): Lender {
  const active = new Map<string, Loans>();
  const pending = new Set<string>();

  function retryMs(loans: Loans, borrower: string, now: number): number {
    const {refusedAt, share, bucket} = loans;
    refusedAt.set(borrower, now);
    for (const [name, at] of refusedAt) {
      if (now - at > CROWD_RETRY_MS) refusedAt.delete(name);
    }
    const one = bucket.msUntil(1, now);
    const others = refusedAt.size - 1;
    const othersMs = (others * MS_PER_SECOND) / share.ratePerSecond;
    const crowdMs = others > 0 ? Math.min(CROWD_RETRY_MS, othersMs) : 0;
    return Math.min(MAX_RETRY_MS, Math.max(1, one, crowdMs));
  }

  function notActive(account: string): LoanAnswer {
    const role = pending.has(account) ? LenderRole.Pending : LenderRole.None;
    return {count: 0, retryMs: 0, lowMs: 0, role};
  }

  function settle(
    account: string,
    borrower: string,
    settled: readonly SettledGrant[],
    now: number,
  ): void {
    const bucket = active.get(account)?.bucket;
    for (const {seq, unused} of settled)
      bucket?.settle(grantName(borrower, seq), unused, now);
  }

  function answer(
    loans: Loans,
    borrower: string,
    count: number,
    isShort: boolean,
    now: number,
  ): LoanAnswer {
    const {bucket, share} = loans;
    return {
      count,
      retryMs: isShort ? retryMs(loans, borrower, now) : 0,
      lowMs: Math.min(MAX_RETRY_MS, bucket.msUntil(share.burst / 2, now)),
      role: LenderRole.Active,
    };
  }

  return {
    setRole(account, {kind, share, waitsFor}, now) {
      pending.delete(account);
      const isPending = kind === 'owner' && waitsFor.length > 0;
      if (!share || isPending) {
        active.delete(account);
        if (kind !== 'none') pending.add(account);
        return;
      }
      const loans = active.get(account);
      if (loans?.kind === kind) {
        loans.share = share;
        loans.bucket.setLimit(share, now);
        return;
      }
      // Tokens of the previous lender, or of an earlier life of this instance,
      // may be spent for that long.
      const bucket = tokenBucket(share, now + TOKEN_MS);
      active.set(account, {kind, bucket, share, refusedAt: new Map()});
    },
    keepOnly(accounts) {
      for (const account of active.keys())
        if (!accounts.has(account)) active.delete(account);
      for (const account of pending)
        if (!accounts.has(account)) pending.delete(account);
    },
    lend(account, {borrower, seq, count: wanted, ahead, settled}, now) {
      const loans = active.get(account);
      if (!loans) return notActive(account);
      const {bucket} = loans;
      settle(account, borrower, settled, now);
      const waiting = wanted - ahead;
      const atOnce = bucket.take(waiting, now);
      const spare = Math.floor(bucket.level(now) / 2);
      const inAdvance = bucket.take(Math.min(ahead, spare), now);
      const name = grantName(borrower, seq);
      bucket.hold(`${name} at once`, atOnce, ANSWER_MS, now);
      bucket.hold(name, inAdvance, AHEAD_HOLD_MS, now);
      const isShort = atOnce < waiting;
      return answer(loans, borrower, atOnce + inAdvance, isShort, now);
    },
    settle,
    spend(account, now) {
      const loans = active.get(account);
      if (!loans) return notActive(account);
      const count = loans.bucket.take(1, now);
      return answer(loans, '', count, count === 0, now);
    },
    stateOf(account, now) {
      const bucket = active.get(account)?.bucket;
      const level = bucket?.level(now) ?? 0;
      return {level, outstanding: bucket?.outstanding(now) ?? 0};
    },
  };
}
