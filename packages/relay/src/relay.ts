/**
 * Serves requests of other instances at endpoints that this instance holds
 * connections to.
 */
import net from 'node:net';
import {type Disposable, messageOf} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointRequest,
  SessionState,
} from '@quetzalreel/requests';
import {encodeFrame, frameDecoder} from '@quetzalreel/peer';
import {
  MAX_FRAME_BYTES,
  type EndpointObservation,
  type RelayMessage,
  type RelayTarget,
  isRelayTarget,
  isRequest,
  isObservationRequest,
} from './messages.js';

/** What one asker's requests are served with. */
export interface ServedConnection extends Disposable {
  /** Serves a request; the next one comes after its answer. Rejects with
   * ConnectionLostError. */
  send(req: EndpointRequest): Promise<Answer>;
  /** What is known of the endpoint now. */
  observe(): EndpointObservation;
}

/** What a relay works with. */
export interface RelayOptions {
  readonly host: string;
  /** Port to listen on; 0 takes a free one. */
  readonly port: number;
  /** Silence after which an asker counts as gone, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Serves one asker at an endpoint; undefined when it is not known here. */
  readonly serve: (target: RelayTarget) => ServedConnection | undefined;
  /** Told why an asker was not, or is no longer, served. */
  readonly onEnd: (target: RelayTarget | undefined, why: string) => void;
}

/** A running relay. */
export interface Relay extends Disposable {
  readonly port: number;
  /** Askers with a request or a transaction under way. */
  readonly activeRequesters: number;
  /** Takes no more askers, and has those that are here go elsewhere. */
  stop(): void;
}

/** One asker's connection. */
interface Asker extends Disposable {
  /** Whether a request or a transaction is under way. */
  readonly isOpen: boolean;
  tellStopping(): void;
}

/** Serves the asker behind `socket` until either side ends. */
function startAsker(socket: net.Socket, options: RelayOptions): Asker {
  const decoder = frameDecoder(MAX_FRAME_BYTES);
  const queue: EndpointRequest[] = [];
  let target: RelayTarget | undefined;
  let served: ServedConnection | undefined;
  let isServing = false;
  let state: SessionState = SessionState.Idle;
  /** What was sent behind a lost request must not run outside of its
   * transaction. */
  let isLost = false;

  function say(message: RelayMessage): void {
    if (!socket.destroyed) socket.write(encodeFrame(message));
  }

  function end(why: string): void {
    if (socket.destroyed) return;
    options.onEnd(target, why);
    socket.destroy();
  }

  function open(value: unknown): void {
    if (!isRelayTarget(value)) {
      end('the first frame names no endpoint');
      return;
    }
    target = value;
    served = options.serve(value);
    if (served) say({type: 'open'});
    else end('the endpoint is not known here');
  }

  async function serveQueue(): Promise<void> {
    if (isServing) return;
    isServing = true;
    for (let req = queue.shift(); req && !isLost; req = queue.shift()) {
      await serveOne(req);
    }
    isServing = false;
  }

  async function serveOne(req: EndpointRequest): Promise<void> {
    try {
      const answer = await served!.send(req);
      state = answer.state;
      say({type: 'answer', answer});
    } catch (err) {
      isLost = true;
      const wasReset = err instanceof ConnectionLostError && err.wasReset;
      say({type: 'lost', what: messageOf(err), wasReset});
      options.onEnd(target, messageOf(err));
      socket.end();
    }
  }

  function take(value: unknown): void {
    if (!served) {
      open(value);
    } else if (isObservationRequest(value)) {
      say({type: 'sign', sign: served.observe()});
    } else if (isRequest(value)) {
      queue.push(value);
      void serveQueue();
    } else {
      end('a frame is no request');
    }
  }

  socket.setNoDelay(true);
  socket.setTimeout(options.idleTimeoutMs, () => end('the asker is silent'));
  socket.on('error', err => end(err.message));
  socket.on('close', () => {
    isLost = true;
    served?.dispose();
  });
  socket.on('data', chunk => {
    try {
      for (const value of decoder.push(chunk)) {
        if (!socket.destroyed) take(value);
      }
    } catch (err) {
      end(messageOf(err));
    }
  });
  return {
    get isOpen() {
      return isServing || state !== SessionState.Idle;
    },
    tellStopping: () => say({type: 'stopping'}),
    dispose: () => void socket.destroy(),
  };
}

/** Starts a relay. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const askers = new Set<Asker>();
  const server = net.createServer(socket => {
    const asker = startAsker(socket, options);
    askers.add(asker);
    socket.on('close', () => askers.delete(asker));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve());
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    get activeRequesters() {
      let open = 0;
      for (const asker of askers) if (asker.isOpen) open++;
      return open;
    },
    stop() {
      server.close();
      for (const asker of askers) asker.tellStopping();
    },
    dispose() {
      server.close();
      for (const asker of askers) asker.dispose();
    },
  };
}
