/** Sends a request on a connection and collects its complete answer. */
import type {Clock, Disposable} from '@quetzalreel/common';
import {
  type EndpointConnection,
  EndpointDownError,
} from '@quetzalreel/endpoint';
import {
  type ErrorFields,
  type Frame,
  TransactionStatus,
  readError,
  readStatus,
} from '@quetzalreel/wire';

/** The complete answer to a request. */
export interface Answer {
  readonly bytes: Buffer;
  /** The error in the answer, if any. */
  readonly error: ErrorFields | undefined;
  readonly status: TransactionStatus;
}

/** Time until which a request waits for its answer. */
export interface AnswerDeadline {
  readonly clock: Clock;
  /** Monotonic milliseconds. */
  readonly until: number;
}

/**
 * Resolves with the answer or rejects with EndpointDownError. If no complete
 * answer arrives by the deadline, the connection is closed, because the answer
 * might arrive later and be taken for that of another request.
 */
export function sendRequest(
  connection: EndpointConnection,
  request: Buffer,
  hiddenFrames: number,
  bound?: AnswerDeadline,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let hidden = hiddenFrames;
    let error: ErrorFields | undefined;
    const timer = bound && startTimeout(connection, bound, reject);
    const take = (frame: Frame) => {
      if (frame.type === 'E') error = readError(frame);
      else if (hidden > 0) {
        hidden--;
        return;
      }
      parts.push(frame.bytes);
      if (frame.type !== 'Z') return;
      timer?.dispose();
      const bytes = Buffer.concat(parts);
      resolve({bytes, error, status: readStatus(frame)});
    };
    connection.send(request, {
      frame: take,
      broken: err => {
        timer?.dispose();
        reject(err);
      },
    });
  });
}

function startTimeout(
  connection: EndpointConnection,
  {clock, until}: AnswerDeadline,
  reject: (err: EndpointDownError) => void,
): Disposable {
  const delayMs = Math.max(0, until - clock.now());
  return clock.after(delayMs, () => {
    const what = `silent for ${Math.round(delayMs)} ms`;
    reject(new EndpointDownError(connection.endpoint, what, undefined, true));
    connection.dispose();
  });
}
