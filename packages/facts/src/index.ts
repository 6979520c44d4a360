/** Public exports of `@quetzalreel/facts`. */
export {startFeed} from './feed.js';
export {
  type Feed,
  type FeedContext,
  type FeedEvent,
  type FeedMessage,
  type FeedTimes,
  type FollowedKind,
  type KeptObjects,
} from './feed-types.js';
export {
  type KindCopy,
  type KindDelta,
  type Merge,
  deltaOf,
  mergeDelta,
  wholeCopy,
} from './kind-copy.js';
export {
  type FactMessage,
  type KindReading,
  type ReaderBeat,
  type VersionByKind,
  hasFactType,
  isFactMessage,
} from './messages.js';
export {type OverlayInstance, linksOf} from './overlay.js';
export {
  type HeardReader,
  type PreferenceOf,
  type ReaderLimits,
  type ReaderRole,
  nextRole,
} from './reader-role.js';
