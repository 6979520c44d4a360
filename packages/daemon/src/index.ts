/** Public exports of `@quetzalreel/daemon`. */
export {type Daemon, startDaemon} from './daemon.js';
export {type Settings, SettingError, checkSettings} from './settings.js';
