/** Public exports of `@quetzalreel/daemon`. */
export {type Daemon, startDaemon} from './daemon.js';
export {type Settings, SettingError, checkSettings} from './settings.js';
export {type FleetContext, type FleetHandle, joinFleet} from './fleet-actor.js';
export {type Log, createLog} from './log.js';
