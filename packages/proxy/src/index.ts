/** Public exports of `@quetzalreel/proxy`. */
export {ANSWER_LIMITS, SESSION_LIMITS} from './defaults.js';
export {type LogWriter, logWriter, standardOutput} from './log-writer.js';
export {type Log, type LogTarget, createLog} from './log.js';
export {type Metrics, serveMetrics} from './metrics.js';
export {type Proxy, type ProxyOptions, startProxy} from './proxy.js';
export {
  StoreFormat,
  type GroupPolicy,
  type ListedEndpoint,
  ReadRule,
  type Route,
  type RoutingTable,
} from './routes.js';
