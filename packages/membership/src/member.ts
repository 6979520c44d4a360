/** The record of one instance, and the precedence of two records of it. */

/** Status of an instance. */
export const MemberStatus = {
  Alive: 'alive',
  /** Did not answer a probe; it can refute this with a higher incarnation. */
  Suspect: 'suspect',
  /** Did not refute a suspicion in time. */
  Dead: 'dead',
  /** Announced that it leaves the fleet. */
  Left: 'left',
} as const;

/** One of the values of `MemberStatus`. */
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** The record of an instance that members gossip to each other. */
export interface MemberRecord {
  readonly id: string;
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  /** Address of its admin port, `host:port`. */
  readonly admin: string;
  readonly dataCentre: string;
  /** Increased only by the instance itself, to refute a record about it. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

const STATUS_PRECEDENCE: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/**
 * Whether `next` replaces `known`. The result of merging does not depend on the
 * order in which records arrive.
 */
export function supersedes(
  next: MemberRecord,
  known: MemberRecord | undefined,
): boolean {
  if (!known) return true;
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  return STATUS_PRECEDENCE[next.status] > STATUS_PRECEDENCE[known.status];
}

/** Whether an instance counts as a member: its status is alive or suspect. */
export function isLive(record: MemberRecord): boolean {
  return record.status === 'alive' || record.status === 'suspect';
}
