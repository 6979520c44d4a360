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
  readonly idleMs: number;
  /** Longest time that the endpoint holds a question until it moves on. */
  readonly holdMs: number;
  /** Between two questions while the endpoint fails. */
  readonly failingMs: number;
}

/** Where a poller's findings go. */
export interface PollListener {
  answered(status: EndpointStatus, askedAt: number): void;
  failed(reach: 'silent' | 'down', askedAt: number): void;
  /** Whether a request waits for this endpoint to move on. */
  isAwaited(): boolean;
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
  let again = false;
  let last: Position | undefined;
  let rouse: (() => void) | undefined;

  function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = clock.after(delayMs, () => rouse?.());
      rouse = () => {
        timer.dispose();
        rouse = undefined;
        resolve();
      };
    });
  }

  async function askOnce(): Promise<boolean> {
    const askedAt = clock.now();
    const past = listener.isAwaited() && !again ? last : undefined;
    again = false;
    try {
      const status = await control.status(past, times.holdMs);
      last = status.last;
      if (!stopped) listener.answered(status, askedAt);
      return true;
    } catch (err) {
      const silent = err instanceof EndpointDownError && err.timedOut;
      if (!stopped) listener.failed(silent ? 'silent' : 'down', askedAt);
      return false;
    }
  }

  async function loop(): Promise<void> {
    while (!stopped) {
      const answered = await askOnce();
      if (stopped || again) continue;
      if (!answered) await pause(times.failingMs);
      else if (!listener.isAwaited()) await pause(times.idleMs);
    }
  }

  void loop();
  return {
    wake() {
      again = true;
      rouse?.();
    },
    dispose() {
      stopped = true;
      rouse?.();
      control.dispose();
    },
  };
}
