/**
 * Control requests that wait for a connection to one endpoint: they ask for its
 * status or change its role, and get a free connection before statements do.
 */
import type {Clock} from '@quetzalreel/common';
import type {ConnectionUse} from './connection-use.js';
import type {PooledConnection} from './pooled-connection.js';

/** The control requests that wait. */
export interface ControlWaiters {
  /** Waits for a connection; resolves to undefined after `forMs` without one. */
  wait(
    use: ConnectionUse,
    forMs: number,
  ): Promise<PooledConnection | undefined>;
  /**
   * Gives a connection to the first request that it serves; returns whether there
   * was one.
   */
  offer(
    pooled: PooledConnection,
    serves: (use: ConnectionUse) => boolean,
  ): boolean;
}

interface Waiter {
  readonly use: ConnectionUse;
  take(pooled: PooledConnection): void;
}

/** Starts without requests. */
export function controlWaiters(clock: Clock): ControlWaiters {
  const waiting: Waiter[] = [];
  return {
    wait: (use, forMs) =>
      new Promise(resolve => {
        const waiter: Waiter = {
          use,
          take(pooled) {
            timer.dispose();
            resolve(pooled);
          },
        };
        const timer = clock.after(forMs, () => {
          waiting.splice(waiting.indexOf(waiter), 1);
          resolve(undefined);
        });
        waiting.push(waiter);
      }),
    offer(pooled, serves) {
      const at = waiting.findIndex(({use}) => serves(use));
      if (at < 0) return false;
      waiting.splice(at, 1)[0]!.take(pooled);
      return true;
    },
  };
}
