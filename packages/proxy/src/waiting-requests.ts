/**
 * Requests of one group that wait for a connection, until one is free, their
 * deadline passes or their caller is gone.
 */
import type {Clock, Disposable} from '@quetzalreel/common';
import {LIMITS} from './defaults.js';
import type {ConnectionLease, ConnectionRequest} from './group-types.js';
import {waitEstimates} from './wait-estimate.js';
import {waitQueue} from './wait-queue.js';

/** The result of an attempt to take a connection for a request. */
export interface AcquireAttempt {
  /** Undefined if no suitable connection is free. */
  readonly lease: ConnectionLease | undefined;
  /** Whether waiting is of no use for the request. */
  readonly isHopeless: boolean;
}

/** Dependencies of waiting requests. */
export interface WaitingContext {
  readonly clock: Clock;
  readonly tryAcquire: (req: ConnectionRequest) => AcquireAttempt;
}

/** The requests that wait. */
export interface WaitingRequests {
  readonly size: number;
  /** Resolves to undefined when no connection became free in time. */
  wait(req: ConnectionRequest): Promise<ConnectionLease | undefined>;
  /** Serves those for which a connection is free now. */
  serve(): void;
}

interface Waiter extends ConnectionRequest {
  resolve(lease: ConnectionLease | undefined): void;
  done: boolean;
  /** Ends the wait at the deadline; it refers to the lease by the waiter. */
  timer: Disposable | undefined;
}

/** Starts without waiting requests. */
export function waitingRequests({
  clock,
  tryAcquire,
}: WaitingContext): WaitingRequests {
  const queue = waitQueue<Waiter>();
  const estimates = waitEstimates(queue);

  /** Whether the requests ahead of it take longer than it has. */
  function waitsTooLong(waiter: Waiter): boolean {
    const now = clock.now();
    return now + estimates.waitMs(waiter, now) > waiter.deadline;
  }

  /** Gives up a request that has become late and can't be served any more. */
  function giveUpLate(waiter: Waiter): boolean {
    const now = clock.now();
    if (now + estimates.lateWaitMs(waiter, now) <= waiter.deadline)
      return false;
    settle(waiter, undefined);
    return true;
  }

  function settle(waiter: Waiter, lease: ConnectionLease | undefined): void {
    if (waiter.done) {
      lease?.release(true);
      return;
    }
    waiter.done = true;
    waiter.timer?.dispose();
    waiter.resolve(lease);
  }

  /** Returns whether the request waits no longer. */
  function serveOne(waiter: Waiter): boolean {
    if (waiter.hasDisconnected()) {
      settle(waiter, undefined);
      return true;
    }
    const {lease, isHopeless} = tryAcquire(waiter);
    if (!lease && !isHopeless) return false;
    if (lease) estimates.noteServed(waiter, clock.now());
    settle(waiter, lease);
    return true;
  }

  return {
    get size() {
      return queue.size;
    },
    wait: req =>
      new Promise(resolve => {
        const waiter: Waiter = {
          ...req,
          resolve,
          done: false,
          timer: undefined,
        };
        if (waitsTooLong(waiter)) {
          settle(waiter, undefined);
          return;
        }
        queue.add(waiter);
        const leftMs = Math.max(0, req.deadline - clock.now());
        waiter.timer = clock.after(leftMs, () => {
          queue.remove(waiter);
          settle(waiter, undefined);
        });
      }),
    serve() {
      if (queue.size === 0) return;
      queue.dispatch(serveOne, LIMITS.laneLookAhead, clock.now(), giveUpLate);
      estimates.review(clock.now());
    },
  };
}
