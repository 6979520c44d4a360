/** Public exports of `@quetzalreel/failover`. */
export {
  type ChangeRecord,
  type ChangeRecords,
  NO_CHANGES,
  digestOf,
  highestFence,
  isChangeRecord,
  withChanges,
} from './change-records.js';
export {
  type Confirmations,
  type OrderTime,
  type Permission,
  type PermissionLimits,
  NO_PERMISSION,
  isMajority,
  orderTime,
  permittedUntil,
} from './permission.js';
export {
  type ChangeContext,
  type ChangeEvent,
  type ChangeLimits,
  ChangeOutcome,
  type LeaseTerm,
  type PrepareChange,
  type PrimaryChanger,
} from './change-types.js';
export {primaryChanger} from './primary-changer.js';
export {
  type FailoverThresholds,
  type PrimaryView,
  ChangeReason,
  reasonToChange,
} from './change-reason.js';
export {
  LEASE_KIND,
  LEASE_SELECTION,
  LEASE_NAME,
  type LeaseRecord,
  type LeaseStore,
  type PlannedChange,
  type LeaseSnapshot,
  leaseStore,
  parseLease,
} from './lease.js';
export {
  type Member,
  type Succession,
  type SuccessionContext,
  Told,
  chooseSuccessor,
  mostAdvanced,
} from './succession.js';
export {nextFence} from './fence.js';
export {OrderResult, type PromotionOrder, PromotionOrders} from './orders.js';
