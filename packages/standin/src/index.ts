/** Public exports of `@quetzalreel/standin`. */
export {type Database, SqlError, type Upstream, database} from './database.js';
export type {FaultRequest} from './database-control.js';
export type {DatabaseFaults} from './faults.js';
export {
  type Change,
  type LogRecord,
  replicatedLog,
  sharedLength,
} from './log.js';
export {
  type PlatformFaults,
  type PlatformServer,
  platformServer,
} from './platform-server.js';
export {
  type RunDatabaseOptions,
  type RunningDatabase,
  runDatabase,
} from './run-database.js';
