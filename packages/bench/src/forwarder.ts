/** A way to a port of this machine that can fail for those who use it. */
import net from 'node:net';
import type {Disposable} from '@quetzalreel/common';

const HOST = '127.0.0.1';

/** What may happen to connections through a gate. */
export type GateMode = 'pass' | 'refuse' | 'freeze';

/** A way to the platform that can fail for those who use it. */
export interface Gate extends Disposable {
  readonly port: number;
  mode: GateMode;
}

/** Opens a way to the port `target` of this machine. */
export async function openGate(target: number): Promise<Gate> {
  const sockets = new Set<net.Socket>();
  let mode: GateMode = 'pass';
  const server = net.createServer(near => {
    const far = net.connect(target, HOST);
    const pair: Array<[net.Socket, net.Socket]> = [
      [near, far],
      [far, near],
    ];
    for (const [from, to] of pair) {
      sockets.add(from);
      from.on('error', () => to.destroy());
      from.on('close', () => {
        sockets.delete(from);
        to.destroy();
      });
      // What was frozen is lost, as behind a router that forgot the pair.
      from.on('data', chunk => {
        if (mode === 'pass') to.write(chunk);
      });
    }
    if (mode === 'refuse') near.destroy();
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
