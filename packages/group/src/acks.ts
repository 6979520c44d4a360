/**
 * Writes that the primary has committed and whose callers wait until a
 * majority of endpoints holds them.
 */
import {type Position, majorityOf} from '@quetzalreel/position';
import type {GroupView} from './view.js';

/** A committed write that is not yet acknowledged. */
export interface HeldAck {
  /** Identity of the request. */
  readonly id: number;
  readonly position: Position;
  /** When to give up waiting, monotonic milliseconds. */
  readonly deadline: number;
}

/** What became of held writes. */
export interface AckOutcome {
  /** Writes that a majority holds. */
  readonly done: readonly HeldAck[];
  /** Writes whose outcome can no longer be told. */
  readonly unknown: readonly HeldAck[];
  /** Writes that still wait. */
  readonly held: readonly HeldAck[];
}

/**
 * Whether a majority holds a record. An endpoint counts only when its last
 * record is of the same term: a log of a later term may lack the record.
 */
export function isOnMajority(view: GroupView, position: Position): boolean {
  let holders = 0;
  for (const {status} of view.endpoints.values()) {
    if (!status || status.last.term !== position.term) continue;
    if (status.last.offset >= position.offset) holders++;
  }
  return holders >= majorityOf(view.endpoints.size);
}

/** Sorts held writes by what is known now. */
export function settleAcks(
  held: readonly HeldAck[],
  view: GroupView,
  now: number,
): AckOutcome {
  if (held.length === 0) return {done: [], unknown: [], held};
  const done: HeldAck[] = [];
  const unknown: HeldAck[] = [];
  const left: HeldAck[] = [];
  for (const ack of held) {
    if (isOnMajority(view, ack.position)) done.push(ack);
    else if (now >= ack.deadline) unknown.push(ack);
    else left.push(ack);
  }
  return {done, unknown, held: left};
}
