/**
 * Writes that the primary has committed and whose callers wait until a
 * majority of endpoints holds them.
 */
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {type Position, majorityOf} from '@quetzalreel/position';
import type {GroupView} from './view.js';

/** A committed write that is not yet acknowledged. */
export interface PendingAck {
  /** Identity of the request. */
  readonly id: number;
  readonly position: Position;
  /** When to give up waiting, monotonic milliseconds. */
  readonly deadline: number;
}

/** What became of held writes. */
export interface AckOutcome {
  /** Writes that a majority holds. */
  readonly done: readonly PendingAck[];
  /** Writes whose outcome can no longer be told. */
  readonly unknown: readonly PendingAck[];
  /** Writes that still wait. */
  readonly held: readonly PendingAck[];
}

/**
 * Whether a majority holds a record. An endpoint counts only when its last
 * record is of the same term: a log of a later term may lack the record.
 */
export function isOnMajority(view: GroupView, position: Position): boolean {
  let holders = 0;
  for (const {status} of view.endpoints.values()) {
    if (status && holds(status, position)) holders++;
  }
  return holders >= majorityOf(view.endpoints.size);
}

/**
 * Whether a record of an earlier term can still come to be on a majority. An
 * endpoint that promised a later term takes no more records of this one, so
 * without the record it stays without it, or gets it unseen from a primary of
 * the later term.
 */
export function isStillPossible(view: GroupView, position: Position): boolean {
  let possible = 0;
  for (const {status} of view.endpoints.values()) {
    if (!status || status.promisedTerm <= position.term) possible++;
    else if (holds(status, position)) possible++;
  }
  return possible >= majorityOf(view.endpoints.size);
}

function holds(status: EndpointStatus, position: Position): boolean {
  const {term, offset} = status.last;
  return term === position.term && offset >= position.offset;
}

/** Sorts held writes by what is known now. */
export function settleAcks(
  held: readonly PendingAck[],
  view: GroupView,
  now: number,
): AckOutcome {
  if (held.length === 0) return {done: [], unknown: [], held};
  const done: PendingAck[] = [];
  const unknown: PendingAck[] = [];
  const left: PendingAck[] = [];
  for (const ack of held) {
    if (isOnMajority(view, ack.position)) done.push(ack);
    else if (now >= ack.deadline) unknown.push(ack);
    else if (!isStillPossible(view, ack.position)) unknown.push(ack);
    else left.push(ack);
  }
  return {done, unknown, held: left};
}
