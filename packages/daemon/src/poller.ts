/** Asks one endpoint for its status, again and again. */
import type {Clock, Disposable} from '@quetzalreel/common';
import {
  type EndpointControl,
  EndpointDownError,
  type EndpointStatus,
} from '@quetzalreel/endpoint';
import type {Position} from '@quetzalreel/position';

/** Times of polling, in milliseconds. */
export interface PollTimes {
  /** Between two questions when nothing waits for the answer. */
  readonly idleIntervalMs: number;
  /** Longest time that the endpoint holds a question until it moves on. */
  readonly longPollMs: number;
  /** Between two questions while the endpoint fails. */
  readonly failureRetryMs: number;
}

/** Where a poller's findings go. */
export interface PollListener {
  onStatus(status: EndpointStatus, askedAt: number): void;
  onFailure(reach: 'silent' | 'down', askedAt: number): void;
  /** Whether a request waits for this endpoint to move on. */
  isPositionAwaited(): boolean;
}

/** A running poller. */
export interface Poller extends Disposable {
  /** Asks again at once, or right after the question under way. */
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
    const past = listener.isPositionAwaited() && !pollAgain ? last : undefined;
    pollAgain = false;
    try {
      const status = await control.status(past, times.longPollMs);
      last = status.last;
      if (!stopped) listener.onStatus(status, askedAt);
      return true;
    } catch (err) {
      const silent = err instanceof EndpointDownError && err.timedOut;
      if (!stopped) listener.onFailure(silent ? 'silent' : 'down', askedAt);
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
