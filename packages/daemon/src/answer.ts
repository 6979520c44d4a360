/** Sends a request on a connection and gathers its whole answer. */
import type {
  EndpointConnection,
  EndpointDownError,
} from '@quetzalreel/endpoint';
import {
  type ErrorFields,
  TransactionStatus,
  readError,
  readStatus,
} from '@quetzalreel/wire';

/** The whole answer to a request. */
export interface Answer {
  readonly bytes: Buffer;
  /** The error in it, if there is one. */
  readonly error: ErrorFields | undefined;
  readonly status: TransactionStatus;
}

/** Resolves with the answer; rejects with EndpointDownError. */
export function ask(
  connection: EndpointConnection,
  request: Buffer,
  hiddenFrames: number,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let hidden = hiddenFrames;
    let error: ErrorFields | undefined;
    connection.send(request, {
      frame(frame) {
        if (frame.type === 'E') error = readError(frame);
        else if (hidden > 0) {
          hidden--;
          return;
        }
        parts.push(frame.bytes);
        if (frame.type !== 'Z') return;
        const bytes = Buffer.concat(parts);
        resolve({bytes, error, status: readStatus(frame)});
      },
      broken: (err: EndpointDownError) => reject(err),
    });
  });
}
