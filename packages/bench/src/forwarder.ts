/** A TCP forwarder to a local port that can refuse or freeze connections. */
import net from 'node:net';
import type {Disposable} from '@quetzalreel/common';

const HOST = '127.0.0.1';

/**
 * How a forwarder treats its connections: `refuse` closes them, `freeze` keeps
 * them open and discards their data.
 */
export type ForwarderMode = 'pass' | 'refuse' | 'freeze';

/** A running forwarder. */
export interface FaultyForwarder extends Disposable {
  readonly port: number;
  /** Setting it closes all open connections, except for `freeze`. */
  mode: ForwarderMode;
}

/** Starts a forwarder to the local port `targetPort`. */
export async function startForwarder(
  targetPort: number,
): Promise<FaultyForwarder> {
  const sockets = new Set<net.Socket>();
  let mode: ForwarderMode = 'pass';
  const server = net.createServer(inbound => {
    const outbound = net.connect(targetPort, HOST);
    const pair: Array<[net.Socket, net.Socket]> = [
      [inbound, outbound],
      [outbound, inbound],
    ];
    for (const [from, to] of pair) {
      sockets.add(from);
      from.on('error', () => to.destroy());
      from.on('close', () => {
        sockets.delete(from);
        to.destroy();
      });
      // Frozen data is discarded, as by a router that lost the connection's
      // state, and not delivered later.
      from.on('data', chunk => {
        if (mode === 'pass') to.write(chunk);
      });
    }
    if (mode === 'refuse') inbound.destroy();
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return {
    port: (server.address() as net.AddressInfo).port,
    get mode() {
      return mode;
    },
    set mode(next) {
      mode = next;
      if (next === 'freeze') return;
      for (const socket of sockets) socket.destroy();
    },
    dispose() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
