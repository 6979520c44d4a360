/** Public exports of `@quetzalreel/proxy`. */
export {
  type AccountDirectory,
  type AccountEntry,
  type ClientAccount,
  NO_ACCOUNT,
  accountDirectory,
} from './accounts.js';
export {ANSWER_LIMITS, SESSION_LIMITS} from './defaults.js';
export {
  type AccountDescription,
  type EndpointDescription,
  type EndpointVerdict,
  type ExplainQuery,
  type Explanation,
  type GroupDescription,
  type InstanceDescription,
  type Lag,
  type Outcome,
  type Rejection,
  StatementKind,
  WaitCause,
} from './explain-types.js';
export {type LogWriter, logWriter, standardOutput} from './log-writer.js';
export {type Log, type LogTarget, createLog} from './log.js';
export {type Metrics} from './metrics.js';
export {storeSelections} from './store-selections.js';
export type {Proxy, ProxyOptions} from './proxy-types.js';
export {startProxy} from './proxy.js';
export {
  StoreFormat,
  type GroupPolicy,
  type ListedEndpoint,
  ReadRule,
  type Route,
  type RoutingTable,
} from './routes.js';
