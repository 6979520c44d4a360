/** Public exports of `@quetzalreel/object-store`. */
export {
  ConflictError,
  type ListedInstance,
  PlatformClient,
  PlatformDownError,
  type StoredObject,
} from './client.js';
export {type HttpPlatformOptions, httpPlatformClient} from './http-client.js';
export {
  Freshness,
  HistoryGoneError,
  type KindChanges,
  type KindEvent,
  type KindObject,
  type KindSnapshot,
  KindStore,
  type ReadObject,
  RevisionConflictError,
  StoreUnavailableError,
  type StoreVersion,
  compareVersions,
  isRevision,
} from './kind-store.js';
export {isNestedTooDeep} from './nesting.js';
export {type EraListener, type StoreEra, storeEra} from './store-era.js';
