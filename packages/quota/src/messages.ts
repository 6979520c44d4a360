/** Messages between instances about the tokens of accounts. */
import type {QuotaInstance} from './owners.js';

/** Fields of every message. */
interface Envelope {
  /** Address of the sender, `host:port`. */
  readonly from: string;
  /** Of the sender; an answer repeats that of the request. */
  readonly seq: number;
}

/** A grant whose tokens in advance the borrower does not spend any more. */
export interface SettledGrant {
  /** Sequence number of the request for it. */
  readonly seq: number;
  /** Tokens in advance that were never spent. */
  readonly unused: number;
}

/** What a lender answers for. */
export const LenderRole = {
  Active: 'active',
  /** It is to grant tokens, but may not yet or not now. */
  Pending: 'pending',
  /** By its list it is neither owner nor backup. */
  None: 'none',
} as const;

/** One of the values of `LenderRole`. */
export type LenderRole = (typeof LenderRole)[keyof typeof LenderRole];

/** A message about quotas. */
export type QuotaMessage = Envelope &
  (
    | {
        readonly type: 'tokensWanted';
        readonly account: string;
        readonly count: number;
        /** How many of them are not for operations that wait already. */
        readonly ahead: number;
        readonly settled: readonly SettledGrant[];
      }
    /** Reports settled grants to a lender that is low and not asked now. */
    | {
        readonly type: 'tokensSettled';
        readonly account: string;
        readonly settled: readonly SettledGrant[];
      }
    | {
        readonly type: 'tokens';
        readonly count: number;
        /** Time until the sender has tokens again; 0 if all waiting got one. */
        readonly retryMs: number;
        /** Time until its bucket is half full; 0 if it is. */
        readonly lowMs: number;
        readonly role: LenderRole;
      }
    /** The sender has started. */
    | {
        readonly type: 'joined';
        readonly instance: QuotaInstance;
        /** Of the instances that the sender counts. */
        readonly digest: number;
      }
    /** The sender grants nothing any more that the joined instance owns. */
    | {
        readonly type: 'joinedNoted';
        readonly instance: string;
        /** Others that joined a short time ago, if the digests differ. */
        readonly joined: readonly QuotaInstance[];
        /** Those that vanished and may still grant tokens; likewise. */
        readonly vanished: readonly QuotaInstance[];
      }
    /** The sender grants nothing any more. */
    | {readonly type: 'left'; readonly instance: string}
    /** Asks whether the receiver still lists the sender. */
    | {readonly type: 'listedWanted'}
    | {readonly type: 'listed'}
  );

/** A request for tokens. */
export type TokenRequest = Extract<
  QuotaMessage,
  {readonly type: 'tokensWanted'}
>;
/** The answer to a request for tokens. */
export type TokenAnswer = Extract<QuotaMessage, {readonly type: 'tokens'}>;

/** Tokens in one grant; far above any limit. */
export const MAX_GRANT = 1_000_000;
/** Settled grants in one request. */
export const MAX_SETTLED = 64;
/** Instances in one list of a message. */
export const MAX_LISTED = 256;
const MAX_NAME_LENGTH = 256;
/** No lender tells a borrower to stay away for longer. */
export const MAX_RETRY_MS = 1000;

type Checks = {
  readonly [T in QuotaMessage['type']]: (
    message: Readonly<Record<string, unknown>>,
  ) => boolean;
};

const ROLES: ReadonlySet<unknown> = new Set(Object.values(LenderRole));

const CHECKS: Checks = {
  tokensWanted: ({account, count, ahead, settled}) =>
    isName(account) &&
    isCount(count) &&
    isCount(ahead) &&
    Number(ahead) <= Number(count) &&
    isListOf(settled, MAX_SETTLED, isSettled),
  tokensSettled: ({account, settled}) =>
    isName(account) && isListOf(settled, MAX_SETTLED, isSettled),
  tokens: ({count, retryMs, lowMs, role}) =>
    isCount(count) &&
    isRetryTime(retryMs) &&
    isRetryTime(lowMs) &&
    ROLES.has(role),
  joined: ({instance, digest}) =>
    isInstance(instance) && Number.isSafeInteger(digest),
  joinedNoted: ({instance, joined, vanished}) =>
    isName(instance) &&
    isListOf(joined, MAX_LISTED, isInstance) &&
    isListOf(vanished, MAX_LISTED, isInstance),
  left: ({instance}) => isName(instance),
  listedWanted: () => true,
  listed: () => true,
};

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isName(value: unknown): boolean {
  return typeof value === 'string' && value.length <= MAX_NAME_LENGTH;
}

function isCount(value: unknown): boolean {
  return (
    Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_GRANT
  );
}

function isRetryTime(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= MAX_RETRY_MS;
}

function isListOf(
  value: unknown,
  most: number,
  isItem: (item: unknown) => boolean,
): boolean {
  return Array.isArray(value) && value.length <= most && value.every(isItem);
}

function isSettled(value: unknown): boolean {
  if (!isRecord(value)) return false;
  return Number.isSafeInteger(value['seq']) && isCount(value['unused']);
}

function isInstance(value: unknown): boolean {
  if (!isRecord(value)) return false;
  return (
    isName(value['instance']) &&
    isName(value['dataCentre']) &&
    isName(value['address'])
  );
}

/** Whether a message is about quotas, valid or not. */
export function hasQuotaType(value: unknown): boolean {
  if (!isRecord(value)) return false;
  const type = value['type'];
  return typeof type === 'string' && Object.hasOwn(CHECKS, type);
}

/** Whether a decoded value is a valid message about quotas. */
export function isQuotaMessage(value: unknown): value is QuotaMessage {
  if (!isRecord(value) || !hasQuotaType(value)) return false;
  if (!isName(value['from']) || !Number.isSafeInteger(value['seq']))
    return false;
  return CHECKS[value['type'] as QuotaMessage['type']](value);
}
