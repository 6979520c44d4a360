/** The operations of one account on this instance, and the tokens for them. */
import {type Demand, demand} from './demand.js';
import {
  type BorrowerTime,
  type HeldTokens,
  type SentRequest,
  heldTokens,
} from './held-tokens.js';
import {Avoidance, type Avoided, PENDING_MS} from './lender-choice.js';
import type {LoanAnswer} from './lender.js';
import {LenderRole, MAX_GRANT} from './messages.js';
import type {Admission} from './quota-types.js';

/** Time for which tokens are asked for in advance, in milliseconds. */
const AHEAD_MS = 200;

/** A borrower of one account. */
export interface Borrower {
  readonly tokens: HeldTokens;
  readonly demand: Demand;
  /** Operations that wait for an answer. */
  readonly waiting: number;
  admitted: number;
  refused: number;
  lastRefusedBy: string | undefined;
  /** The request whose answer the waiting operations wait for. */
  asking: SentRequest | undefined;
  /** Adds an operation that waits. */
  wait(): Promise<Admission>;
  /** Admits waiting operations while there are tokens. */
  admitWaiting(time: BorrowerTime): void;
  /** Admits the first waiting operation. */
  admitOne(): void;
  /** Ends the wait of all operations. */
  endWaiting(admission: Admission): void;
  /** Tokens to ask for: for the waiting operations, and in advance. */
  wanted(now: number): {readonly count: number; readonly ahead: number};
  /** Notes whether the lender at an address has tokens left. */
  noteAnswer(lender: string, answer: LoanAnswer, now: number): void;
  /** Why the lender at an address is not asked for this account. */
  avoided(lender: string): Avoided | undefined;
}

/** Starts without tokens. */
export function borrower(): Borrower {
  let waiting: Array<(admission: Admission) => void> = [];
  const avoided = new Map<string, Avoided>();
  const tokens = heldTokens();
  const recent = demand();
  const self: Borrower = {
    tokens,
    demand: recent,
    get waiting() {
      return waiting.length;
    },
    admitted: 0,
    refused: 0,
    lastRefusedBy: undefined,
    asking: undefined,
    wait: () => new Promise(resolve => waiting.push(resolve)),
    admitWaiting(time) {
      while (waiting.length > 0 && tokens.spend(time)) self.admitOne();
    },
    admitOne() {
      self.admitted++;
      waiting.shift()?.({type: 'admitted'});
    },
    endWaiting(admission) {
      const ended = waiting;
      waiting = [];
      if (admission.type === 'admitted') self.admitted += ended.length;
      else self.refused += ended.length;
      for (const end of ended) end(admission);
    },
    wanted(now) {
      const atOnce = Math.min(MAX_GRANT, waiting.length);
      const expected = Math.floor(recent.expected(AHEAD_MS, now));
      const ahead = Math.min(MAX_GRANT - atOnce, expected);
      return {count: atOnce + ahead, ahead};
    },
    noteAnswer(lender, {retryMs, lowMs, role}, now) {
      avoided.delete(lender);
      if (role !== LenderRole.Active) {
        const until = now + PENDING_MS;
        avoided.set(lender, {until, why: Avoidance.Pending});
      } else if (retryMs > 0) {
        const until = now + retryMs;
        avoided.set(lender, {until, why: Avoidance.Exhausted});
      } else if (lowMs > 0) {
        avoided.set(lender, {until: now + lowMs, why: Avoidance.Low});
      }
    },
    avoided: lender => avoided.get(lender),
  };
  return self;
}
