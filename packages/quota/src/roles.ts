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
  /** The own share of the limit; undefined while there is none to grant. */
  readonly share: RateLimit | undefined;
  /** Those that keep this instance from being an owner. */
  readonly waitsFor: readonly string[];
}

/** Stands for the instances of which a starting one needs to hear. */
const MOST_INSTANCES = 'most instances';

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

  function namesOf(instances: readonly QuotaInstance[]): string[] {
    return instances.map(({instance}) => instance);
  }

  /** Those whose confirmation this instance, as an owner, still needs. */
  function unconfirmed(
    account: string,
    count: number,
    owners: readonly string[],
  ): string[] {
    if (!fleet.isIntroduced) return [MOST_INSTANCES];
    if (!fleet.isJoining) return [];
    const own = self().instance;
    const others = fleet.counted.filter(({instance}) => instance !== own);
    const previous = namesOf(choice.choose(account, others, count).owners);
    // One more owner makes the shares of all others smaller.
    const isAdded = previous.length < owners.length;
    return previous.filter(
      name => (isAdded || !owners.includes(name)) && !fleet.isConfirmed(name),
    );
  }

  return {
    roleOf(account, limit) {
      const count = ownerCount(limit);
      const lenders = choice.choose(account, fleet.listed, count);
      const counted = choice.choose(account, fleet.counted, count);
      const own = self().instance;
      const owners = namesOf(counted.owners);
      if (owners.includes(own)) {
        const shares = Math.min(count, fleet.counted.length);
        const share = ownerLimit(limit, rule, shares);
        const waitsFor = unconfirmed(account, count, owners);
        return {...lenders, kind: 'owner', share, waitsFor};
      }
      const listed = namesOf(fleet.listed);
      const isListedOwner = namesOf(lenders.owners).includes(own);
      const waitsFor = isListedOwner
        ? owners.filter(name => !listed.includes(name))
        : [];
      // A backup that is to become an owner lends its reserve until it is one.
      const isBackup = counted.backup?.instance === own && fleet.isIntroduced;
      if (isBackup) {
        const share = backupLimit(limit, rule);
        return {...lenders, kind: 'backup', share, waitsFor};
      }
      const isListedBackup = lenders.backup?.instance === own;
      const kind = isListedOwner ? 'owner' : isListedBackup ? 'backup' : 'none';
      return {...lenders, kind, share: undefined, waitsFor};
    },
  };
}
