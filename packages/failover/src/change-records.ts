/**
 * The changes of primary that an instance knows of: the newest one of each
 * group. On a platform that does not check fences a replaced primary goes on
 * acknowledging commits, so instances stop using it by these records.
 */
import {hashOf} from '@quetzalreel/common';
import type {PlannedChange} from './lease.js';

/** A change of primary with the fence under which it is ordered. */
export interface ChangeRecord extends PlannedChange {
  readonly fence: number;
  /**
   * Whether the replaced primary still serves and will be told to step down.
   * Transactions that are open there may then finish.
   */
  readonly isPlanned: boolean;
}

/** The newest change of each group, by group name. */
export type ChangeRecords = ReadonlyMap<string, ChangeRecord>;

/** No change is known. */
export const NO_CHANGES: ChangeRecords = new Map();

/**
 * Whether `a` replaces `b`. At the same fence an unplanned change does: the
 * holder no longer waits for the old primary to step down.
 */
function isNewer(a: ChangeRecord, b: ChangeRecord): boolean {
  if (a.fence !== b.fence) return a.fence > b.fence;
  return !a.isPlanned && b.isPlanned;
}

/** Adds changes; returns the same object if none is newer. */
export function withChanges(
  records: ChangeRecords,
  changes: Iterable<ChangeRecord>,
): ChangeRecords {
  let next: Map<string, ChangeRecord> | undefined;
  for (const change of changes) {
    const known = (next ?? records).get(change.group);
    if (known && !isNewer(change, known)) continue;
    next ??= new Map(records);
    next.set(change.group, change);
  }
  return next ?? records;
}

/** The highest fence of the known changes; 0 for none. */
export function highestFence(records: ChangeRecords): number {
  let highest = 0;
  for (const {fence} of records.values()) highest = Math.max(highest, fence);
  return highest;
}

/**
 * A number that differs between two sets of records unless both are equal, or
 * very unlikely: instances compare it before they exchange the records.
 */
export function digestOf(records: ChangeRecords): number {
  let digest = 0;
  for (const {group, fence, isPlanned} of records.values()) {
    digest += hashOf(`${group} ${fence} ${isPlanned}`);
  }
  return digest;
}

/** Whether a value from outside is a change of primary. */
export function isPlannedChange(value: unknown): value is PlannedChange {
  if (typeof value !== 'object' || value === null) return false;
  const {group, from, to} = value as Partial<PlannedChange>;
  return [group, from, to].every(text => typeof text === 'string');
}

/** Whether a value from outside is a change record. */
export function isChangeRecord(value: unknown): value is ChangeRecord {
  if (!isPlannedChange(value)) return false;
  const {fence, isPlanned} = value as Partial<ChangeRecord>;
  return Number.isSafeInteger(fence) && typeof isPlanned === 'boolean';
}
