/** Which lender a borrower asks next, from what it has learned of them. */
import type {Assignment, QuotaInstance} from './owners.js';

/** How long a lender that did not answer is not asked, in milliseconds. */
export const SILENT_MS = 1000;
/** How long one is not asked that has not taken over yet, in milliseconds. */
export const PENDING_MS = 100;

/** Why a lender is not asked. */
export const Avoidance = {
  Exhausted: 'has no tokens left',
  Pending: 'has not taken over yet',
  Silent: 'does not respond',
} as const;

/** One of the values of `Avoidance`. */
export type Avoidance = (typeof Avoidance)[keyof typeof Avoidance];

/** When a lender is asked again, and why not before. */
export interface Avoided {
  readonly until: number;
  readonly why: Avoidance;
}

/** What to do about an operation that has no token. */
export type NextLender =
  | {readonly type: 'ask'; readonly lender: QuotaInstance}
  | {
      readonly type: 'refuse';
      readonly retryMs: number;
      /** The lender that is asked again first; undefined if there is none. */
      readonly lender: QuotaInstance | undefined;
      readonly why: Avoidance | undefined;
    };

/** Time after which to retry without any lender, in milliseconds. */
const NO_LENDER_MS = 200;

/** The owners, nearest first: this instance, then those of its data centre. */
export function nearestFirst(
  owners: readonly QuotaInstance[],
  self: QuotaInstance,
): QuotaInstance[] {
  const distance = ({instance, dataCentre}: QuotaInstance) => {
    if (instance === self.instance) return 0;
    return dataCentre === self.dataCentre ? 1 : 2;
  };
  return [...owners].sort((a, b) => distance(a) - distance(b));
}

/**
 * Chooses the nearest owner that may have tokens, and the backup only where an
 * owner does not respond or has not taken over yet.
 */
export function nextLender(
  {owners, backup}: Assignment,
  avoidedOf: (lender: QuotaInstance) => Avoided | undefined,
  now: number,
): NextLender {
  let first: {lender: QuotaInstance; avoided: Avoided} | undefined;
  const tryOne = (lender: QuotaInstance): Avoided | undefined => {
    const avoided = avoidedOf(lender);
    if (!avoided || avoided.until <= now) return undefined;
    if (!first || avoided.until < first.avoided.until)
      first = {lender, avoided};
    return avoided;
  };
  let isBackupNeeded = false;
  for (const owner of owners) {
    const avoided = tryOne(owner);
    if (!avoided) return {type: 'ask', lender: owner};
    isBackupNeeded ||= avoided.why !== Avoidance.Exhausted;
  }
  if (backup && isBackupNeeded && !tryOne(backup))
    return {type: 'ask', lender: backup};
  return {
    type: 'refuse',
    retryMs: first ? first.avoided.until - now : NO_LENDER_MS,
    lender: first?.lender,
    why: first?.avoided.why,
  };
}
