/**
 * Passes the bytes of connections on, between an instance that can't reach an
 * endpoint and the endpoint. The first frame names the endpoint; everything
 * behind it belongs to the protocol of the two ends.
 */
import net from 'node:net';
import {type Disposable, messageOf} from '@quetzalreel/common';
import {encodeFrame, frameDecoder} from '@quetzalreel/peer';

/** A host and a port. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** What a relay works with. */
export interface RelayOptions {
  readonly host: string;
  /** Port to listen on; 0 takes a free one. */
  readonly port: number;
  /** Whether bytes may be passed on to a target: only to endpoints. */
  readonly allows: (target: Target) => boolean;
  /** Told why a connection was not, or is no longer, passed on. */
  readonly onEnd: (target: Target | undefined, why: string) => void;
}

/** A running relay. */
export interface Relay extends Disposable {
  readonly port: number;
  /** Connections that are passed on now. */
  readonly connections: number;
}

/** Largest first frame, in bytes: an address and little more. */
const MAX_HEAD_BYTES = 512;

function isTarget(value: unknown): value is Target {
  if (typeof value !== 'object' || value === null) return false;
  const {host, port} = value as Partial<Target>;
  return typeof host === 'string' && Number.isInteger(port);
}

/** Starts a relay. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.setNoDelay(true);
    readHead(socket);
  });

  function refuse(socket: net.Socket, why: string): void {
    options.onEnd(undefined, why);
    socket.destroy();
  }

  /** Reads the first frame; what comes with it is already the endpoint's. */
  function readHead(socket: net.Socket): void {
    const decoder = frameDecoder(MAX_HEAD_BYTES);
    socket.on('error', () => socket.destroy());
    socket.once('data', chunk => {
      socket.pause();
      let head: unknown;
      try {
        head = decoder.push(chunk)[0];
      } catch (err) {
        refuse(socket, messageOf(err));
        return;
      }
      if (!isTarget(head)) refuse(socket, 'the first frame names no endpoint');
      else if (!options.allows(head)) refuse(socket, 'not an endpoint');
      else passOn(socket, head);
    });
  }

  function passOn(socket: net.Socket, target: Target): void {
    const {host, port} = target;
    const onward = net.connect({host, port});
    sockets.add(onward);
    onward.setNoDelay(true);
    // Told before anything of the endpoint, so that the asker starts then.
    onward.once('connect', () => {
      socket.write(encodeFrame({connected: true}));
      socket.pipe(onward);
      onward.pipe(socket);
    });
    onward.on('error', err => {
      options.onEnd(target, messageOf(err));
      onward.destroy();
    });
    onward.on('close', () => {
      sockets.delete(onward);
      socket.destroy();
    });
    socket.on('close', () => onward.destroy());
  }

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve());
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    get connections() {
      return sockets.size;
    },
    dispose() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/**
 * A socket to `target` through the relay at `via`, usable once the promise
 * resolves. Destroying `socket` gives up. Rejects when the relay refuses.
 */
export function dialThrough(via: Target, target: Target): RelayedSocket {
  const socket = net.connect(via);
  const decoder = frameDecoder(MAX_HEAD_BYTES);
  const {host, port} = target;
  socket.setNoDelay(true);
  socket.write(encodeFrame({host, port}));
  const connected = new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.once('close', () => reject(new Error('the relay closed')));
    socket.once('data', chunk => {
      try {
        // The endpoint says nothing before it is asked, so the chunk holds
        // the relay's frame alone.
        if (decoder.push(chunk).length === 1) resolve();
        else socket.destroy();
      } catch (err) {
        reject(err as Error);
      }
    });
  });
  return {socket, connected};
}

/** A socket that a relay passes on. */
export interface RelayedSocket {
  readonly socket: net.Socket;
  readonly connected: Promise<void>;
}
