/** Starts stand-ins and daemons as separate processes for trials. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {FaultRequest} from '@quetzalreel/standin';

/** Process and addresses of an endpoint. */
export interface FleetEndpoint {
  readonly name: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly pid: number;
  /** URL of its fault interface. */
  readonly control: string;
  readonly dataCentre: string;
}

/** Process and addresses of a daemon. */
export interface FleetProxy {
  readonly host: string;
  readonly port: number;
  readonly admin: number;
  /** Address at which other daemons connect to it. */
  readonly peer: string;
  readonly pid: number;
}

/** Size and settings of a fleet. */
export interface FleetSizes {
  readonly proxies: number;
  /** Names of the groups, each of three databases. */
  readonly groups: readonly string[];
  readonly dataCentres: readonly string[];
  readonly slots: number;
  readonly connections: number;
  /** Milliseconds that a new connection to a database takes. */
  readonly connectMs: number;
  readonly lagMs: number;
  readonly serviceMs: number;
  readonly distanceMs: number;
  /** Request kinds of the configuration. */
  readonly kinds: readonly unknown[];
  /** File for the standard error of all processes; undefined discards it. */
  readonly logFile?: string;
  readonly logLevel?: string;
}

/** A running fleet. */
export interface Fleet {
  readonly proxies: readonly FleetProxy[];
  readonly endpoints: readonly FleetEndpoint[];
  readonly platform: {
    readonly url: string;
    readonly pid: number;
    readonly control: string;
  };
  /** Sets faults on an endpoint and returns its state. */
  fault(endpoint: string, faults: FaultRequest): Promise<EndpointState>;
  /** Sets faults on the platform. */
  platformFault(faults: Record<string, unknown>): Promise<unknown>;
  signal(pid: number, signal: NodeJS.Signals): void;
  /** Kills all processes. */
  stop(): Promise<void>;
}

/** State returned by an endpoint's fault interface. */
export interface EndpointState {
  readonly status: {
    readonly role: string;
    readonly term: number;
    readonly last: {readonly term: number; readonly offset: number};
  };
  readonly connections: number;
  readonly mostConnections: number;
  readonly running: number;
  readonly waiting: number;
}

const HOST = '127.0.0.1';
const ENDPOINTS_PER_GROUP = 3;
const scriptPath = (from: string, name: string) =>
  fileURLToPath(new URL(name, import.meta.resolve(from)));
const DATABASE = scriptPath('@quetzalreel/standin', 'database-main.js');
const PLATFORM = scriptPath('@quetzalreel/standin', 'platform-main.js');
const DAEMON = scriptPath('@quetzalreel/daemon', 'main.js');

