/** Waits for what connections have received and the process has not read yet. */

/**
 * Calls back once all that had reached the process by now was read: the event loop
 * has polled all connections again then.
 */
export function afterPendingReads(callback: () => void): void {
  // The first one may run before the next poll, the second one runs after it.
  setImmediate(() => setImmediate(callback));
}
