/** Public exports of `@quetzalreel/common`. */
export {
  Clock,
  type Disposable,
  ManualClock,
  manualClock,
  systemClock,
} from './clock.js';
export {type ChunkBuffer, chunkBuffer} from './chunk-buffer.js';
export {type HostPort, parseAddress} from './address.js';
export {TypedError, messageOf} from './errors.js';
export {afterPendingReads} from './pending-reads.js';
export {hashFraction, hashOf, rankOf} from './rank.js';
export {type DisposableStore, disposableStore} from './store.js';
