/** Public exports of `@quetzalreel/peer-queries`. */
export {
  type ChangeQueries,
  type ChangeQueryContext,
  type ChangeSource,
  type PeerAddress,
  changeQueries,
} from './change-queries.js';
export {
  type ChangeMessage,
  type PeerQueryMessage,
  hasPeerQueryType,
  isPeerQueryMessage,
} from './messages.js';
export {
  NO_INSTANCES,
  type Presence,
  updatePresence,
  presentInstances,
  entriesToRemove,
} from './presence.js';
export {
  type InstanceRegistration,
  type InstanceSnapshot,
  type WrittenEntry,
  INSTANCE_KIND,
  INSTANCE_SELECTION,
  type ListedInstance,
  type InstanceLocation,
  instanceRegistration,
  parseListedInstance,
  listInstances,
  removeEntry,
} from './instance-registry.js';
export {type Answers, Verdict, verdictOf} from './verdict.js';
export {
  type ConfirmedPosition,
  type ReachabilityResult,
  type PeerQueryContext,
  type PeerQuerySource,
  type PeerQueries,
  peerQueries,
} from './peer-queries.js';
