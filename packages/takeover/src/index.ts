/** Public exports of `@quetzalreel/takeover`. */
export {
  type ChangeContext,
  type ChangeEvent,
  type ChangeLimits,
  ChangeOutcome,
  type PrimaryChanger,
  primaryChanger,
} from './change.js';
export {
  type Candidate,
  type Patience,
  type PrimaryView,
  Reason,
  mostAdvanced,
  reasonToChange,
} from './decide.js';
export {
  LEASE_KIND,
  LEASE_NAME,
  type LeaseRecord,
  type LeaseStore,
  type PlannedChange,
  type SeenLease,
  leaseStore,
  readLease,
} from './lease.js';
export {OrderResult, type PromotionOrder, PromotionOrders} from './orders.js';
