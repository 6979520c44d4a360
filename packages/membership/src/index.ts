/** Public exports of `@quetzalreel/membership`. */
export {MAX_CHANGES_PER_MESSAGE} from './change-queue.js';
export {type MemberRecord, MemberStatus, isLive, supersedes} from './member.js';
export {stepMembership} from './membership.js';
export type {
  GossipChange,
  ConfigSummary,
  PeerMessage,
  MessagePayload,
  SuspectedPrimary,
  SuspicionReport,
} from './messages.js';
export {type Random, pickRandom, seededRandom} from './random.js';
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
  type StringHash,
  allowedConnections,
  initialShares,
  shareOf,
  stepShares,
} from './shares.js';
