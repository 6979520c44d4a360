/** Limits of accounts, and how they are divided among owners and the backup. */

/** The limit of an account over all instances. */
export interface RateLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What may be admitted in a window above `rate x window + burst`. */
export interface QuotaRule {
  readonly windowMs: number;
  /** Share of `rate x window + burst`. */
  readonly excess: number;
  /** Operations, in addition to that share. */
  readonly slack: number;
}

/**
 * How long a token that was asked for in advance may be spent, counted from when
 * it was asked for.
 */
export const TOKEN_MS = 500;
/**
 * The same for a token that was asked for a waiting operation; also the time for
 * the answer of a lender.
 */
export const ANSWER_MS = 80;

const MS_PER_SECOND = 1000;
const MAX_OWNERS = 3;
/** An owner with a smaller share of the burst would often refuse by chance. */
const MIN_OWNER_BURST = 4;

/** Shares of the permitted excess; the rest covers a change of the backup. */
const OWNERS_SHARE = 0.35;
const BACKUP_BURST_SHARE = 0.25;
const BACKUP_RATE_SHARE = 0.2;

/** Number of owners of an account, if there are enough instances. */
export function ownerCount({burst}: RateLimit): number {
  const count = Math.floor(burst / MIN_OWNER_BURST);
  return Math.min(MAX_OWNERS, Math.max(1, count));
}

/** Operations that the rule permits in a window above the limit. */
export function permittedExcess(limit: RateLimit, rule: QuotaRule): number {
  const {ratePerSecond, burst} = limit;
  const seconds = rule.windowMs / MS_PER_SECOND;
  return rule.excess * (ratePerSecond * seconds + burst) + rule.slack;
}

/** The limit of one of `owners` owners. */
export function ownerLimit(
  limit: RateLimit,
  rule: QuotaRule,
  owners: number,
): RateLimit {
  const excess = permittedExcess(limit, rule);
  return {
    ratePerSecond: limit.ratePerSecond / owners,
    burst: (limit.burst + OWNERS_SHARE * excess) / owners,
  };
}

/** The limit of the backup. */
export function backupLimit(limit: RateLimit, rule: QuotaRule): RateLimit {
  const excess = permittedExcess(limit, rule);
  const seconds = rule.windowMs / MS_PER_SECOND;
  return {
    ratePerSecond: (BACKUP_RATE_SHARE * excess) / seconds,
    burst: BACKUP_BURST_SHARE * excess,
  };
}
