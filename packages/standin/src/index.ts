/** Public exports of `@quetzalreel/standin`. */
export {
  type Database,
  SqlError,
  type Upstream,
  database,
  waitPast,
} from './database.js';
export type {FaultRequest} from './database-control.js';
export {type DatabaseFaults, noFaults} from './faults.js';
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
export {session} from './session.js';
export {slots} from './slots.js';
