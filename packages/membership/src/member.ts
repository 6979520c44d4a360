/** What is known of one instance, and which of two records holds. */

/** How an instance stands. */
export const MemberStatus = {
  Alive: 'alive',
  /** Did not answer; it can refute this with a higher incarnation. */
  Suspect: 'suspect',
  /** Was suspected and did not refute it in time. */
  Dead: 'dead',
  /** Told that it leaves. */
  Left: 'left',
} as const;

/** One of the values of `MemberStatus`. */
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** What instances tell each other about an instance. */
export interface MemberRecord {
  readonly id: string;
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  /** Address of its operators' port, `host:port`. */
  readonly admin: string;
  readonly dataCentre: string;
  /** Raised by the instance alone, to refute what is said of it. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

const STATUS_PRECEDENCE: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether `next` holds over `known`, whatever the order of their arrival. */
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

/** Whether an instance counts as a member: alive, or only suspected. */
export function isLive(record: MemberRecord): boolean {
  return record.status === 'alive' || record.status === 'suspect';
}
