/**
 * The planned stop: callers without a request are told that the instance
 * stops, requests under way are answered first, and open transactions have
 * until a bound.
 */
import type {Clock} from '@quetzalreel/common';

/** Bounds of a planned stop, in milliseconds from its start. */
export interface DrainTimes {
  /** Until then open transactions may go on. */
  readonly transactionMs: number;
  /** Until then requests may go on; then everything is closed. */
  readonly totalMs: number;
  /** Between two looks at the callers. */
  readonly stepMs: number;
}

/** A caller as the planned stop sees it. */
export interface DrainableCaller {
  /** Requests that were received and are not answered. */
  readonly pending: number;
  readonly inTransaction: boolean;
  /** Tells it admin_shutdown and closes its connection after that. */
  dismiss(): void;
}

/** What a planned stop did. */
export interface DrainReport {
  /** Callers that have gone, told or by themselves. */
  readonly gone: number;
  /** Open transactions that were ended at their bound. */
  readonly transactionsEnded: number;
  /** Requests that were cut at the last bound. */
  readonly requestsCut: number;
}

/** Dismisses the callers; resolves when all are gone or at the last bound. */
export async function drainCallers(
  callers: ReadonlySet<DrainableCaller>,
  clock: Clock,
  times: DrainTimes,
): Promise<DrainReport> {
  const startedAt = clock.now();
  const atStart = callers.size;
  const dismissed = new Set<DrainableCaller>();
  let transactionsEnded = 0;
  for (;;) {
    const elapsedMs = clock.now() - startedAt;
    for (const caller of callers) {
      if (dismissed.has(caller) || caller.pending > 0) continue;
      if (caller.inTransaction) {
        if (elapsedMs < times.transactionMs) continue;
        transactionsEnded++;
      }
      dismissed.add(caller);
      caller.dismiss();
    }
    if (callers.size === 0 || elapsedMs >= times.totalMs) break;
    await clock.sleep(times.stepMs);
  }
  let requestsCut = 0;
  for (const {pending} of callers) requestsCut += pending;
  const gone = atStart - callers.size;
  return {gone, transactionsEnded, requestsCut};
}
