/** The tokens of one account that this instance holds. */
import {TOKEN_MS} from './limits.js';
import {MAX_SETTLED, type SettledGrant} from './messages.js';

/** A request for tokens. */
export interface SentRequest {
  readonly lender: string;
  readonly seq: number;
  readonly count: number;
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
  /** Takes the tokens of an answer; false if their time is over. */
  noteGranted(seq: number, count: number, time: BorrowerTime): boolean;
  /** Grants to report to a lender as settled, once each. */
  takeSettled(lender: string, time: BorrowerTime): SettledGrant[];
}

interface Grant extends SentRequest {
  /** Undefined until the answer arrives. */
  left: number | undefined;
}

/** How long a lender waits for the report on a grant. */
const REPORT_MS = 2 * TOKEN_MS;

/** Starts without tokens. */
export function heldTokens(): HeldTokens {
  /** By sequence number, in the order in which they were asked for. */
  const grants = new Map<number, Grant>();
  let settled: Array<SettledGrant & {lender: string; at: number}> = [];

  function settle(grant: Grant, unused: number, now: number): void {
    const {seq, lender} = grant;
    grants.delete(seq);
    settled.push({seq, unused, lender, at: now});
  }

  function isValid(grant: Grant, {now, suspensions}: BorrowerTime): boolean {
    return now - grant.sentAt < TOKEN_MS && grant.suspensions === suspensions;
  }

  /** A request without an answer counts as unused: its tokens never are spent. */
  function expire(time: BorrowerTime): void {
    for (const grant of grants.values()) {
      if (!isValid(grant, time))
        settle(grant, grant.left ?? grant.count, time.now);
    }
    settled = settled.filter(({at}) => time.now - at < REPORT_MS);
  }

  return {
    spend(time) {
      expire(time);
      for (const grant of grants.values()) {
        if (!grant.left) continue;
        grant.left--;
        if (grant.left === 0) settle(grant, 0, time.now);
        return true;
      }
      return false;
    },
    count(time) {
      expire(time);
      let count = 0;
      for (const {left} of grants.values()) count += left ?? 0;
      return count;
    },
    noteSent(request) {
      grants.set(request.seq, {...request, left: undefined});
    },
    noteGranted(seq, count, time) {
      expire(time);
      const grant = grants.get(seq);
      if (!grant || grant.left !== undefined) return false;
      grant.left = Math.min(count, grant.count);
      if (grant.left === 0) settle(grant, 0, time.now);
      return true;
    },
    takeSettled(lender, time) {
      expire(time);
      const taken = settled
        .filter(item => item.lender === lender)
        .slice(-MAX_SETTLED);
      settled = settled.filter(item => item.lender !== lender);
      return taken.map(({seq, unused}) => ({seq, unused}));
    },
  };
}
