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
  RevisionConflictError,
  StoreUnavailableError,
} from './kind-store.js';
