/**
 * Flow control of a caller's connection. It bounds the memory used for a caller
 * that sends requests faster than they are answered or that does not read its
 * answers.
 */
import type {Socket} from 'node:net';

/** Unanswered requests of a caller at which reading from its socket pauses. */
const MAX_PIPELINED_REQUESTS = 64;
/** Unsent bytes of answers above which the caller's next request must wait. */
const MAX_UNSENT_BYTES = 1024 * 1024;

/** Flow control of one caller's connection. */
export interface RequestFlow {
  /** Call when a request is received. */
  requestReceived(): void;
  /**
   * Call when a request is answered; resolves when the next one may be served.
   */
  requestAnswered(): Promise<void>;
}

/** Creates the flow control of `socket`. */
export function requestFlow(socket: Socket): RequestFlow {
  let unanswered = 0;
  return {
    requestReceived() {
      unanswered++;
      if (unanswered >= MAX_PIPELINED_REQUESTS) socket.pause();
    },
    async requestAnswered() {
      if (socket.writableLength > MAX_UNSENT_BYTES) await waitForDrain(socket);
      unanswered--;
      if (unanswered < MAX_PIPELINED_REQUESTS && socket.isPaused())
        socket.resume();
    },
  };
}

/** Resolves when the socket has sent its buffered bytes or is closed. */
function waitForDrain(socket: Socket): Promise<void> {
  if (socket.destroyed) return Promise.resolve();
  return new Promise(resolve => {
    const done = () => {
      socket.off('drain', done);
      socket.off('close', done);
      resolve();
    };
    socket.on('drain', done);
    socket.on('close', done);
  });
}
