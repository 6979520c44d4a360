/** Polls the status of one endpoint. */
import type {Clock, Disposable} from '@quetzalreel/common';
import {
  type EndpointControl,
  EndpointDownError,
  type EndpointStatus,
} from '@quetzalreel/endpoint';
import type {Position} from '@quetzalreel/position';

/** Intervals of polling, in milliseconds. */
export interface PollTimes {
  /** Interval between two polls when nothing waits for the status. */
  readonly idleIntervalMs: number;
  /**
   * Longest time that the endpoint delays its answer to wait for a new
   * position.
   */
  readonly longPollMs: number;
  /** Delay before a new poll after a failed one. */
  readonly failureRetryMs: number;
}

/** Receives the results of polling. */
export interface PollListener {
  onStatus(status: EndpointStatus, askedAt: number): void;
  onFailure(reach: 'silent' | 'down', askedAt: number): void;
  /** Whether something waits for this endpoint to reach a later position. */
  isPositionAwaited(): boolean;
}

/** A running poller. */
export interface Poller extends Disposable {
  /** Polls again at once, or directly after the poll in flight. */
  wake(): void;
}

/** Starts polling. */
export function startPolling(
  control: EndpointControl,
  clock: Clock,
  times: PollTimes,
  listener: PollListener,
): Poller {
  let stopped = false;
  let pollAgain = false;
  let last: Position | undefined;
  let wakeUp: (() => void) | undefined;

  function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = clock.after(delayMs, () => wakeUp?.());
      wakeUp = () => {
        timer.dispose();
        wakeUp = undefined;
        resolve();
      };
    });
  }

  async function pollOnce(): Promise<boolean> {
    const askedAt = clock.now();
    const knownPosition =
      listener.isPositionAwaited() && !pollAgain ? last : undefined;
    pollAgain = false;
    try {
      const status = await control.status(knownPosition, times.longPollMs);
      last = status.last;
      if (!stopped) listener.onStatus(status, askedAt);
      return true;
    } catch (err) {
      const isTimeout = err instanceof EndpointDownError && err.timedOut;
      if (!stopped) listener.onFailure(isTimeout ? 'silent' : 'down', askedAt);
      return false;
    }
  }

  async function loop(): Promise<void> {
    while (!stopped) {
      const answered = await pollOnce();
      if (stopped || pollAgain) continue;
      if (!answered) await pause(times.failureRetryMs);
      else if (!listener.isPositionAwaited()) await pause(times.idleIntervalMs);
    }
  }

  void loop();
  return {
    wake() {
      pollAgain = true;
      wakeUp?.();
    },
    dispose() {
      stopped = true;
      wakeUp?.();
      control.dispose();
    },
  };
}
