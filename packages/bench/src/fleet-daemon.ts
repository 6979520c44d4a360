/** Starts and queries daemons in separate processes, for `fleet-trial`. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const HOST = '127.0.0.1';
const DAEMON = fileURLToPath(
  new URL('main.js', import.meta.resolve('@quetzalreel/daemon')),
);

/** A daemon in a separate process. */
export interface DaemonProcess {
  readonly child: ChildProcess;
  readonly admin: number;
  readonly peer: string;
}

/** Starts a daemon that uses the platform at `platformPort`. */
export async function startDaemon(
  index: number,
  platformPort: number,
): Promise<DaemonProcess> {
  const flags = {
    instance: `node-${index}`,
    'data-centre': ['recife', 'fortaleza', 'natal'][index % 3]!,
    port: '0',
    'admin-port': '0',
    'peer-port': '0',
    'platform-url': `http://${HOST}:${platformPort}`,
    'log-level': 'fatal',
  };
  const args = Object.entries(flags).flatMap(([flag, value]) => [
    `--${flag}`,
    value,
  ]);
  const child = spawn(process.execPath, [DAEMON, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines = createInterface({input: child.stdout});
  const line = await new Promise<string>((resolve, reject) => {
    lines.once('line', resolve);
    child.once('exit', code => reject(new Error(`daemon ended: ${code}`)));
  });
  const {admin, peer} = JSON.parse(line) as {admin: number; peer: string};
  return {child, admin, peer};
}

/** Part of a daemon's response to `/state`. */
export interface DaemonState {
  readonly generation: number;
  readonly members: ReadonlyArray<{readonly status: string}>;
  readonly control: {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly sentMessages: number;
    readonly links: number;
  };
}

/** Fetches the state of a daemon. */
export async function stateOf(daemon: DaemonProcess): Promise<DaemonState> {
  const res = await fetch(`http://${HOST}:${daemon.admin}/state`);
  return (await res.json()) as DaemonState;
}

/** Fetches a daemon's metrics that have no labels; returns values by name. */
export async function metricsOf(
  daemon: DaemonProcess,
): Promise<Map<string, number>> {
  const res = await fetch(`http://${HOST}:${daemon.admin}/metrics`);
  const values = new Map<string, number>();
  for (const line of (await res.text()).split('\n')) {
    const [name, value] = line.split(' ');
    if (name && !name.startsWith('#')) values.set(name, Number(value));
  }
  return values;
}
