/** What the answers of other instances say about an endpoint. */

/** What was found. */
export const Verdict = {
  /** Somebody reaches it: it is not down, whatever this instance sees. */
  Reached: 'reached',
  /** Enough others say that they don't reach it either. */
  Unreached: 'unreached',
  /** Too few have answered: this instance may be the one that is cut off. */
  Unsure: 'unsure',
} as const;

/** One of the values of `Verdict`. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Answers to one question. */
export interface Answers {
  /** Instances that were asked. */
  readonly asked: number;
  readonly reached: number;
  readonly unreached: number;
}

/** Part of those asked that must agree; some may have left or be down. */
const QUORUM_SHARE = 1 / 3;

/** The verdict of the answers that came. */
export function verdictOf({asked, reached, unreached}: Answers): Verdict {
  if (reached > 0) return Verdict.Reached;
  const needed = Math.ceil(asked * QUORUM_SHARE);
  return unreached >= needed ? Verdict.Unreached : Verdict.Unsure;
}
