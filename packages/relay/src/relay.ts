/**
 * Executes requests of peers at endpoints that this instance holds connections
 * to.
 */
import net from 'node:net';
import {type Disposable, messageOf} from '@quetzalreel/common';
import {
  type Answer,
  type AnswerMemory,
  type CallerMemory,
  ConnectionLostError,
  ENTRY_BYTES,
  KeptKind,
  SessionState,
  readTurns,
  sizeOfRows,
} from '@quetzalreel/requests';
import {encodeFrame, frameDecoder} from '@quetzalreel/peer';
import {
  MAX_FRAME_BYTES,
  type EndpointObservation,
  RELAY_VERSION,
  type RelayRequest,
  type RelayMessage,
  type RelayTarget,
  answerMessages,
  isRelayTarget,
  isRequest,
  isObservationRequest,
  unpackRequest,
} from './messages.js';

/** Executes the requests of one requester at one endpoint. */
export interface ServedConnection extends Disposable {
  /**
   * Executes a request; called again only after the previous answer. Rejects
   * with ConnectionLostError.
   */
  send(req: RelayRequest): Promise<Answer>;
  /** The current local observation of the endpoint; sends nothing to it. */
  observe(): EndpointObservation;
}

/** Counts what the executor of one requester keeps. */
export type KeepForRequester = (kind: KeptKind, bytes: number) => void;

/** Options of a relay. */
export interface RelayOptions {
  readonly host: string;
  /** Port to listen on; 0 picks a free one. */
  readonly port: number;
  /**
   * A requester that sends nothing for this long is disconnected, in
   * milliseconds.
   */
  readonly idleTimeoutMs: number;
  /**
   * Creates the executor for one requester; undefined for an endpoint unknown
   * to this instance.
   */
  readonly serve: (
    target: RelayTarget,
    keep: KeepForRequester,
  ) => ServedConnection | undefined;
  /** Counts the answers until requesters have received them. */
  readonly memory: AnswerMemory;
  /** Counts what is kept for requesters, which is not bounded without it. */
  readonly callerMemory?: CallerMemory;
  /** Requesters that may be connected at the same time; any number by default. */
  readonly maxRequesters?: number;
  /** Called with the reason when a requester is rejected or disconnected. */
  readonly onEnd: (target: RelayTarget | undefined, why: string) => void;
}

/** A running relay. */
export interface Relay extends Disposable {
  readonly port: number;
  /**
   * Requesters with a request in flight, an open transaction, or an answer that
   * is not sent yet.
   */
  readonly activeRequesters: number;
  /**
   * Accepts no more requesters, and notifies the connected ones so that they
   * switch to another instance.
   */
  stop(): void;
}

/** A requester is not read from while requests without an answer take more than
 * this together, in bytes. One request may be longer. */
const MAX_QUEUED_BYTES = 1024 * 1024;
/** What the system may hold for a requester that is not read from, in bytes. */
const UNREAD_BYTES = 256 * 1024;

/** Memory that a waiting request takes, in bytes. */
function sizeOfRequest(req: RelayRequest): number {
  if (req.type === 'openAndRun')
    return sizeOfRequest(req.begin) + sizeOfRequest(req.statement);
  let bytes = ENTRY_BYTES;
  for (const field of Object.values(req)) {
    if (typeof field === 'string') bytes += field.length;
  }
  return bytes;
}

/** The connection of one requester. */
interface RequesterConnection extends Disposable {
  /**
   * Whether a request is in flight, a transaction is open, or an answer is not
   * sent yet.
   */
  readonly isOpen: boolean;
  notifyStopping(): void;
}

