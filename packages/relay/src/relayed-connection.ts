/** A connection to an endpoint through the relay of another instance. */
import net from 'node:net';
import {
  type Answer,
  type AnswerMemory,
  ConnectionLostError,
  EndpointConnection,
  type EndpointRequest,
  type GatheredAnswer,
  SessionState,
  tooLongAnswer,
} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';
import {type HostPort, messageOf, parseAddress} from '@quetzalreel/common';
import {encodeFrame, frameDecoder} from '@quetzalreel/peer';
import {
  type EndpointObservation,
  MAX_FRAME_BYTES,
  type OpenAndRunRequest,
  type RelayMessage,
  type RelayTarget,
  isRelayMessage,
  packRequest,
} from './messages.js';

/** Address of a relay, `host:port`. */
export type RelayAddress = string;

function socketTo(address: HostPort): net.Socket {
  const socket = net.connect({...address});
  socket.setNoDelay(true);
  return socket;
}

/**
 * The connection to the relay was lost, which tells nothing about the
 * endpoint's health. As after any lost connection, it is unknown whether the
 * request ran.
 */
export class RelayLostError extends ConnectionLostError {}

/** The pending promise of one request. */
interface PendingRequest<T> {
  resolve(value: T): void;
  reject(err: ConnectionLostError): void;
}

/** An endpoint connection that goes through a relay. */
export abstract class RelayedConnection extends EndpointConnection {
  /** Not reported by the relay; the first answer carries the position. */
  readonly openPosition: Position | undefined = undefined;
  /** Address of the relay in use. */
  abstract readonly relay: RelayAddress;
  /** Whether the relay takes `openAndRun`; older builds don't. */
  abstract readonly takesOpenAndRun: boolean;
  /** Sends a request like `send`. */
  abstract openAndRun(req: OpenAndRunRequest): Promise<Answer>;
  /**
   * Fetches the relaying instance's observation of the endpoint. After
   * `timeoutMs` it closes the connection and rejects with RelayLostError.
   */
  abstract fetchObservation(timeoutMs: number): Promise<EndpointObservation>;
}

/** Opens connections to endpoints through relays. */
export abstract class RelayDriver {
  /** Connects within `timeoutMs`. Rejects with RelayLostError. */
  abstract connect(
    via: RelayAddress,
    target: RelayTarget,
    timeoutMs: number,
  ): Promise<RelayedConnection>;
}

class TcpRelayDriver extends RelayDriver {
  constructor(private readonly memory: AnswerMemory) {
    super();
  }

  connect(
    via: RelayAddress,
    target: RelayTarget,
    timeoutMs: number,
  ): Promise<RelayedConnection> {
    return connectViaRelay(via, target, timeoutMs, this.memory);
  }
}

/**
 * Connects to relays over TCP. The answers that arrive take part in `memory`.
 */
export function tcpRelayDriver(memory: AnswerMemory): RelayDriver {
  return new TcpRelayDriver(memory);
}

class TcpRelayedConnection extends RelayedConnection {
  isOpen = true;
  takesOpenAndRun = false;
  private isStopping = false;
  private state: SessionState = SessionState.Idle;
  private readonly pendingAnswers: Array<PendingRequest<Answer>> = [];
  private readonly pendingObservations: Array<
    PendingRequest<EndpointObservation>
  > = [];
  private readonly closeCallbacks: Array<() => void> = [];
  private decoder = frameDecoder(MAX_FRAME_BYTES);
  /** The first rows of the answer that is arriving. */
  private rows: string[] = [];
  /** Counts the answer that is arriving. */
  private readonly arriving: GatheredAnswer;

  constructor(
    readonly endpoint: string,
    readonly relay: RelayAddress,
    private readonly socket: net.Socket,
    memory: AnswerMemory,
    private readonly onOpen: () => void,
  ) {
    super();
    this.arriving = memory.gather(socket);
    socket.on('data', chunk => this.read(chunk));
    socket.on('error', err => this.failRelay(err.message));
    socket.on('close', () => this.failRelay('the relay closed the connection'));
  }

  send(req: EndpointRequest): Promise<Answer> {
    return this.enqueue(this.pendingAnswers, packRequest(req));
  }

  openAndRun(req: OpenAndRunRequest): Promise<Answer> {
    return this.enqueue(this.pendingAnswers, packRequest(req));
  }

  fetchObservation(timeoutMs: number): Promise<EndpointObservation> {
    const timer = setTimeout(() => {
      this.failRelay(`no observation of the endpoint within ${timeoutMs} ms`);
    }, timeoutMs);
    return this.enqueue<EndpointObservation>(this.pendingObservations, {
      type: 'sign',
    }).finally(() => clearTimeout(timer));
  }

