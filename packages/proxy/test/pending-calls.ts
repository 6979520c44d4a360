/** The open calls of a simulated connection, which are lost when it ends. */

/** Rejects one call. */
export type RejectCall = (err: Error) => void;

/** The open calls of one connection. */
export interface PendingCalls {
  readonly isOpen: boolean;
  /** Calls `callback` once when the connection has ended. */
  onClose(callback: () => void): void;
  add(call: RejectCall): void;
  remove(call: RejectCall): void;
  /** Ends the connection; returns false if it had ended already. */
  end(err: Error): boolean;
}

/** Creates the calls of an open connection. */
export function pendingCalls(): PendingCalls {
  const calls = new Set<RejectCall>();
  const callbacks: Array<() => void> = [];
  let isOpen = true;
  return {
    get isOpen() {
      return isOpen;
    },
    onClose(callback) {
      if (isOpen) callbacks.push(callback);
      else callback();
    },
    add: call => void calls.add(call),
    remove: call => void calls.delete(call),
    end(err) {
      if (!isOpen) return false;
      isOpen = false;
      for (const call of calls) call(err);
      for (const callback of callbacks.splice(0)) callback();
      return true;
    },
  };
}