/** Serves the requester connected on `socket` until either side closes it. */
function serveRequester(
  socket: net.Socket,
  options: RelayOptions,
): RequesterConnection {
  const decoder = frameDecoder(MAX_FRAME_BYTES);
  const queue: RelayRequest[] = [];
  let queuedBytes = 0;
  /** Whether the requester is not read from because of its waiting requests. */
  let isHeld = false;
  const share = options.callerMemory?.join(close);
  const turns = readTurns(socket, () => queuedBytes <= MAX_QUEUED_BYTES);
  const keep: KeepForRequester = (kind, bytes) => share?.set(kind, bytes);
  let target: RelayTarget | undefined;
  let served: ServedConnection | undefined;
  let isServing = false;
  let state: SessionState = SessionState.Idle;
  /**
   * Set once a request is lost: requests pipelined after it must not run
   * outside of its transaction.
   */
  let isLost = false;

  function sendMessage(message: RelayMessage): void {
    if (!socket.destroyed) socket.write(encodeFrame(message));
  }

  function sendAnswer(answer: Answer): void {
    const held = options.memory.hold(sizeOfRows(answer));
    const messages = [...answerMessages(answer)];
    for (const message of messages.slice(0, -1)) sendMessage(message);
    const last = encodeFrame(messages[messages.length - 1]);
    // Also called, with an error, for a connection that was closed.
    socket.write(last, () => {
      held.dispose();
      keep(KeptKind.Answers, socket.writableLength);
    });
    keep(KeptKind.Answers, socket.writableLength);
  }

  /** Counts the requests that wait, and reads on when they are few. */
  function countQueued(added: number): void {
    queuedBytes += added;
    const waits = queuedBytes > MAX_QUEUED_BYTES;
    if (waits) socket.pause();
    else if (isHeld) socket.resume();
    isHeld = waits;
    keep(KeptKind.Unread, waits ? UNREAD_BYTES : 0);
    keep(KeptKind.Requests, queuedBytes);
  }

  function close(why: string): void {
    if (socket.destroyed) return;
    options.onEnd(target, why);
    // What is kept is dropped now: `close` may come much later under load.
    drop();
    socket.destroy();
  }

  function drop(): void {
    isLost = true;
    queue.splice(0);
    share?.dispose();
    served?.dispose();
    served = undefined;
  }

  function open(value: unknown): void {
    if (!isRelayTarget(value)) {
      close('the first frame is not a relay target');
      return;
    }
    target = value;
    served = options.serve(value, keep);
    if (served) sendMessage({type: 'open', version: RELAY_VERSION});
    else close('the endpoint is unknown to this instance');
  }

  async function serveQueue(): Promise<void> {
    if (isServing) return;
    isServing = true;
    for (let req = queue.shift(); req && !isLost; req = queue.shift()) {
      await serveOne(req);
      countQueued(-sizeOfRequest(req));
    }
    isServing = false;
  }

  async function serveOne(req: RelayRequest): Promise<void> {
    try {
      const answer = await served!.send(req);
      state = answer.state;
      sendAnswer(answer);
    } catch (err) {
      isLost = true;
      const wasReset = err instanceof ConnectionLostError && err.wasReset;
      sendMessage({type: 'lost', what: messageOf(err), wasReset});
      options.onEnd(target, messageOf(err));
      socket.end();
    }
  }

  function handleFrame(value: unknown): void {
    if (!served) {
      open(value);
    } else if (isObservationRequest(value)) {
      sendMessage({type: 'sign', sign: served.observe()});
    } else if (isRequest(value)) {
      queue.push(unpackRequest(value));
      countQueued(sizeOfRequest(value));
      void serveQueue();
    } else {
      close('a frame is not a valid request');
    }
  }

  socket.setNoDelay(true);
  socket.setTimeout(options.idleTimeoutMs, () => close('the asker is silent'));
  socket.on('error', err => close(err.message));
  socket.on('close', drop);
  socket.on('data', chunk => {
    turns.note(chunk.length);
    try {
      for (const value of decoder.push(chunk)) {
        if (!socket.destroyed) handleFrame(value);
      }
      keep(KeptKind.Message, decoder.pendingBytes);
    } catch (err) {
      close(messageOf(err));
    }
  });
  return {
    get isOpen() {
      const isSending = !socket.destroyed && socket.writableLength > 0;
      return isServing || isSending || state !== SessionState.Idle;
    },
    notifyStopping: () => sendMessage({type: 'stopping'}),
    dispose: () => void socket.destroy(),
  };
}

/** Starts listening for requesters. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const requesters = new Set<RequesterConnection>();
  const server = net.createServer(socket => {
    if (requesters.size >= (options.maxRequesters ?? Infinity)) {
      options.onEnd(undefined, 'too many requesters are connected');
      socket.destroy();
      return;
    }
    const requester = serveRequester(socket, options);
    requesters.add(requester);
    socket.on('close', () => requesters.delete(requester));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve());
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    get activeRequesters() {
      let open = 0;
      for (const requester of requesters) if (requester.isOpen) open++;
      return open;
    },
    stop() {
      server.close();
      for (const requester of requesters) requester.notifyStopping();
    },
    dispose() {
      server.close();
      for (const requester of requesters) requester.dispose();
    },
  };
}
