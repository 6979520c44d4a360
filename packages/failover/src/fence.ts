/**
 * Fences of leases. The store gives out each revision once in an era, and a
 * write that is conditional on a revision succeeds once. So a fence that is above
 * the version of the lease that it replaces is never given to two holders, also
 * if the store was restored in between and shows an older lease.
 */
import type {StoreVersion} from '@quetzalreel/object-store';

/** Fences of one era: years of changes at the highest rate of a store. */
const FENCES_PER_ERA = 2 ** 36;

/**
 * The fence of a lease that replaces the one at version `replaced`, whose
 * revision is 0 if there is none. `highest` is the highest known fence.
 */
export function nextFence(
  {era, revision}: StoreVersion,
  highest: number,
): number {
  return Math.max(highest, era * FENCES_PER_ERA + revision) + 1;
}
