/** Public exports of `@quetzalreel/quota`. */
export {accountQuotas} from './account-quotas.js';
export {
  type AccountQuotaState,
  type AccountQuotas,
  type Admission,
  type QuotaContext,
  type QuotaEvent,
} from './quota-types.js';
export {type QuotaRule, type RateLimit, TOKEN_MS} from './limits.js';
export {LISTED_MS, TAKEOVER_MS, quotaFleet} from './fleet.js';
export {
  type QuotaMessage,
  LenderRole,
  hasQuotaType,
  isQuotaMessage,
} from './messages.js';
export {type QuotaInstance} from './owners.js';
export {type TokenBucket, tokenBucket} from './token-bucket.js';
