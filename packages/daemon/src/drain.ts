/**
 * Graceful shutdown. Callers with no request in flight get a shutdown error at
 * once, the others after their requests are answered. Open transactions may
 * continue for a limited time.
 */
import type {Clock} from '@quetzalreel/common';

/** Time limits of a graceful shutdown, in milliseconds from its start. */
export interface DrainTimes {
  /** After this time open transactions are ended. */
  readonly transactionLimitMs: number;
  /**
   * After this time the shutdown ends, even if requests are still in flight.
   */
  readonly totalLimitMs: number;
  /** Interval between two checks of the callers. */
  readonly checkIntervalMs: number;
}

/** A caller's connection during a graceful shutdown. */
export interface DrainableCaller {
  /** Number of requests received and not answered yet. */
  readonly pending: number;
  readonly inTransaction: boolean;
  /** Sends the error admin_shutdown and closes the connection. */
  sendShutdown(): void;
}

/** Result of a graceful shutdown. */
export interface DrainReport {
  /** Callers whose connection was closed, by either side. */
  readonly gone: number;
  /** Open transactions that were ended at `transactionLimitMs`. */
  readonly transactionsEnded: number;
  /** Requests still unanswered at `totalLimitMs`. */
  readonly requestsCut: number;
}

/**
 * Disconnects the callers; resolves when all are closed or at `totalLimitMs`.
 */
export async function drainCallers(
  callers: ReadonlySet<DrainableCaller>,
  clock: Clock,
  times: DrainTimes,
): Promise<DrainReport> {
  const startedAt = clock.now();
  const initialCount = callers.size;
  const shutdownSent = new Set<DrainableCaller>();
  let transactionsEnded = 0;
  for (;;) {
    const elapsedMs = clock.now() - startedAt;
    for (const caller of callers) {
      if (shutdownSent.has(caller) || caller.pending > 0) continue;
      if (caller.inTransaction) {
        if (elapsedMs < times.transactionLimitMs) continue;
        transactionsEnded++;
      }
      shutdownSent.add(caller);
      caller.sendShutdown();
    }
    if (callers.size === 0 || elapsedMs >= times.totalLimitMs) break;
    await clock.sleep(times.checkIntervalMs);
  }
  let requestsCut = 0;
  for (const {pending} of callers) requestsCut += pending;
  const gone = initialCount - callers.size;
  return {gone, transactionsEnded, requestsCut};
}
