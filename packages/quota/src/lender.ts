/** Grants the tokens of the accounts of which this instance is a lender. */
import {type RateLimit, TOKEN_MS} from './limits.js';
import {
  LenderRole,
  MAX_RETRY_MS,
  type SettledGrant,
  type TokenRequest,
} from './messages.js';
import type {AccountRole} from './roles.js';
import {type TokenBucket, tokenBucket} from './token-bucket.js';

/**
 * How long a grant counts as outstanding unless it is settled, in milliseconds:
 * the report of unspent tokens follows their end.
 */
const HOLD_MS = TOKEN_MS + 300;
/**
 * Longest time that a borrower is sent away for while others ask as well, in
 * milliseconds. Tokens for a longer time might exceed the burst and be lost.
 */
const CROWD_RETRY_MS = 100;
const MS_PER_SECOND = 1000;

/** What a borrower asks for; `borrower` is its address. */
export type Loan = Pick<TokenRequest, 'seq' | 'count' | 'settled'> & {
  readonly borrower: string;
};

/** The answer to a borrower. */
export interface LoanAnswer {
  readonly count: number;
  /** Time until there are tokens again; 0 if all were granted. */
  readonly retryMs: number;
  readonly role: LenderRole;
}

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
  stateOf(account: string, now: number): LenderState;
}

interface Loans {
  readonly kind: AccountRole['kind'];
  readonly bucket: TokenBucket;
  share: RateLimit;
  /** When each borrower was last refused. */
  readonly refusedAt: Map<string, number>;
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
    const each = (refusedAt.size * MS_PER_SECOND) / share.ratePerSecond;
    const crowd = Math.min(CROWD_RETRY_MS, each);
    return Math.min(MAX_RETRY_MS, Math.max(1, one, crowd));
  }

  return {
    setRole(account, {kind, share, waitsFor}, now) {
      pending.delete(account);
      if (!share || waitsFor.length > 0) {
        active.delete(account);
        if (share) pending.add(account);
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
      const bucket = tokenBucket(share, now + TOKEN_MS, HOLD_MS);
      active.set(account, {kind, bucket, share, refusedAt: new Map()});
    },
    keepOnly(accounts) {
      for (const account of active.keys())
        if (!accounts.has(account)) active.delete(account);
      for (const account of pending)
        if (!accounts.has(account)) pending.delete(account);
    },
    lend(account, {borrower, seq, count: wanted, settled}, now) {
      const loans = active.get(account);
      if (!loans) {
        const role = pending.has(account)
          ? LenderRole.Pending
          : LenderRole.None;
        return {count: 0, retryMs: 0, role};
      }
      const {bucket} = loans;
      const nameOf = (grant: Pick<SettledGrant, 'seq'>) =>
        `${borrower} ${grant.seq}`;
      for (const grant of settled)
        bucket.settle(nameOf(grant), grant.unused, now);
      const count = bucket.take(nameOf({seq}), wanted, now);
      const role = LenderRole.Active;
      if (count === wanted) return {count, retryMs: 0, role};
      return {count, retryMs: retryMs(loans, borrower, now), role};
    },
    stateOf(account, now) {
      const bucket = active.get(account)?.bucket;
      const level = bucket?.level(now) ?? 0;
      return {level, outstanding: bucket?.outstanding(now) ?? 0};
    },
  };
}
