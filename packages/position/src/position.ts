/**
 * Positions in the log of a database group.
 *
 * A position is named by the term of the last record held and the number of
 * records up to it. Terms come first in the order: a log whose last record is
 * of a higher term holds every acknowledged record of the lower ones, however
 * long the other log is.
 */

/** A place in a group's log. */
export interface Position {
  /** Term of the last record held; whole, from 0 for an empty log. */
  readonly term: number;
  /** Number of records held; whole, from 0. */
  readonly offset: number;
}

/** The position of an empty log. */
export const EMPTY_LOG_POSITION: Position = {term: 0, offset: 0};

/** Below zero, zero or above, as `a` comes before, with or after `b`. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.offset - b.offset;
}

/** Whether a log at `held` has everything that a log at `wanted` has. */
export function isAtLeast(held: Position, wanted: Position): boolean {
  return comparePositions(held, wanted) >= 0;
}

/** The later of two positions. */
export function laterOf(a: Position, b: Position): Position {
  return isAtLeast(a, b) ? a : b;
}

/** Writes a position as `term/offset`, as endpoints and logs spell it. */
export function formatPosition(position: Position): string {
  return `${position.term}/${position.offset}`;
}

/** Reads `term/offset`; undefined when the text is not a position. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}

/** How many of `size` endpoints make a majority. */
export function majorityOf(size: number): number {
  return Math.floor(size / 2) + 1;
}
