/** Public exports of `@quetzalreel/group`. */
export {type PendingAck, isOnMajority, settleAcks} from './acks.js';
export {type Chart, readChart} from './chart.js';
export {
  type FailoverContext,
  type FailoverEffect,
  type FailoverLimits,
  type FailoverResult,
  type FailoverState,
  type FailoverStep,
  initialFailover,
} from './failover-state.js';
export {
  type AttemptCall,
  advanceFailover,
  startPlannedFailover,
  recordPeerSuspicion,
  handlePromise,
  handlePromotion,
  handleRefusal,
  replicasNotFollowing,
  handleUnanswered,
} from './failover.js';
export {majorityFloor} from './floor.js';
export {initialGroup, stepGroup} from './group.js';
export type {
  GroupEffect,
  GroupEvent,
  GroupLimits,
  GroupResult,
  GroupState,
} from './group-events.js';
export {
  LEAVING_LIMITS,
  type LeavingState,
  isClosed,
  initialLeaving,
  updateLeaving,
  plannedTarget,
  closeOverdue,
} from './leaving.js';
export {
  type DrainOutcome,
  WaitsFor,
  type OfferResult,
  type QueueLimits,
  type RequestQueue,
  dequeue,
  drain,
  emptyQueue,
  enqueue,
  needOf,
  queuedRequests,
} from './queue.js';
export {
  type Grant,
  type GroupRequest,
  RoutingReason,
  RefusalReason,
} from './request.js';
export {
  type EndpointChoice,
  type RequestWithFloor,
  chooseEndpoint,
} from './routing.js';
export {type PeerSuspicion} from './suspicion.js';
export {
  type EndpointView,
  type GroupView,
  Responsiveness,
  currentAsOf,
  highestTerm,
  primaryOf,
  viewOf,
  withEndpoint,
  withFailure,
  withStatus,
  writablePrimary,
} from './view.js';
