/** A connection to an endpoint through another instance's relay. */
import net from 'node:net';
import {
  type Answer,
  ConnectionLostError,
  EndpointConnection,
  type EndpointRequest,
  SessionState,
} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';
import {messageOf} from '@quetzalreel/common';
import {encodeFrame, frameDecoder} from '@quetzalreel/peer';
import {
  type EndpointObservation,
  MAX_FRAME_BYTES,
  type RelayMessage,
  type RelayTarget,
  isRelayMessage,
} from './messages.js';

/** Where a relay is, `host:port`. */
export type RelayAddress = string;

function socketTo(via: RelayAddress): net.Socket {
  const colon = via.lastIndexOf(':');
  const socket = net.connect({
    host: via.slice(0, colon),
    port: Number(via.slice(colon + 1)),
  });
  socket.setNoDelay(true);
  return socket;
}

/**
 * The relay between was lost, which says nothing about the endpoint. Whether
 * the request ran is as unknown as after any lost connection.
 */
export class RelayLostError extends ConnectionLostError {}

/** Who waits for an answer of one kind. */
interface Waiter<T> {
  resolve(value: T): void;
  reject(err: ConnectionLostError): void;
}

/** A connection through a relay. */
export class RelayedConnection extends EndpointConnection {
  /** The relay does not tell; the first answer does. */
  readonly openPosition: Position | undefined = undefined;
  isOpen = true;
  private isStopping = false;
  private state: SessionState = SessionState.Idle;
  private readonly waiting: Array<Waiter<Answer>> = [];
  private readonly signWaiting: Array<Waiter<EndpointObservation>> = [];
  private readonly closed: Array<() => void> = [];
  private readonly decoder = frameDecoder(MAX_FRAME_BYTES);

  constructor(
    readonly endpoint: string,
    /** The relay that it goes through. */
    readonly relay: RelayAddress,
    private readonly socket: net.Socket,
    private readonly onOpen: () => void,
  ) {
    super();
    socket.on('data', chunk => this.read(chunk));
    socket.on('error', err => this.loseRelay(err.message));
    socket.on('close', () => this.loseRelay('the relay has closed'));
  }

  send(req: EndpointRequest): Promise<Answer> {
    return this.ask(this.waiting, req);
  }

  /** What the relaying instance knows of the endpoint. Rejects with
   * RelayLostError after `timeoutMs`, and ends the connection then. */
  fetchObservation(timeoutMs: number): Promise<EndpointObservation> {
    const late = setTimeout(() => {
      this.loseRelay(`no sign of the endpoint in ${timeoutMs} ms`);
    }, timeoutMs);
    return this.ask<EndpointObservation>(this.signWaiting, {
      type: 'sign',
    }).finally(() => clearTimeout(late));
  }

  /** Sends `frame` and waits behind those that `waiting` holds. */
  private ask<T>(waiting: Array<Waiter<T>>, frame: unknown): Promise<T> {
    return new Promise((resolve, reject) => {
      if (!this.isOpen) {
        reject(new RelayLostError(this.endpoint, 'it has ended', false));
        return;
      }
      waiting.push({resolve, reject});
      this.socket.write(encodeFrame(frame));
    });
  }

  onClose(callback: () => void): void {
    if (this.isOpen) this.closed.push(callback);
    else callback();
  }

  dispose(): void {
    const what = 'this instance has closed it';
    this.lose(new ConnectionLostError(this.endpoint, what, false));
  }

  private read(chunk: Buffer): void {
    try {
      for (const value of this.decoder.push(chunk)) {
        if (!isRelayMessage(value)) throw new Error('a foreign frame');
        this.take(value);
      }
    } catch (err) {
      this.loseRelay(messageOf(err));
    }
  }

  private take(message: RelayMessage): void {
    switch (message.type) {
      case 'open':
        this.onOpen();
        return;
      case 'answer':
        this.state = message.answer.state;
        this.waiting.shift()?.resolve(message.answer);
        break;
      case 'sign':
        this.signWaiting.shift()?.resolve(message.sign);
        return;
      case 'lost': {
        const {what, wasReset} = message;
        this.lose(new ConnectionLostError(this.endpoint, what, wasReset));
        return;
      }
      case 'stopping':
        this.isStopping = true;
    }
    this.endIfStopping();
  }

  /** Once nothing is open, the next request goes another way. */
  private endIfStopping(): void {
    if (!this.isStopping || this.waiting.length > 0) return;
    if (this.state === SessionState.Idle) this.loseRelay('the relay stops');
  }

  private loseRelay(what: string): void {
    this.lose(new RelayLostError(this.endpoint, what, false));
  }

  private lose(err: ConnectionLostError): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.socket.destroy();
    for (const {reject} of this.waiting.splice(0)) reject(err);
    for (const {reject} of this.signWaiting.splice(0)) reject(err);
    for (const callback of this.closed.splice(0)) callback();
  }
}

/**
 * A connection to `target` through the relay at `via`, within `timeoutMs`.
 * Rejects with RelayLostError.
 */
export function connectViaRelay(
  via: RelayAddress,
  target: RelayTarget,
  timeoutMs: number,
): Promise<RelayedConnection> {
  const {endpoint} = target;
  const socket = socketTo(via);
  socket.write(encodeFrame(target));
  return new Promise((resolve, reject) => {
    const late = setTimeout(() => {
      socket.destroy(new Error(`no answer in ${timeoutMs} ms`));
    }, timeoutMs);
    const connection = new RelayedConnection(endpoint, via, socket, () => {
      clearTimeout(late);
      resolve(connection);
    });
    connection.onClose(() => {
      clearTimeout(late);
      const what = `the relay at ${via} did not take it on`;
      reject(new RelayLostError(endpoint, what, false));
    });
  });
}