  /**
   * Sends `frame` and queues its promise in `waiting`; answers arrive in order.
   */
  private enqueue<T>(
    waiting: Array<PendingRequest<T>>,
    frame: unknown,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      if (!this.isOpen) {
        reject(
          new RelayLostError(
            this.endpoint,
            'the connection is already closed',
            false,
          ),
        );
        return;
      }
      waiting.push({resolve, reject});
      this.socket.write(encodeFrame(frame));
    });
  }

  onClose(callback: () => void): void {
    if (this.isOpen) this.closeCallbacks.push(callback);
    else callback();
  }

  dispose(): void {
    const what = 'closed by this instance';
    this.fail(new ConnectionLostError(this.endpoint, what, false));
  }

  private read(chunk: Buffer): void {
    // A paused socket still hands out what it has read, after it was closed.
    if (!this.isOpen) return;
    if (!this.arriving.add(chunk.length)) {
      this.giveUpLongAnswer();
      return;
    }
    try {
      for (const value of this.decoder.push(chunk)) {
        if (!this.isOpen) return;
        if (!isRelayMessage(value))
          throw new Error('a frame is not a relay message');
        this.handle(value);
      }
    } catch (err) {
      this.failRelay(messageOf(err));
    }
  }

  private handle(message: RelayMessage): void {
    switch (message.type) {
      case 'open':
        this.noteOther();
        this.takesOpenAndRun = (message.version ?? 0) >= 1;
        this.onOpen();
        return;
      case 'rows':
        this.rows = this.rows.concat(message.rows);
        return;
      case 'answer':
        this.state = message.answer.state;
        this.pendingAnswers.shift()?.resolve(this.wholeAnswer(message.answer));
        break;
      case 'sign':
        this.noteOther();
        this.pendingObservations.shift()?.resolve(message.sign);
        return;
      case 'lost': {
        const {what, wasReset} = message;
        this.fail(new ConnectionLostError(this.endpoint, what, wasReset));
        return;
      }
      case 'stopping':
        this.isStopping = true;
    }
    this.endIfStopping();
  }

  /** What has arrived was no part of an answer, unless one has begun. */
  private noteOther(): void {
    if (this.rows.length === 0) this.arriving.end();
  }

  private wholeAnswer(last: Answer): Answer {
    this.arriving.end();
    if (this.rows.length === 0) return last;
    const rows = this.rows.concat(last.rows);
    this.rows = [];
    return {...last, rows};
  }

  private giveUpLongAnswer(): void {
    this.pendingAnswers.shift()?.resolve(tooLongAnswer());
    this.failRelay('the relay sent an answer that is too long');
  }

  /**
   * Closes the connection to a stopping relay once no request is in flight and
   * no transaction is open; the next request then takes another path.
   */
  private endIfStopping(): void {
    if (!this.isStopping || this.pendingAnswers.length > 0) return;
    if (this.state === SessionState.Idle)
      this.failRelay('the relay is stopping');
  }

  private failRelay(what: string): void {
    this.fail(new RelayLostError(this.endpoint, what, false));
  }

  private fail(err: ConnectionLostError): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.arriving.end();
    // What is counted off is dropped too: others may refer to this connection.
    this.rows = [];
    this.decoder = frameDecoder(MAX_FRAME_BYTES);
    this.socket.destroy();
    for (const {reject} of this.pendingAnswers.splice(0)) reject(err);
    for (const {reject} of this.pendingObservations.splice(0)) reject(err);
    for (const callback of this.closeCallbacks.splice(0)) callback();
  }
}

/**
 * Connects to `target` through the relay at `via`, within `timeoutMs`. Rejects
 * with RelayLostError.
 */
export function connectViaRelay(
  via: RelayAddress,
  target: RelayTarget,
  timeoutMs: number,
  memory: AnswerMemory,
): Promise<RelayedConnection> {
  const {endpoint} = target;
  const address = parseAddress(via);
  if (!address) {
    const what = `${JSON.stringify(via)} is not the address of a relay`;
    return Promise.reject(new RelayLostError(endpoint, what, false));
  }
  const socket = socketTo(address);
  socket.write(encodeFrame(target));
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no answer within ${timeoutMs} ms`));
    }, timeoutMs);
    const onOpen = () => {
      clearTimeout(timer);
      resolve(connection);
    };
    const connection = new TcpRelayedConnection(
      endpoint,
      via,
      socket,
      memory,
      onOpen,
    );
    connection.onClose(() => {
      clearTimeout(timer);
      const what = `the relay at ${via} did not accept the connection`;
      reject(new RelayLostError(endpoint, what, false));
    });
  });
}
