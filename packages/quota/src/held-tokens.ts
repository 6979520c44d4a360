/** The tokens of one account that this instance holds. */
import {ANSWER_MS, TOKEN_MS} from './limits.js';
import {MAX_SETTLED, type SettledGrant} from './messages.js';

/** A request for tokens. */
export interface SentRequest {
  /** Address of the lender. */
  readonly lender: string;
  readonly seq: number;
  readonly count: number;
  /** Tokens in advance, as part of `count`. */
  readonly ahead: number;
  readonly sentAt: number;
  /** Number of suspensions when it was sent. */
  readonly suspensions: number;
}

/** The own time: what a token's validity depends on. */
export interface BorrowerTime {
  readonly now: number;
  readonly suspensions: number;
}

/** Tokens with their ends, and what the lenders are to be told of them. */
export interface HeldTokens {
  /** Takes one token; false if none is valid. */
  spend(time: BorrowerTime): boolean;
  count(time: BorrowerTime): number;
  noteSent(request: SentRequest): void;
  /** Takes the tokens of an answer, unless their time is over. */
  noteGranted(seq: number, count: number, time: BorrowerTime): void;
  /** Gives up all tokens, also those of requests without an answer. */
  discard(time: BorrowerTime): void;
  /** Addresses of lenders for which there are reports. */
  reportedLenders(time: BorrowerTime): Set<string>;
  /** Grants to report to a lender as settled, once each. */
  takeSettled(lender: string, time: BorrowerTime): SettledGrant[];
}

/** Tokens of one request with the same end. */
interface Lot {
  readonly request: SentRequest;
  readonly validMs: number;
  readonly isAhead: boolean;
  left: number;
}

interface Report extends SettledGrant {
  readonly lender: string;
  readonly at: number;
}

/** How long the report on a grant may be of use to its lender. */
const REPORT_MS = TOKEN_MS;

/** Starts without tokens. */
export function heldTokens(): HeldTokens {
  /** Requests without an answer, by their sequence numbers. */
  const requests = new Map<number, SentRequest>();
  let lots: Lot[] = [];
  let reports: Report[] = [];

  function report({seq, lender}: SentRequest, unused: number, at: number) {
    reports.push({seq, unused, lender, at});
  }

  function isValid(
    {sentAt, suspensions}: SentRequest,
    validMs: number,
    time: BorrowerTime,
  ): boolean {
    return time.now - sentAt < validMs && suspensions === time.suspensions;
  }

  function endRequest(request: SentRequest, now: number): void {
    requests.delete(request.seq);
    if (request.ahead > 0) report(request, request.ahead, now);
  }

  function endLot({request, isAhead, left}: Lot, now: number): void {
    if (isAhead) report(request, left, now);
  }

  function expire(time: BorrowerTime): void {
    for (const request of requests.values()) {
      if (!isValid(request, TOKEN_MS, time)) endRequest(request, time.now);
    }
    lots = lots.filter(lot => {
      const isHeld = lot.left > 0 && isValid(lot.request, lot.validMs, time);
      if (!isHeld) endLot(lot, time.now);
      return isHeld;
    });
    reports = reports.filter(({at}) => time.now - at < REPORT_MS);
  }

  return {
    spend(time) {
      expire(time);
      const [lot] = lots;
      if (!lot) return false;
      lot.left--;
      return true;
    },
    count(time) {
      expire(time);
      return lots.reduce((sum, {left}) => sum + left, 0);
    },
    noteSent(request) {
      requests.set(request.seq, request);
    },
    noteGranted(seq, count, time) {
      expire(time);
      const request = requests.get(seq);
      if (!request) return;
      requests.delete(seq);
      const atOnce = Math.min(count, request.count - request.ahead);
      const ahead = Math.min(count - atOnce, request.ahead);
      // The tokens that end first are spent first.
      lots.unshift({request, validMs: ANSWER_MS, isAhead: false, left: atOnce});
      lots.push({request, validMs: TOKEN_MS, isAhead: true, left: ahead});
      expire(time);
    },
    discard({now}) {
      for (const request of requests.values()) endRequest(request, now);
      for (const lot of lots) endLot(lot, now);
      lots = [];
    },
    reportedLenders(time) {
      expire(time);
      return new Set(reports.map(({lender}) => lender));
    },
    takeSettled(lender, time) {
      expire(time);
      const taken = reports.filter(item => item.lender === lender);
      reports = reports.filter(item => item.lender !== lender);
      return taken.slice(-MAX_SETTLED).map(({seq, unused}) => ({seq, unused}));
    },
  };
}
