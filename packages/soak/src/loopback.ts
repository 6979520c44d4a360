/**
 * A transparent TCP proxy on loopback that injects network faults: delay,
 * resets, bytes held back in one direction or both, and connections that stop
 * forwarding permanently while new ones work.
 */
import net from 'node:net';
import type {Disposable} from '@quetzalreel/common';

/** Faults on the links of one client. */
export interface LinkFaults {
  /** Delay of each chunk in each direction, in milliseconds. */
  readonly delayMs: number;
  /** Holds back the bytes to the server. */
  readonly holdsThere: boolean;
  /** Holds back the bytes to the client. */
  readonly holdsBack: boolean;
}

/** Links without a fault. */
export const NO_FAULTS: LinkFaults = {
  delayMs: 0,
  holdsThere: false,
  holdsBack: false,
};

/** The server that a proxy forwards to. */
export interface LoopbackOptions {
  readonly host: string;
  readonly port: number;
  /** Returns the client's name from the first chunk that it sends; undefined
   * if the chunk doesn't contain one. The name is then '', and so it is for all
   * links when this function is missing. */
  readonly nameOf?: (first: Buffer) => string | undefined;
}

/** A running proxy. */
export interface Loopback extends Disposable {
  readonly port: number;
  /** Sets the faults of a client's current and future links. */
  setFaults(client: string, faults: LinkFaults): void;
  /** Resets a client's current links. */
  reset(client: string): void;
  /** Stops forwarding on a client's current links permanently. */
  silence(client: string): void;
}

/** One direction of a link: forwards chunks in order, each after its delay. */
interface Direction {
  push(chunk: Buffer): void;
  /** Forwards the held chunks that the current faults allow. */
  wake(): void;
  end(): void;
}

interface Link {
  client: string;
  isSilent: boolean;
  readonly there: Direction;
  readonly back: Direction;
  reset(): void;
}

/** Resets a socket. One that is connecting or has been ended is destroyed
 * instead, because the runtime would keep it open after a reset. */
function resetSocket(socket: net.Socket): void {
  if (socket.destroyed) return;
  if (socket.connecting || socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Starts a proxy on a free port. */
export async function startLoopback(
  options: LoopbackOptions,
): Promise<Loopback> {
  const links = new Set<Link>();
  const faults = new Map<string, LinkFaults>();
  const faultsOf = ({client}: Link) => faults.get(client) ?? NO_FAULTS;

  function direction(
    to: net.Socket,
    link: () => Link,
    isHeld: (of: LinkFaults) => boolean,
  ): Direction {
    const queue: Array<{readonly chunk: Buffer | undefined; at: number}> = [];
    function send(): void {
      const {isSilent} = link();
      const now = performance.now();
      while (queue.length > 0 && !isSilent && !isHeld(faultsOf(link()))) {
        const {chunk, at} = queue[0]!;
        if (at > now) {
          setTimeout(send, at - now);
          return;
        }
        queue.shift();
        if (chunk) to.write(chunk);
        else to.end();
      }
    }
    function add(chunk: Buffer | undefined): void {
      queue.push({chunk, at: performance.now() + faultsOf(link()).delayMs});
      send();
    }
    return {push: add, wake: send, end: () => add(undefined)};
  }

  function serve(client: net.Socket): void {
    const server = net.connect({host: options.host, port: options.port});
    const link: Link = {
      client: '',
      isSilent: false,
      there: direction(
        server,
        () => link,
        ({holdsThere}) => holdsThere,
      ),
      back: direction(
        client,
        () => link,
        ({holdsBack}) => holdsBack,
      ),
      reset() {
        resetSocket(client);
        resetSocket(server);
      },
    };
    links.add(link);
    client.setNoDelay(true);
    server.setNoDelay(true);
    client.once('data', first => {
      link.client = options.nameOf?.(first) ?? '';
    });
    client.on('data', chunk => link.there.push(chunk));
    server.on('data', chunk => link.back.push(chunk));
    client.on('end', () => link.there.end());
    server.on('end', () => link.back.end());
    for (const socket of [client, server]) {
      // An error on one side resets the other side.
      socket.on('error', () => {
        if (!link.isSilent) link.reset();
      });
      socket.on('close', () => {
        // A silent link keeps its other socket open until the proxy is disposed.
        if (client.destroyed && server.destroyed) links.delete(link);
      });
    }
  }

  const server = net.createServer({allowHalfOpen: true}, serve);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const linksOf = (client: string) =>
    [...links].filter(link => link.client === client);
  return {
    port: (server.address() as net.AddressInfo).port,
    setFaults(client, next) {
      faults.set(client, next);
      for (const link of linksOf(client)) {
        link.there.wake();
        link.back.wake();
      }
    },
    reset(client) {
      for (const link of linksOf(client)) link.reset();
    },
    silence(client) {
      for (const link of linksOf(client)) link.isSilent = true;
    },
    dispose() {
      server.close();
      for (const link of links) link.reset();
    },
  };
}
