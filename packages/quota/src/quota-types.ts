/** What the quotas of an instance need and offer. */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {QuotaRule, RateLimit} from './limits.js';
import type {QuotaMessage} from './messages.js';
import type {QuotaInstance} from './owners.js';

/** Whether an operation may start. */
export type Admission =
  | {readonly type: 'admitted'}
  | {
      readonly type: 'refused';
      /** Time after which a token may be had, in milliseconds. */
      readonly retryMs: number;
      readonly why: string;
    };

/** An event for the log. */
export interface QuotaEvent {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Dependencies of the quotas of an instance. */
export interface QuotaContext {
  readonly self: () => QuotaInstance;
  readonly rule: QuotaRule;
  readonly clock: Clock;
  /** Rises after each suspension of this process. */
  readonly suspensions: () => number;
  /** Sends a message to an address; it may be lost. */
  readonly send: (address: string, message: QuotaMessage) => void;
  /**
   * The instance owned its accounts before, or the whole fleet starts for the
   * first time.
   */
  readonly mayOwnAtOnce: boolean;
  /**
   * Time since the store last took the own entry, in milliseconds; Infinity if it
   * did not. While it is short, no peer is asked whether it lists this instance.
   */
  readonly renewedMs?: () => number;
  readonly onEvent: (event: QuotaEvent) => void;
}

/** The quota of one account, for operators. */
export interface AccountQuotaState {
  readonly account: string;
  readonly limit: RateLimit;
  /** Number of owners that the limit calls for. */
  readonly ownerCount: number;
  /** Names of the owners. */
  readonly owners: readonly string[];
  readonly backup: string | undefined;
  readonly role: 'owner' | 'backup' | 'none';
  /** Why this instance grants no tokens yet; undefined unless it is to. */
  readonly pending: string | undefined;
  /** Of the bucket on this instance; 0 without one. */
  readonly level: number;
  readonly outstanding: number;
  /** Tokens that this instance holds as a borrower. */
  readonly held: number;
  readonly waiting: number;
  readonly admitted: number;
  readonly refused: number;
  /** The lender without tokens at the last refusal. */
  readonly lastRefusedBy: string | undefined;
}

/** The quotas of all accounts on an instance. */
export interface AccountQuotas extends Disposable {
  /** A promise only when an owner has to be asked. Accounts without a limit are admitted. */
  admit(account: string): Admission | Promise<Admission>;
  setLimits(limits: ReadonlyMap<string, RateLimit>): void;
  /** The other instances as listed. */
  setInstances(others: readonly QuotaInstance[]): void;
  receive(message: QuotaMessage): void;
  /** Stops granting and tells the others; called at a planned stop. */
  leave(): void;
  /** For operators: limits, tokens, owners, grants, refusals. */
  readonly state: readonly AccountQuotaState[];
}
