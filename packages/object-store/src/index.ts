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
  unreadableObject,
} from './kind-store.js';
export {isNestedTooDeep} from './nesting.js';
export {
  MAX_TEXT_LENGTH,
  NESTED_TOO_DEEP,
  SCALAR,
  type Selection,
  contentsOf,
  listOf,
  recordOf,
  scalarsOf,
  select,
} from './selection.js';
export {type SelectionDecoder, selectionDecoder} from './selection-decoder.js';
export {type EraListener, type StoreEra, storeEra} from './store-era.js';
