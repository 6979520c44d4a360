/** A statement connection over a socket that speaks the protocol. */
import type {Socket} from 'node:net';
import type {Disposable} from '@quetzalreel/common';
import {type Position, parsePosition} from '@quetzalreel/position';
import {
  type Frame,
  type FrameSplitter,
  TERMINATE,
  TransactionStatus,
  frameSplitter,
  readParameter,
  readStatus,
} from '@quetzalreel/wire';
import {
  type ResponseSink,
  EndpointConnection,
  EndpointDownError,
} from './endpoint.js';

/** Parameter by which an endpoint tells the position of a commit. */
export const COMMIT_POSITION_PARAMETER = 'quetzalreel.commit_position';

const MAX_ANSWER_FRAME_BYTES = 64 * 1024 * 1024;

class PgConnection extends EndpointConnection {
  open = true;
  idle = true;
  heardAt = performance.now();
  commitPosition: Position | undefined;
  private sink: ResponseSink | undefined;
  private readonly closeListeners = new Set<() => void>();
  private readonly splitter: FrameSplitter;

  constructor(
    readonly endpoint: string,
    private readonly socket: Socket,
  ) {
    super();
    this.splitter = frameSplitter(MAX_ANSWER_FRAME_BYTES);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', () => this.end('the connection broke'));
    socket.on('close', () => this.end('the connection was closed'));
  }

  send(request: Buffer, sink: ResponseSink): void {
    if (!this.open) {
      sink.broken(new EndpointDownError(this.endpoint, 'already closed'));
      return;
    }
    this.sink = sink;
    this.idle = false;
    this.commitPosition = undefined;
    this.socket.write(request);
  }

  onClose(listener: () => void): Disposable {
    this.closeListeners.add(listener);
    return {dispose: () => this.closeListeners.delete(listener)};
  }

  dispose(): void {
    if (this.open) this.socket.end(TERMINATE);
    this.end('closed here');
    this.socket.destroySoon();
  }

  private receive(chunk: Buffer): void {
    this.heardAt = performance.now();
    try {
      for (const frame of this.splitter.push(chunk)) this.take(frame);
    } catch {
      this.socket.destroy();
      this.end('its answer is not of the protocol');
    }
  }

  private take(frame: Frame): void {
    if (frame.type === 'S') {
      const {name, value} = readParameter(frame);
      if (name === COMMIT_POSITION_PARAMETER) {
        this.commitPosition = parsePosition(value);
        return;
      }
    }
    const sink = this.sink;
    if (frame.type === 'Z') {
      this.sink = undefined;
      this.idle = readStatus(frame) === TransactionStatus.Idle;
    }
    sink?.frame(frame);
  }

  private end(what: string): void {
    if (!this.open) return;
    this.open = false;
    const sink = this.sink;
    this.sink = undefined;
    sink?.broken(new EndpointDownError(this.endpoint, what));
    for (const listener of [...this.closeListeners]) listener();
  }
}

/** Wraps a logged-in socket to `endpoint`. */
export function pgConnection(
  endpoint: string,
  socket: Socket,
): EndpointConnection {
  return new PgConnection(endpoint, socket);
}
