/**
 * What an open transaction allows, and what its caller is told when it can't
 * go on. Pure functions.
 */
import {StatementClass} from '@quetzalreel/statement';
import {SqlState} from '@quetzalreel/wire';

/** Where a transaction stands. */
export const Phase = {
  /** Its connection carries it. */
  Running: 'running',
  /** It was ended from this side; the caller has not ended it yet. */
  CutOff: 'cutOff',
  /** Nothing is left of it. */
  Ended: 'ended',
} as const;

/** One of the values of `Phase`. */
export type Phase = (typeof Phase)[keyof typeof Phase];

/** What to do with a request inside a transaction. */
export type Move =
  /** Send it on the transaction's connection. */
  | 'send'
  /** Refuse it; the transaction stays failed. */
  | 'refuse'
  /** Refuse it and end the transaction. */
  | 'refuseAndEnd'
  /** Say that the transaction is rolled back. */
  | 'rolledBack';

/** What an answer that did not come means. */
export type Loss =
  /** Nothing of the transaction is kept. */
  | 'rolledBack'
  /** The caller wanted that anyway. */
  | 'asWanted'
  /** The commit may have been done. */
  | 'unknown';

/** What to do with a request of `statementClass`. */
export function moveFor(phase: Phase, statementClass: StatementClass): Move {
  if (phase === Phase.Running) return 'send';
  if (statementClass === StatementClass.Rollback) return 'rolledBack';
  if (statementClass === StatementClass.Commit) return 'refuseAndEnd';
  return 'refuse';
}

const COMMIT_WORD = /\b(commit|end)\b/i;

/**
 * What it means that a request got no answer. Only a request that holds a
 * COMMIT may have kept something; `sent` is false when no byte left.
 */
export function lossOf(
  statementClass: StatementClass,
  text: string,
  sent: boolean,
): Loss {
  if (statementClass === StatementClass.Rollback) return 'asWanted';
  if (!sent) return 'rolledBack';
  if (statementClass === StatementClass.Commit) return 'unknown';
  return COMMIT_WORD.test(text) ? 'unknown' : 'rolledBack';
}

/** Codes and remedies of transactions that this side ended. */
export const CUT_OFF = {
  lost: {
    code: SqlState.TransactionRollback,
    message:
      'the transaction was rolled back: its connection was lost. Run it again from BEGIN.',
  },
  replaced: {
    code: SqlState.TransactionRollback,
    message:
      'the transaction was rolled back: its primary was replaced. Run it again from BEGIN.',
  },
  leaving: {
    code: SqlState.TransactionRollback,
    message:
      'the transaction was rolled back: its endpoint is leaving. Run it again from BEGIN.',
  },
  idle: {
    code: SqlState.IdleTransaction,
    message:
      'the transaction was rolled back: it was idle for too long. Run it again from BEGIN, without pauses.',
  },
} as const;

/** Why this side ended a transaction. */
export type CutOff = (typeof CUT_OFF)[keyof typeof CUT_OFF];
