/**
 * Positions in the log of a database group.
 *
 * A position consists of the term of a log's last record and the number of
 * records in the log. Positions are ordered by term first: a log whose last
 * record has a higher term contains every acknowledged record of the lower
 * terms, even if a log of a lower term is longer.
 */

/** A position in a group's log. */
export interface Position {
  /** Term of the last record, an integer; 0 for an empty log. */
  readonly term: number;
  /** Number of records in the log, an integer from 0. */
  readonly offset: number;
}

/** Whether a value from outside is a position. */
export function isPosition(value: unknown): value is Position {
  if (typeof value !== 'object' || value === null) return false;
  const {term, offset} = value as Partial<Position>;
  return Number.isSafeInteger(term) && Number.isSafeInteger(offset);
}

/** The position of an empty log. */
export const EMPTY_LOG_POSITION: Position = {term: 0, offset: 0};

/** Negative, zero or positive if `a` is before, equal to or after `b`. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.offset - b.offset;
}

/** Whether a log at `held` contains all records of a log at `wanted`. */
export function isAtLeast(held: Position, wanted: Position): boolean {
  return comparePositions(held, wanted) >= 0;
}

/** The later of two positions. */
export function laterOf(a: Position, b: Position): Position {
  return isAtLeast(a, b) ? a : b;
}

/** Formats a position as `term/offset`, as endpoints and logs write it. */
export function formatPosition(position: Position): string {
  return `${position.term}/${position.offset}`;
}

/** Parses `term/offset`; undefined if the text is not a position. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}

/** The smallest number of endpoints that is a majority of `size`. */
export function majorityOf(size: number): number {
  return Math.floor(size / 2) + 1;
}
