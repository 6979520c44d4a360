/** What the answers of other instances say about an endpoint. */

/** What was found. */
export const Verdict = {
  /** Somebody reaches it: it is not down, whatever this instance sees. */
  Reached: 'reached',
  /** Most others say that they don't reach it either. */
  Unreached: 'unreached',
  /** Too few have answered: this instance may be the one that is cut off. */
  Inconclusive: 'unsure',
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

/**
 * The verdict of the answers that came. This instance and those that agree
 * with it must be the greater part of all: a part of the fleet that is cut off
 * together with an endpoint's replicas must not replace a primary that serves
 * the rest.
 */
export function verdictOf({asked, reached, unreached}: Answers): Verdict {
  if (reached > 0) return Verdict.Reached;
  const needed = Math.floor((asked + 1) / 2);
  return unreached >= needed ? Verdict.Unreached : Verdict.Inconclusive;
}
