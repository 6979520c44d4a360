/**
 * Transport between instances over TCP, with TLS if it has a key. A link is one
 * connection to a peer. It is closed if nothing is received for some time after
 * a message was sent over it, since a new link may work; a peer that has nothing
 * to send is asked for a sign of life after half of that time. A peer is answered on the link on
 * which it was last heard: an older one may be silent.
 */
import net from 'node:net';
import tls from 'node:tls';
import {
  type Clock,
  type Disposable,
  messageOf,
  parseAddress,
} from '@quetzalreel/common';
import {
  PEER_VERSION,
  PeerFrameError,
  encodeCompressedFrame,
  encodeFrame,
  frameDecoder,
} from './codec.js';
import {type PeerTraffic, PeerTransport} from './transport.js';

/** Key, certificate, and the CA that signs all instances' certificates. */
export interface PeerTls {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca: Buffer;
}

/** Size and time limits of the links. */
export interface LinkLimits {
  readonly maxFrameBytes: number;
  /** Messages are dropped while more bytes than this are queued on a link. */
  readonly maxQueuedBytes: number;
  /** Time without a response after which a link is closed, milliseconds. */
  readonly responseTimeoutMs: number;
  /** Time without traffic after which a link is closed, milliseconds. */
  readonly idleMs: number;
  readonly connectMs: number;
}

/** Options of `tcpTransport`. */
export interface TcpTransportOptions<M> {
  readonly host: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port: number;
  readonly clock: Clock;
  readonly limits: LinkLimits;
  /** Called for each new link, so that a replaced key takes effect. */
  readonly tls?: () => PeerTls;
  /** Whether a decoded value is a message; if not, the link is closed. */
  readonly check: (value: unknown) => value is M;
  readonly onMessage: (message: M) => void;
  /**
   * Called when a link fails; not when it is closed because it was idle. What was
   * sent on it may be lost. `wasHeard` is whether anything was received on it.
   */
  readonly onLinkError?: (
    address: string,
    why: string,
    wasHeard: boolean,
  ) => void;
}

interface Link {
  readonly socket: net.Socket;
  /** Address of the peer; of an accepted link, unknown until its hello. */
  address: string | undefined;
  /** Send time of the first message since data was last received. */
  unansweredSince: number | undefined;
  lastUsedAt: number;
  /** Whether anything was received on it. */
  wasHeard: boolean;
  /** Minor version of the peer; 0 until its hello. */
  minor: number;
  /** Whether a ping was sent since something was received. */
  isPinged: boolean;
}

/**
 * Minor version, which may differ between the ends of a link. From 1 on a peer
 * takes compressed values and answers pings.
 */
const MINOR_VERSION = 1;

/** Sent when nothing else came back; answered by a pong at once. */
const PING = 'ping';
const PING_FRAME = encodeFrame({control: PING});
const PONG_FRAME = encodeFrame({control: 'pong'});

function controlOf(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as {readonly control?: unknown}).control;
}

interface Hello {
  readonly version: number;
  readonly address: string;
  /** Missing in the hello of older builds. */
  readonly minor?: number;
}

/** How many times in its time limit a link is checked for an answer. */
const CHECKS_PER_TIMEOUT = 4;

