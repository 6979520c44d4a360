/** Public exports of `@quetzalreel/pool`. */
export {type ConnectionPool, type PoolTimes, connectionPool} from './pool.js';
export {
  type PoolEffect,
  type PoolEvent,
  type PoolLimits,
  type PoolRequest,
  type PoolResult,
  type PoolState,
  type PooledConnection,
  ConnectionStatus,
  initialPool,
  stepPool,
} from './pool-state.js';
