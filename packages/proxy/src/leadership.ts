/** Which endpoint of a group is the primary, as far as is known. */

/** Evidence about one endpoint. Times are monotonic milliseconds. */
export interface RoleEvidence {
  readonly id: string;
  /** Newest term that its log was seen in; 0 for unknown. */
  readonly term: number;
  /** Whether its entry in the list says that it is the primary. */
  readonly saysPrimary: boolean;
  /** When its entry changed last. */
  readonly saidAt: number;
  /** When a request was sent that proved it to be the primary. */
  readonly ledAt: number;
  /** When a request was sent that proved that it is not. */
  readonly deniedAt: number;
}

/** When this endpoint was last seen to lead; -Infinity when it doesn't. */
function leadsSince(item: RoleEvidence): number {
  const saidAt = item.saysPrimary ? item.saidAt : -Infinity;
  const leads = Math.max(item.ledAt, saidAt);
  return leads > item.deniedAt ? leads : -Infinity;
}

/** The endpoint that leads in the newest term; undefined when none does. */
export function primaryOf(
  evidence: readonly RoleEvidence[],
): string | undefined {
  let best: RoleEvidence | undefined;
  for (const item of evidence) {
    if (leadsSince(item) === -Infinity) continue;
    if (!best || comesBefore(item, best)) best = item;
  }
  return best?.id;
}

function comesBefore(a: RoleEvidence, b: RoleEvidence): boolean {
  if (a.term !== b.term) return a.term > b.term;
  return leadsSince(a) > leadsSince(b);
}
