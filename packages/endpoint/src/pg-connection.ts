/** A statement connection over a socket that speaks the PostgreSQL protocol. */
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

/** Parameter in which an endpoint reports the position of a commit. */
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
    socket.on('error', () => this.markClosed('the connection broke'));
    socket.on('close', () =>
      this.markClosed('the endpoint closed the connection'),
    );
  }

  send(request: Buffer, sink: ResponseSink): void {
    if (!this.open) {
      sink.broken(
        new EndpointDownError(
          this.endpoint,
          'the connection is already closed',
        ),
      );
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
    this.markClosed('this instance closed the connection');
    this.socket.destroySoon();
  }

  private receive(chunk: Buffer): void {
    this.heardAt = performance.now();
    try {
      for (const frame of this.splitter.push(chunk)) this.handleFrame(frame);
    } catch {
      this.socket.destroy();
      this.markClosed('the response violates the protocol');
    }
  }

  private handleFrame(frame: Frame): void {
    if (frame.type === 'S') {
      const {name, value} = readParameter(frame);
      if (name === COMMIT_POSITION_PARAMETER) {
        this.commitPosition = parsePosition(value);
        return;
      }
    }
    const sink = this.sink;
    if (frame.type === 'Z') {
      this.idle = readStatus(frame) === TransactionStatus.Idle;
      this.sink = undefined;
    }
    sink?.frame(frame);
  }

  private markClosed(what: string): void {
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