/** Starts a transport that listens for links from peers. */
export async function tcpTransport<M>(
  options: TcpTransportOptions<M>,
): Promise<PeerTransport<M>> {
  const {clock, limits} = options;
  const links = new Set<Link>();
  const byAddress = new Map<string, Link>();
  let ownAddress = '';
  let sentBytes = 0;
  let receivedBytes = 0;
  let sentMessages = 0;
  let disposed = false;

  function addLink(socket: net.Socket, address: string | undefined): Link {
    const now = clock.now();
    const link: Link = {
      socket,
      address,
      unansweredSince: undefined,
      lastUsedAt: now,
      wasHeard: false,
      minor: 0,
      isPinged: false,
    };
    const decoder = frameDecoder(limits.maxFrameBytes);
    let hasReceivedHello = false;
    links.add(link);
    socket.setNoDelay(true);
    socket.on('error', err => failLink(link, messageOf(err)));
    socket.on('close', () => removeLink(link));
    socket.on('data', chunk => {
      receivedBytes += chunk.length;
      link.unansweredSince = undefined;
      link.isPinged = false;
      link.lastUsedAt = clock.now();
      link.wasHeard = true;
      try {
        for (const value of decoder.push(chunk)) {
          if (hasReceivedHello) receiveMessage(link, value);
          else receiveHello(link, value);
          hasReceivedHello = true;
        }
        useForAnswers(link);
      } catch (err) {
        failLink(link, messageOf(err));
      }
    });
    const hello: Hello = {
      version: PEER_VERSION,
      address: ownAddress,
      minor: MINOR_VERSION,
    };
    writeFrame(link, encodeFrame(hello));
    return link;
  }

  function receiveHello(link: Link, value: unknown): void {
    const {version, address, minor} = value as Partial<Hello>;
    if (version !== PEER_VERSION) {
      throw new PeerFrameError(`unsupported version ${String(version)}`);
    }
    if (typeof address !== 'string')
      throw new PeerFrameError('the hello has no address');
    link.minor = minor ?? 0;
    link.address ??= address;
    byAddress.set(address, link);
  }

  function useForAnswers(link: Link): void {
    const {address} = link;
    if (address !== undefined && links.has(link)) byAddress.set(address, link);
  }

  function receiveMessage(link: Link, value: unknown): void {
    const control = controlOf(value);
    if (control === PING) writeFrame(link, PONG_FRAME);
    if (control !== undefined) return;
    if (!options.check(value)) throw new PeerFrameError('unknown message');
    options.onMessage(value);
  }

  function writeFrame(link: Link, frame: Buffer): void {
    if (link.socket.writableLength > limits.maxQueuedBytes) return;
    link.socket.write(frame);
    sentBytes += frame.length;
  }

  function failLink(link: Link, why: string): void {
    const isKnown = links.has(link);
    removeLink(link);
    link.socket.destroy();
    // After its removal, so that what is sent now takes a new link.
    if (isKnown)
      options.onLinkError?.(link.address ?? 'unknown', why, link.wasHeard);
  }

  function removeLink(link: Link): void {
    links.delete(link);
    for (const [address, known] of byAddress) {
      if (known === link) byAddress.delete(address);
    }
  }

  function openLink(address: string): Link | undefined {
    const parsed = parseAddress(address);
    if (!parsed) {
      const why = 'it is not an address like 10.0.0.1:80';
      options.onLinkError?.(address, why, false);
      return undefined;
    }
    const {host, port} = parsed;
    const keys = options.tls?.();
    const socket = keys
      ? tls.connect({
          host,
          port,
          ...keys,
          // A peer is authenticated by its CA, not by its IP address.
          checkServerIdentity: () => undefined,
        })
      : net.connect({host, port});
    const link = addLink(socket, address);
    byAddress.set(address, link);
    const timer = clock.after(limits.connectMs, () =>
      failLink(link, 'connect timeout'),
    );
    const connected = keys ? 'secureConnect' : 'connect';
    socket.once(connected, () => timer.dispose());
    socket.once('close', () => timer.dispose());
    return link;
  }

  function pingOnce(link: Link): void {
    if (link.minor < 1 || link.isPinged) return;
    link.isPinged = true;
    writeFrame(link, PING_FRAME);
  }

  /** Runs several times within the limit for a response. */
  function closeStaleLinks(): void {
    const now = clock.now();
    for (const link of [...links]) {
      const {unansweredSince, lastUsedAt} = link;
      const silentMs =
        unansweredSince === undefined ? 0 : now - unansweredSince;
      if (silentMs > limits.responseTimeoutMs)
        failLink(link, 'response timeout');
      else if (silentMs > limits.responseTimeoutMs / 2) pingOnce(link);
      else if (silentMs === 0 && now - lastUsedAt > limits.idleMs) {
        removeLink(link);
        link.socket.end();
      }
    }
  }

  const server = createServer(options.tls, socket => {
    if (disposed) socket.destroy();
    else addLink(socket, undefined);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve());
  });
  const {port} = server.address() as net.AddressInfo;
  ownAddress = `${options.host}:${port}`;
  const sweepTimer = repeatEvery(
    clock,
    limits.responseTimeoutMs / CHECKS_PER_TIMEOUT,
    closeStaleLinks,
  );

  class TcpTransport extends PeerTransport<M> {
    readonly address = ownAddress;

    get traffic(): PeerTraffic {
      return {sentBytes, receivedBytes, sentMessages, links: links.size};
    }

    sendToAll(addresses: readonly string[], message: M): void {
      let plain: Buffer | undefined;
      let compressed: Buffer | undefined;
      for (const address of disposed ? [] : addresses) {
        const link = byAddress.get(address) ?? openLink(address);
        if (!link) continue;
        const now = clock.now();
        link.unansweredSince ??= now;
        link.lastUsedAt = now;
        sentMessages++;
        if (link.minor >= 1)
          writeFrame(link, (compressed ??= encodeCompressedFrame(message)));
        else writeFrame(link, (plain ??= encodeFrame(message)));
      }
    }

    dispose(): void {
      disposed = true;
      sweepTimer.dispose();
      server.close();
      for (const link of links) {
        const {socket} = link;
        socket.end();
        const timer = setTimeout(() => socket.destroy(), limits.connectMs);
        timer.unref();
        socket.once('close', () => clearTimeout(timer));
      }
    }
  }
  return new TcpTransport();
}

function createServer(
  keys: (() => PeerTls) | undefined,
  onSocket: (socket: net.Socket) => void,
): net.Server {
  if (!keys) return net.createServer(onSocket);
  const settings = {requestCert: true, rejectUnauthorized: true};
  const server = tls.createServer({...settings, ...keys()}, onSocket);
  // Each accepted link uses the keys that are current at that time.
  server.prependListener('connection', () => {
    server.setSecureContext({...settings, ...keys()});
  });
  server.on('tlsClientError', () => {});
  return server;
}

/** Calls `callback` every `everyMs` until disposed. */
function repeatEvery(
  clock: Clock,
  everyMs: number,
  callback: () => void,
): Disposable {
  let timer: Disposable;
  const next = () => {
    timer = clock.after(everyMs, () => {
      callback();
      next();
    });
  };
  next();
  return {dispose: () => timer.dispose()};
}
