/**
 * Pure functions that decide how a request in a transaction is handled, and
 * which error the caller gets after the proxy has rolled the transaction back.
 */
import {StatementClass} from '@quetzalreel/statement';
import {SqlState} from '@quetzalreel/wire';

/** Phase of a transaction. */
export const Phase = {
  /** Open on its connection. */
  Running: 'running',
  /**
   * Rolled back by the proxy; the caller has not sent COMMIT or ROLLBACK yet.
   */
  Aborted: 'aborted',
  /** Ended for the caller as well. */
  Ended: 'ended',
} as const;

/** One of the values of `Phase`. */
export type Phase = (typeof Phase)[keyof typeof Phase];

/** How a request in a transaction is handled. */
export type RequestAction =
  /** Send it on the connection of the transaction. */
  | 'send'
  /** Refuse it; the transaction keeps the status "failed". */
  | 'refuse'
  /** Refuse it and end the transaction. */
  | 'refuseAndEnd'
  /** Answer that the transaction is rolled back. */
  | 'confirmRollback';

/** Outcome of a transaction when a request in it got no answer. */
export type OutcomeWithoutAnswer =
  /** The transaction is rolled back. */
  | 'rolledBack'
  /** The transaction is rolled back, as the caller requested. */
  | 'rolledBackAsRequested'
  /** The transaction may have been committed. */
  | 'unknown';

/** How a request of `statementClass` is handled in `phase`. */
export function actionFor(
  phase: Phase,
  statementClass: StatementClass,
): RequestAction {
  if (phase === Phase.Running) return 'send';
  if (statementClass === StatementClass.Rollback) return 'confirmRollback';
  if (statementClass === StatementClass.Commit) return 'refuseAndEnd';
  return 'refuse';
}

const COMMIT_KEYWORD = /\b(commit|end)\b/i;

/**
 * The outcome of the transaction when a request in it got no answer. Only a
 * request that contains COMMIT may have changed anything; `sent` is false when
 * no byte was sent.
 */
export function outcomeWithoutAnswer(
  statementClass: StatementClass,
  text: string,
  sent: boolean,
): OutcomeWithoutAnswer {
  if (statementClass === StatementClass.Rollback)
    return 'rolledBackAsRequested';
  if (!sent) return 'rolledBack';
  if (statementClass === StatementClass.Commit) return 'unknown';
  return COMMIT_KEYWORD.test(text) ? 'unknown' : 'rolledBack';
}

/** SQLSTATE and message for each reason to roll a transaction back. */
export const ABORT_REASONS = {
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

/** Why the proxy rolled a transaction back. */
export type AbortReason = (typeof ABORT_REASONS)[keyof typeof ABORT_REASONS];
