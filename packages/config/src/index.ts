/** Public exports of `@quetzalreel/config`. */
export {
  AckRule,
  type CallerConfig,
  type ChangeRecord,
  type Configuration,
  DEFAULT_READ_KIND,
  DEFAULT_WRITE_KIND,
  type EndpointConfig,
  type GroupConfig,
  type KindConfig,
} from './configuration.js';
export {configurationWarnings} from './cross-checks.js';
export {
  type FollowerEffect,
  type FollowerEvent,
  type FollowerResult,
  type FollowerState,
  type ConfigInForce,
  ConfigSource,
  initialFollower,
  stepFollower,
} from './follower.js';
export {digestOf} from './digest.js';
export {type PlatformIntervals, scaleToFleet} from './platform-intervals.js';
export {
  ConfigurationError,
  type ConfigurationProblem,
  formatProblem,
} from './problems.js';
export {hashSecret, verifySecret} from './secret.js';
export {parseConfiguration} from './schema.js';