/** Starts a fleet on the loopback interface. */
export async function startFleet(sizes: FleetSizes): Promise<Fleet> {
  const children: ChildProcess[] = [];
  const logs = sizes.logFile ? createWriteStream(sizes.logFile) : undefined;

  async function launch<Ports>(
    file: string,
    args: readonly string[],
  ): Promise<{ports: Ports; pid: number}> {
    const child = spawn(process.execPath, [file, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.push(child);
    if (logs) child.stderr.pipe(logs, {end: false});
    else child.stderr.resume();
    const lines = createInterface({input: child.stdout});
    const ports = await new Promise<Ports>((resolve, reject) => {
      lines.once('line', line => resolve(JSON.parse(line) as Ports));
      child.once('exit', code => reject(new Error(`${file} ended: ${code}`)));
    });
    return {ports, pid: child.pid!};
  }

  async function launchDatabase(
    group: string,
    index: number,
    upstreamPort: number | undefined,
  ): Promise<FleetEndpoint> {
    const name = `${group}-${index + 1}`;
    const delays = {
      'lag-ms': sizes.lagMs,
      'service-ms': sizes.serviceMs,
      'distance-ms': sizes.distanceMs,
      'connect-ms': sizes.connectMs,
      slots: sizes.slots,
      connections: sizes.connections,
      ...(upstreamPort === undefined ? {} : {'upstream-port': upstreamPort}),
    };
    const args = Object.entries(delays).flatMap(([flag, value]) => [
      `--${flag}`,
      String(value),
    ]);
    const {ports, pid} = await launch<{port: number; control: number}>(
      DATABASE,
      ['--name', name, ...args],
    );
    return {
      name,
      group,
      host: HOST,
      port: ports.port,
      pid,
      control: `http://${HOST}:${ports.control}/`,
      dataCentre: sizes.dataCentres[index % sizes.dataCentres.length]!,
    };
  }

  async function launchGroup(group: string): Promise<FleetEndpoint[]> {
    const primary = await launchDatabase(group, 0, undefined);
    const replicas: Array<Promise<FleetEndpoint>> = [];
    for (let i = 1; i < ENDPOINTS_PER_GROUP; i++) {
      replicas.push(launchDatabase(group, i, primary.port));
    }
    return [primary, ...(await Promise.all(replicas))];
  }

  async function launchProxy(index: number, url: string): Promise<FleetProxy> {
    const {ports, pid} = await launch<{
      port: number;
      admin: number;
      peer: string;
    }>(DAEMON, [
      ...['--instance', `proxy-${index + 1}`],
      ...[
        '--data-centre',
        sizes.dataCentres[index % sizes.dataCentres.length]!,
      ],
      ...['--port', '0', '--admin-port', '0', '--peer-port', '0'],
      ...['--platform-url', url],
      ...['--instances', String(sizes.proxies)],
      ...['--log-level', sizes.logLevel ?? 'info'],
    ]);
    return {host: HOST, ...ports, pid};
  }

  const platform = await launch<{port: number}>(PLATFORM, []);
  const url = `http://${HOST}:${platform.ports.port}`;
  const endpointsByGroup = await Promise.all(sizes.groups.map(launchGroup));
  const endpoints = endpointsByGroup.flat();
  await putConfiguration(url, sizes, endpoints);
  const proxies = await Promise.all(
    Array.from({length: sizes.proxies}, (_, i) => launchProxy(i, url)),
  );

  const instances = proxies.map((proxy, i) => ({
    id: `proxy-${i + 1}`,
    address: proxy.peer,
    dataCentre: sizes.dataCentres[i % sizes.dataCentres.length]!,
    leaving: false,
  }));
  await post(`${url}/control`, {instances});

  return {
    proxies,
    endpoints,
    platform: {url, pid: platform.pid, control: `${url}/control`},
    async fault(name, faults) {
      const endpoint = endpoints.find(item => item.name === name)!;
      return (await post(endpoint.control, faults)) as EndpointState;
    },
    platformFault: faults => post(`${url}/control`, {faults}),
    signal: (pid, signal) => process.kill(pid, signal),
    async stop() {
      for (const child of children) {
        child.removeAllListeners('exit');
        child.kill('SIGKILL');
      }
      logs?.end();
    },
  };
}

async function putConfiguration(
  url: string,
  sizes: FleetSizes,
  endpoints: readonly FleetEndpoint[],
): Promise<void> {
  const groups = sizes.groups.map(name => ({
    name,
    endpoints: endpoints
      .filter(endpoint => endpoint.group === name)
      .map(endpoint => ({
        name: endpoint.name,
        host: endpoint.host,
        port: endpoint.port,
        dataCentre: endpoint.dataCentre,
        slots: sizes.slots,
        connections: sizes.connections,
      })),
  }));
  const cfg = {generation: 1, changeId: 'first', groups, kinds: sizes.kinds};
  const res = await fetch(`${url}/objects/configuration`, {
    method: 'PUT',
    headers: {'If-None-Match': '*'},
    body: JSON.stringify(cfg),
  });
  if (!res.ok) throw new Error(`configuration refused: ${res.status}`);
}

async function post(url: string, body: unknown): Promise<unknown> {
  const res = await fetch(url, {method: 'POST', body: JSON.stringify(body)});
  return res.json();
}
