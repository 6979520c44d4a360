/** What this instance has observed of an endpoint. */
import type {Position} from '@quetzalreel/position';
import {type AnswerTime, NO_ANSWERS} from './answer-time.js';
import {type CatchUpBackoff, NO_REFUSALS} from './catch-up.js';
import {type EndpointPace, initialPace} from './endpoint-pace.js';

/** Observed state of an endpoint. Times are monotonic milliseconds. */
export interface EndpointFacts {
  /** Newest known log position. */
  position: Position | undefined;
  /** Backoff state after reads that the endpoint refused as `behind`. */
  catchUp: CatchUpBackoff;
  /** Time of the last contact. */
  lastContactAt: number;
  /**
   * Send time of the oldest request since `lastContactAt` that has no answer;
   * undefined when there is none.
   */
  unansweredSince: number | undefined;
  /**
   * Time of the first refused or reset connection since the last contact;
   * undefined when there was none.
   */
  refusingSince: number | undefined;
  /**
   * Send time of the last request whose answer proved that it is the primary.
   */
  provenPrimaryAt: number;
  /**
   * Send time of the last request whose answer proved that it is not the
   * primary.
   */
  provenNotPrimaryAt: number;
  /** Time of the reads that any endpoint could have run. */
  answerTime: AnswerTime;
  /** Statements of this instance in flight at the endpoint. */
  inFlight: number;
  /** How it responds, and the limit on `inFlight` that follows. */
  pace: EndpointPace;
}

/** The state of an endpoint with so many slots, before any contact. */
export function noFacts(slots: number): EndpointFacts {
  return {
    position: undefined,
    catchUp: NO_REFUSALS,
    lastContactAt: -Infinity,
    unansweredSince: undefined,
    refusingSince: undefined,
    provenPrimaryAt: -Infinity,
    provenNotPrimaryAt: -Infinity,
    answerTime: NO_ANSWERS,
    inFlight: 0,
    pace: initialPace(slots),
  };
}
