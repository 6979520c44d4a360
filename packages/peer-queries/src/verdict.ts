/** Evaluates the answers of peers on whether they reach an endpoint. */

/** Result of asking peers whether they reach an endpoint. */
export const Verdict = {
  /** A peer reaches it: it is not down, even if this instance can't. */
  Reached: 'reached',
  /** A majority of the asked peers and this instance don't reach it. */
  Unreached: 'unreached',
  /** Too few answers: this instance may be in a partitioned minority. */
  Inconclusive: 'unsure',
} as const;

/** One of the values of `Verdict`. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Number of answers to one query. */
export interface Answers {
  /** Peers that were asked. */
  readonly asked: number;
  readonly reached: number;
  readonly unreached: number;
}

/**
 * Returns the verdict for the answers received. For `Unreached`, this instance
 * and the peers that agree with it must be a majority of all: a part of the
 * fleet that is partitioned together with replicas must not replace a primary
 * that serves the rest of the fleet.
 */
export function verdictOf({asked, reached, unreached}: Answers): Verdict {
  if (reached > 0) return Verdict.Reached;
  const needed = Math.floor((asked + 1) / 2);
  return unreached >= needed ? Verdict.Unreached : Verdict.Inconclusive;
}
