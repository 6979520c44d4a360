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
  /** Asked if no other owner has more. */
  Low: 'has few tokens left',
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
 * Chooses the nearest owner that may have tokens, one whose bucket is half full
 * before others, so that the bursts of all owners are of use wherever the callers
 * are. The backup is asked only where an owner does not respond or has not taken
 * over yet.
 */
export function nextLender(
  {owners, backup}: Assignment,
  avoidedOf: (lender: QuotaInstance) => Avoided | undefined,
  now: number,
): NextLender {
  const candidates = [...owners, ...(backup ? [backup] : [])]
    .map(lender => ({lender, avoided: avoidedOf(lender)}))
    .map(({lender, avoided}) =>
      avoided && avoided.until > now
        ? {lender, until: avoided.until, why: avoided.why}
        : {lender, until: now, why: undefined},
    );
  const ofOwners = candidates.slice(0, owners.length);
  const isBackupNeeded = ofOwners.some(
    ({why}) => why === Avoidance.Silent || why === Avoidance.Pending,
  );
  const allowed = isBackupNeeded ? candidates : ofOwners;
  for (const wanted of [undefined, Avoidance.Low]) {
    const found = allowed.find(({why}) => why === wanted);
    if (found) return {type: 'ask', lender: found.lender};
  }
  const [first] = allowed.sort((a, b) => a.until - b.until);
  return {
    type: 'refuse',
    retryMs: first ? first.until - now : NO_LENDER_MS,
    lender: first?.lender,
    why: first?.why,
  };
}
