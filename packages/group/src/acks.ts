/**
 * Tracks writes that the primary has committed but that are not yet replicated
 * to a majority of endpoints. The caller is answered once they are.
 */
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {type Position, majorityOf} from '@quetzalreel/position';
import type {GroupView} from './view.js';

/** A committed write that is not yet acknowledged. */
export interface PendingAck {
  /** ID of the request that wrote it. */
  readonly id: number;
  readonly position: Position;
  /** When to give up waiting, in monotonic milliseconds. */
  readonly deadline: number;
}

/** The pending writes, sorted by outcome. */
export interface AckOutcome {
  /** Writes that are on a majority of endpoints. */
  readonly acknowledged: readonly PendingAck[];
  /** Writes whose outcome can't be determined any more. */
  readonly unknown: readonly PendingAck[];
  /** Writes that are not on a majority yet. */
  readonly pending: readonly PendingAck[];
}

/**
 * Whether a majority of endpoints holds the record at `position`. An endpoint
 * counts only if its last record is of the same term, because a log that ends
 * in a later term may lack the record.
 */
export function isOnMajority(view: GroupView, position: Position): boolean {
  let count = 0;
  for (const {status} of view.endpoints.values()) {
    if (status && hasRecord(status, position)) count++;
  }
  return count >= majorityOf(view.endpoints.size);
}

/**
 * Whether the record at `position` can still reach a majority. An endpoint that
 * promised a later term accepts no more records of the record's term. If it
 * lacks the record, it can only get it from a primary of the later term, which
 * this instance can't observe.
 */
export function canStillReachMajority(
  view: GroupView,
  position: Position,
): boolean {
  let possible = 0;
  for (const {status} of view.endpoints.values()) {
    if (!status || status.promisedTerm <= position.term) possible++;
    else if (hasRecord(status, position)) possible++;
  }
  return possible >= majorityOf(view.endpoints.size);
}

function hasRecord(status: EndpointStatus, position: Position): boolean {
  const {term, offset} = status.last;
  return term === position.term && offset >= position.offset;
}

/** Sorts pending writes into acknowledged, unknown and still pending. */
export function settleAcks(
  pending: readonly PendingAck[],
  view: GroupView,
  now: number,
): AckOutcome {
  if (pending.length === 0) return {acknowledged: [], unknown: [], pending};
  const acknowledged: PendingAck[] = [];
  const unknown: PendingAck[] = [];
  const stillPending: PendingAck[] = [];
  for (const ack of pending) {
    if (isOnMajority(view, ack.position)) acknowledged.push(ack);
    else if (now >= ack.deadline) unknown.push(ack);
    else if (!canStillReachMajority(view, ack.position)) unknown.push(ack);
    else stillPending.push(ack);
  }
  return {acknowledged, unknown, pending: stillPending};
}
