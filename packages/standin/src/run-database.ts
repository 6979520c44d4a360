/** Starts a stand-in database with its server, control and replication. */
import {type Database, type Upstream, database} from './database.js';
import {databaseControl} from './database-control.js';
import {
  type DatabaseServer,
  type DatabaseSizes,
  databaseServer,
} from './database-server.js';
import {type DatabaseFaults, noFaults} from './faults.js';
import {followUpstream} from './replication.js';

/** Settings of a stand-in database. */
export interface RunDatabaseOptions extends DatabaseSizes {
  readonly name: string;
  /** Port for clients; 0 picks a free port. */
  readonly port: number;
  readonly upstream: Upstream | undefined;
  readonly lagMs: number;
  readonly serviceMs: number;
  readonly distanceMs: number;
}

/** A running stand-in database. */
export interface RunningDatabase {
  readonly db: Database;
  readonly server: DatabaseServer;
  readonly faults: DatabaseFaults;
  readonly controlPort: number;
  /** Stops replication and the server for good. */
  close(): Promise<void>;
}

/** Starts a database in this process. */
export async function runDatabase(
  options: RunDatabaseOptions,
): Promise<RunningDatabase> {
  const db = database({
    name: options.name,
    upstream: options.upstream,
    now: () => performance.now(),
  });
  const faults = noFaults(options);
  const server = await databaseServer(db, faults, options, options.port);
  const controlPort = await databaseControl(db, server, faults, 0);
  const stopFollowing = followUpstream(options.name, db, faults);
  const close = async () => {
    stopFollowing();
    await server.fail();
  };
  return {db, server, faults, controlPort, close};
}
