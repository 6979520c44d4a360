/** Public exports of `@quetzalreel/membership`. */
export {CHANGES_PER_MESSAGE} from './changes.js';
export {type MemberRecord, MemberStatus, isLive, supersedes} from './member.js';
export {stepMembership} from './membership.js';
export type {
  Change,
  ConfigMark,
  PeerMessage,
  Purpose,
  SuspectedPrimary,
  SuspicionReport,
} from './messages.js';
export {type Random, drawSome, seededRandom} from './random.js';
export {
  type MembershipEffect,
  type MembershipEvent,
  type MembershipLimits,
  type MembershipResult,
  type MembershipState,
  initialMembership,
  liveMembers,
  livePeers,
} from './state.js';
export {isPeerMessage} from './check-message.js';
export {
  type EndpointShare,
  type Loan,
  type ShareEffect,
  type ShareEvent,
  type ShareLimits,
  type ShareResult,
  type ShareState,
  type SharedEndpoint,
  type TextHash,
  allowed,
  initialShares,
  shareOf,
  stepShares,
} from './shares.js';
