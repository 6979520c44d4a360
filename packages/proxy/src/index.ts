/** Public exports of `@quetzalreel/proxy`. */
export {type Log, createLog} from './log.js';
export {type Metrics, serveMetrics} from './metrics.js';
export {type Proxy, type ProxyOptions, startProxy} from './proxy.js';
export {
  Catalog,
  type GroupPolicy,
  type ListedEndpoint,
  ReadRule,
  type Route,
  type RoutingTable,
} from './routes.js';
