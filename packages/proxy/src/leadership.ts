/** Determines the primary of a group from the evidence about its endpoints. */

/** Evidence about one endpoint. Times are monotonic milliseconds. */
export interface RoleEvidence {
  readonly id: string;
  /** Newest term observed in its log; 0 for unknown. */
  readonly term: number;
  /** Whether its listed entry claims the primary role. */
  readonly saysPrimary: boolean;
  /** When the role in its entry last changed. */
  readonly saidAt: number;
  /**
   * Send time of the last request whose answer proved that it is the primary.
   */
  readonly ledAt: number;
  /**
   * Send time of the last request whose answer proved that it is not the
   * primary.
   */
  readonly deniedAt: number;
}

/**
 * Time of the newest evidence that the endpoint is the primary; -Infinity when
 * newer evidence denies it.
 */
function provenSince(item: RoleEvidence): number {
  const saidAt = item.saysPrimary ? item.saidAt : -Infinity;
  const leads = Math.max(item.ledAt, saidAt);
  return leads > item.deniedAt ? leads : -Infinity;
}

/**
 * The primary with the newest term; undefined when no endpoint is a primary.
 */
export function primaryOf(
  evidence: readonly RoleEvidence[],
): string | undefined {
  let best: RoleEvidence | undefined;
  for (const item of evidence) {
    if (provenSince(item) === -Infinity) continue;
    if (!best || comesBefore(item, best)) best = item;
  }
  return best?.id;
}

function comesBefore(a: RoleEvidence, b: RoleEvidence): boolean {
  if (a.term !== b.term) return a.term > b.term;
  return provenSince(a) > provenSince(b);
}
