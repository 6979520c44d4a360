/** What this instance is to an account: owner, backup, or neither. */
import type {QuotaFleet} from './fleet.js';
import {
  type QuotaRule,
  type RateLimit,
  backupLimit,
  ownerCount,
  ownerLimit,
} from './limits.js';
import {type Assignment, type QuotaInstance, ownerChoice} from './owners.js';

/** The lenders of an account, as this instance sees them. */
export interface AccountRole extends Assignment {
  readonly kind: 'owner' | 'backup' | 'none';
  /** The own share of the limit; undefined for neither owner nor backup. */
  readonly share: RateLimit | undefined;
  /** Previous owners that may still grant what this instance is to own. */
  readonly waitsFor: readonly string[];
}

/** Determines the roles for all accounts. */
export interface Roles {
  roleOf(account: string, limit: RateLimit): AccountRole;
}

/** Creates the roles of the instance `self`. */
export function accountRoles(
  fleet: QuotaFleet,
  rule: QuotaRule,
  self: () => QuotaInstance,
): Roles {
  const choice = ownerChoice();

  function namesOf(
    account: string,
    instances: readonly QuotaInstance[],
    count: number,
  ): string[] {
    const {owners} = choice.choose(account, instances, count);
    return owners.map(({instance}) => instance);
  }

  /** The instances that must have ceased to grant tokens as owners. */
  function previousOwners(account: string, count: number): string[] {
    const own = self().instance;
    const names = new Set(fleet.listed.map(({instance}) => instance));
    const withVanished = namesOf(account, fleet.counted, count);
    if (!withVanished.includes(own))
      return withVanished.filter(name => !names.has(name));
    if (!fleet.isJoining) return [];
    const others = fleet.counted.filter(({instance}) => instance !== own);
    const previous = namesOf(account, others, count);
    // One more owner makes the shares of all others smaller.
    const isAdded = previous.length < withVanished.length;
    return previous.filter(
      name =>
        (isAdded || !withVanished.includes(name)) && !fleet.isConfirmed(name),
    );
  }

  return {
    roleOf(account, limit) {
      const count = ownerCount(limit);
      const {owners, backup} = choice.choose(account, fleet.listed, count);
      const own = self().instance;
      const lenders = {owners, backup};
      if (backup?.instance === own) {
        const share = backupLimit(limit, rule);
        return {...lenders, kind: 'backup', share, waitsFor: []};
      }
      if (!owners.some(({instance}) => instance === own))
        return {...lenders, kind: 'none', share: undefined, waitsFor: []};
      const shares = Math.min(count, fleet.counted.length);
      const share = ownerLimit(limit, rule, shares);
      const waitsFor = previousOwners(account, count);
      return {...lenders, kind: 'owner', share, waitsFor};
    },
  };
}
