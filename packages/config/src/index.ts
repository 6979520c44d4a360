/** Public exports of `@quetzalreel/config`. */
export {
  AckRule,
  type CallerConfig,
  type Configuration,
  DEFAULT_READ,
  DEFAULT_WRITE,
  type EndpointConfig,
  type GroupConfig,
  type KindConfig,
} from './configuration.js';
export {
  ConfigurationError,
  type ConfigurationProblem,
  parseConfiguration,
} from './schema.js';
