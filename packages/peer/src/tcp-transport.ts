/**
 * The transport between instances over TCP, with TLS when it has a key. A
 * link is silent when something was sent over it and nothing came back for a
 * while; it is closed then, since a new one may work.
 */
import net from 'node:net';
import tls from 'node:tls';
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {
  PEER_VERSION,
  PeerFrameError,
  encodeFrame,
  frameDecoder,
} from './codec.js';
import {type PeerTraffic, PeerTransport} from './transport.js';

/** Key, certificate and the authority that signs all instances' ones. */
export interface PeerTls {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca: Buffer;
}

/** Bounds of a transport. */
export interface LinkLimits {
  readonly maxFrameBytes: number;
  /** Bytes that may wait on one link; more are dropped. */
  readonly maxQueuedBytes: number;
  /** Time without an answer after which a link is closed, milliseconds. */
  readonly responseTimeoutMs: number;
  /** Time without use after which a link is closed, milliseconds. */
  readonly idleMs: number;
  readonly connectMs: number;
}

/** What a transport works with. */
export interface TcpTransportOptions<M> {
  readonly host: string;
  /** Port to listen on; 0 takes a free one. */
  readonly port: number;
  readonly clock: Clock;
  readonly limits: LinkLimits;
  /** Read anew for each link, so that a replaced key is taken up. */
  readonly tls?: () => PeerTls;
  /** Whether a decoded value is a message; others end the link. */
  readonly check: (value: unknown) => value is M;
  readonly onMessage: (message: M) => void;
  /** Told when a link ends for another reason than age. */
  readonly onLinkError?: (address: string, why: string) => void;
}

interface Link {
  readonly socket: net.Socket;
  /** Address of the other side; unknown until it says hello. */
  address: string | undefined;
  /** When the first message was sent that nothing came back for. */
  unansweredSince: number | undefined;
  lastUsedAt: number;
}

interface Hello {
  readonly version: number;
  readonly address: string;
}

/** Starts listening. */
export async function tcpTransport<M>(
  options: TcpTransportOptions<M>,
): Promise<PeerTransport<M>> {
  const {clock, limits} = options;
  const links = new Set<Link>();
  const byAddress = new Map<string, Link>();
  let own = '';
  let sentBytes = 0;
  let receivedBytes = 0;
  let sentMessages = 0;
  let disposed = false;

  function adopt(socket: net.Socket, address: string | undefined): Link {
    const now = clock.now();
    const link: Link = {
      socket,
      address,
      unansweredSince: undefined,
      lastUsedAt: now,
    };
    const decoder = frameDecoder(limits.maxFrameBytes);
    let greeted = false;
    links.add(link);
    socket.setNoDelay(true);
    socket.on('error', err => fail(link, messageOf(err)));
    socket.on('close', () => forget(link));
    socket.on('data', chunk => {
      receivedBytes += chunk.length;
      link.unansweredSince = undefined;
      link.lastUsedAt = clock.now();
      try {
        for (const value of decoder.push(chunk)) {
          if (greeted) take(value);
          else greet(link, value);
          greeted = true;
        }
      } catch (err) {
        fail(link, messageOf(err));
      }
    });
    write(link, encodeFrame({version: PEER_VERSION, address: own}));
    return link;
  }

  function greet(link: Link, value: unknown): void {
    const {version, address} = value as Hello;
    if (version !== PEER_VERSION) {
      throw new PeerFrameError(`version ${version}`);
    }
    link.address ??= address;
    if (!byAddress.has(address)) byAddress.set(address, link);
  }

  function take(value: unknown): void {
    if (!options.check(value)) throw new PeerFrameError('no known message');
    options.onMessage(value);
  }

  function write(link: Link, frame: Buffer): void {
    if (link.socket.writableLength > limits.maxQueuedBytes) return;
    link.socket.write(frame);
    sentBytes += frame.length;
  }

  function fail(link: Link, why: string): void {
    if (links.has(link)) options.onLinkError?.(link.address ?? 'unknown', why);
    forget(link);
    link.socket.destroy();
  }

  function forget(link: Link): void {
    links.delete(link);
    for (const [address, known] of byAddress) {
      if (known === link) byAddress.delete(address);
    }
  }

  function open(address: string): Link {
    const at = address.lastIndexOf(':');
    const host = address.slice(0, at);
    const port = Number(address.slice(at + 1));
    const keys = options.tls?.();
    const socket = keys
      ? tls.connect({
          host,
          port,
          ...keys,
          // Instances are known by their authority, not by their numbers.
          checkServerIdentity: () => undefined,
        })
      : net.connect({host, port});
    const link = adopt(socket, address);
    byAddress.set(address, link);
    const timer = clock.after(limits.connectMs, () =>
      fail(link, 'no connection in time'),
    );
    const connected = keys ? 'secureConnect' : 'connect';
    socket.once(connected, () => timer.dispose());
    socket.once('close', () => timer.dispose());
    return link;
  }

  function closeOld(): void {
    const now = clock.now();
    for (const link of [...links]) {
      const {unansweredSince, lastUsedAt} = link;
      const silent =
        unansweredSince !== undefined &&
        now - unansweredSince > limits.responseTimeoutMs;
      if (silent) fail(link, 'silent');
      else if (now - lastUsedAt > limits.idleMs) {
        forget(link);
        link.socket.end();
      }
    }
  }

  const server = listener(options.tls, socket => {
    if (disposed) socket.destroy();
    else adopt(socket, undefined);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve());
  });
  const {port} = server.address() as net.AddressInfo;
  own = `${options.host}:${port}`;
  const sweeping = sweep(clock, limits.responseTimeoutMs, closeOld);

  class TcpTransport extends PeerTransport<M> {
    readonly address = own;

    get traffic(): PeerTraffic {
      return {sentBytes, receivedBytes, sentMessages, links: links.size};
    }

    send(address: string, message: M): void {
      if (disposed) return;
      const link = byAddress.get(address) ?? open(address);
      const now = clock.now();
      link.unansweredSince ??= now;
      link.lastUsedAt = now;
      sentMessages++;
      write(link, encodeFrame(message));
    }

    dispose(): void {
      disposed = true;
      sweeping.dispose();
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

function listener(
  keys: (() => PeerTls) | undefined,
  onSocket: (socket: net.Socket) => void,
): net.Server {
  if (!keys) return net.createServer(onSocket);
  const settings = {requestCert: true, rejectUnauthorized: true};
  const server = tls.createServer({...settings, ...keys()}, onSocket);
  // Each new link is answered with the keys as they are at that time.
  server.prependListener('connection', () => {
    server.setSecureContext({...settings, ...keys()});
  });
  server.on('tlsClientError', () => {});
  return server;
}

/** Calls `look` every `everyMs` until disposed. */
function sweep(clock: Clock, everyMs: number, look: () => void): Disposable {
  let timer: Disposable;
  const next = () => {
    timer = clock.after(everyMs, () => {
      look();
      next();
    });
  };
  next();
  return {dispose: () => timer.dispose()};
}
