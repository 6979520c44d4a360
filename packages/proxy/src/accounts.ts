/**
 * Client accounts: whose session it is, decided by the digest of the key with
 * which the session was opened.
 */
import type {RateLimit} from '@quetzalreel/quota';
import type {RoutingTable} from './routes.js';

/** A client account that operators have declared. */
export interface ClientAccount {
  /** The name that endpoints are told; never a key. */
  readonly name: string;
  /** Priority among the accounts of a route; 0 is the highest. */
  readonly priority: number;
  /**
   * Operations that it may start, over all instances together; undefined for no
   * limit.
   */
  readonly limit: RateLimit | undefined;
}

/** An account with the digests of its keys. */
export interface AccountEntry {
  readonly account: ClientAccount;
  readonly keyDigests: readonly string[];
}

/** The client accounts of a configuration. */
export interface AccountDirectory {
  readonly accounts: readonly ClientAccount[];
  /** The account that holds a key; undefined for an unknown key. */
  ofKey(digest: string): ClientAccount | undefined;
}

/**
 * Creates a directory. A key that several entries list belongs to the first of
 * them, so that all instances decide alike.
 */
export function accountDirectory(
  entries: readonly AccountEntry[],
): AccountDirectory {
  const byKey = new Map<string, ClientAccount>();
  for (const {account, keyDigests} of entries) {
    for (const digest of keyDigests) {
      if (!byKey.has(digest)) byKey.set(digest, account);
    }
  }
  return {
    accounts: entries.map(({account}) => account),
    ofKey: digest => byKey.get(digest),
  };
}

/** Used where there are no client accounts, and on public routes without one. */
export const NO_ACCOUNT: ClientAccount = {
  name: '',
  priority: 0,
  limit: undefined,
};

/** How a caller, or an operator who asks about one, names an account. */
export type CallerIdentity =
  | {readonly type: 'keyDigest'; readonly digest: string}
  | {readonly type: 'account'; readonly name: string};

/**
 * The account on whose behalf a session on `database` runs; undefined if there is
 * no such route, or it needs a key and no account holds this one.
 */
export function accountFor(
  table: RoutingTable | undefined,
  database: string,
  caller: CallerIdentity | undefined,
): ClientAccount | undefined {
  const route = table?.routes.get(database);
  if (!route) return undefined;
  const {accounts} = table!;
  if (!accounts) return NO_ACCOUNT;
  return (
    identify(accounts, caller) ?? (route.isPublic ? NO_ACCOUNT : undefined)
  );
}

function identify(
  {accounts, ofKey}: AccountDirectory,
  caller: CallerIdentity | undefined,
): ClientAccount | undefined {
  if (!caller) return undefined;
  if (caller.type === 'keyDigest') return ofKey(caller.digest);
  return accounts.find(({name}) => name === caller.name);
}
