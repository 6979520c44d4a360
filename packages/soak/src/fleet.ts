/** Stand-ins, daemons and the proxies between them. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  type StandinPlatform,
  type StandinRoute,
  standinPlatform,
  connectingClientName,
} from '@quetzalreel/platform-adapter/standin';
import {type SoakInstance, startInstance} from './instance.js';
import {type Loopback, startLoopback} from './loopback.js';

/** Names of the groups. */
export const GROUPS = ['g1', 'g2'] as const;
const ENDPOINTS_OF_GROUP = 3;
const DATA_CENTRES = ['z-1', 'z-2', 'z-3'] as const;
/** Longest wait until all instances take callers, in milliseconds: at least
 * this, and so much for each, since all start on one machine. */
const START_MS = 30_000;
const START_EACH_MS = 600;
/** What a transaction may rest, in milliseconds. */
const REST_MS = 800;
/** Longest time of a statement, in milliseconds. */
const STATEMENT_MS = 800;
/** Lag of the replicas, in milliseconds. */
const LAG_MS = 30;
/** Instances that an address of four bytes has room for. */
const MAX_INSTANCES = 250;

/** Sizes of a fleet. */
export interface FleetOptions {
  readonly instances: number;
  /** Connections that an endpoint takes from all instances together. */
  readonly maxConnections: number;
  /** Whether the platform checks fences, so that a replaced primary stops. */
  readonly checksFences: boolean;
}

/** A running fleet. */
export interface SoakFleet {
  readonly platform: StandinPlatform;
  readonly instances: readonly SoakInstance[];
  /** Ids of all endpoints. */
  readonly endpoints: readonly string[];
  /** Links of instances, by their names, to an endpoint. */
  linksTo(endpoint: string): Loopback;
  /** Instances that ended without being asked to. */
  readonly ownEnds: readonly string[];
  /** Adds a route and puts a new configuration in force; its version. */
  configure(): number;
  /** The database that came with a version. */
  databaseOf(version: number): string;
  /** Folder of logs and settings. */
  readonly folder: string;
  /** Ends all processes; keeps the logs when asked to. */
  end(keepLogs: boolean): Promise<void>;
}

/** Databases that callers use; one of each kind for a group. */
export const databasesOf = (group: string) => ({
  primary: `pri-${group}`,
  bounded: `bnd-${group}`,
  own: `own-${group}`,
});

/** Age that reads of the bounded database may have, in milliseconds. */
export const BOUNDED_MS = 1500;
/** The same for reads of others' rows where a session sees its own. */
export const OWN_MS = 2500;

function firstRoutes(): StandinRoute[] {
  const routes: StandinRoute[] = [];
  for (const group of GROUPS) {
    const {primary, bounded, own} = databasesOf(group);
    const rest = {group, timeoutMs: STATEMENT_MS};
    routes.push(
      {...rest, database: primary, kind: 'primary'},
      {
        ...rest,
        database: bounded,
        kind: 'bounded',
        maxStalenessMs: BOUNDED_MS,
      },
      {...rest, database: own, kind: 'own', maxStalenessMs: OWN_MS},
    );
  }
  return routes;
}

let addressesUsed = 0;

/** An address on loopback that no other soak uses, from this process's id; the
 * runs of one soak take turns. */
function nextAddress(): string {
  const {pid} = process;
  const last = (addressesUsed++ % MAX_INSTANCES) + 1;
  return `127.${100 + ((pid >> 8) & 127)}.${pid & 255}.${last}`;
}

/** Starts a fleet and waits until all instances take callers. */
export async function startFleet(options: FleetOptions): Promise<SoakFleet> {
  if (options.instances > MAX_INSTANCES) {
    throw new Error(`no more than ${MAX_INSTANCES} instances; ask for fewer`);
  }
  const folder = mkdtempSync(path.join(tmpdir(), 'quetzalreel-soak-'));
  const links = new Map<string, Loopback>();
  const platform = await standinPlatform({
    groups: GROUPS.map(name => ({name, ids: idsOf(name)})),
    maxConnections: options.maxConnections,
    lagMs: LAG_MS,
    idleTransactionMs: REST_MS,
    checksFences: options.checksFences,
    addressOf: (id, port) => `127.0.0.1:${links.get(id)?.port ?? port}`,
  });
  for (const [id, {port}] of platform.endpoints) {
    const nameOf = connectingClientName;
    links.set(id, await startLoopback({host: '127.0.0.1', port, nameOf}));
    platform.writeEntry(id);
  }
  const routes = firstRoutes();
  let version = 1;
  platform.configure(version, routes);
  const ownEnds: string[] = [];
  const instances: SoakInstance[] = [];
  for (let i = 0; i < options.instances; i++) {
    const instance = await startInstance({
      name: `instance-${i + 1}`,
      ip: nextAddress(),
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      storePort: platform.store.port,
      checksFences: options.checksFences,
      folder,
      onUnexpectedExit: name => ownEnds.push(name),
    });
    instances.push(instance);
  }

  async function end(keepLogs: boolean): Promise<void> {
    await Promise.all(instances.map(instance => instance.end()));
    for (const link of links.values()) link.dispose();
    platform.dispose();
    if (!keepLogs) rmSync(folder, {recursive: true, force: true});
  }

  const startMs = Math.max(START_MS, options.instances * START_EACH_MS);
  const until = performance.now() + startMs;
  while (!instances.every(({inRotation}) => inRotation)) {
    if (performance.now() > until) {
      await end(true);
      throw new Error(`not all instances started; see the logs in ${folder}`);
    }
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  const databaseOf = (of: number) => `rt-${of}`;
  return {
    platform,
    instances,
    endpoints: [...platform.endpoints.keys()],
    linksTo: endpoint => links.get(endpoint)!,
    ownEnds,
    databaseOf,
    configure() {
      version++;
      routes.push({
        database: databaseOf(version),
        kind: 'own',
        group: GROUPS[0],
        timeoutMs: STATEMENT_MS,
        maxStalenessMs: OWN_MS,
      });
      platform.configure(version, routes);
      return version;
    },
    folder,
    end,
  };
}

function idsOf(group: string): string[] {
  const ids: string[] = [];
  for (let i = 1; i <= ENDPOINTS_OF_GROUP; i++) ids.push(`${group}-${i}`);
  return ids;
}
