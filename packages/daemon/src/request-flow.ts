/**
 * Keeps a caller that sends faster than it is answered, or that does not read
 * its answers, from filling this instance's memory.
 */
import type {Socket} from 'node:net';

/** Requests of one caller that may wait for their turn. */
const MAX_PIPELINED = 64;
/** Bytes of answers that may wait for a caller to read them. */
const MAX_UNREAD_BYTES = 1024 * 1024;

/** The flow of one caller's requests. */
export interface RequestFlow {
  /** A request has come in. */
  arrived(): void;
  /** It was answered; resolves when the next one may be served. */
  answered(): Promise<void>;
}

/** A flow on `socket`, with nothing under way. */
export function requestFlow(socket: Socket): RequestFlow {
  let waiting = 0;
  return {
    arrived() {
      waiting++;
      if (waiting >= MAX_PIPELINED) socket.pause();
    },
    async answered() {
      if (socket.writableLength > MAX_UNREAD_BYTES) await drained(socket);
      waiting--;
      if (waiting < MAX_PIPELINED && socket.isPaused()) socket.resume();
    },
  };
}

/** Resolves when the caller has read, or has left. */
function drained(socket: Socket): Promise<void> {
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
