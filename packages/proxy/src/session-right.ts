/**
 * Decides what an open session may still do by the configuration in force. The
 * route and the key of a session are two facts with two rules: a session without
 * its route may end its open transaction, one without its key must end soon.
 */
import {type ClientAccount, NO_ACCOUNT} from './accounts.js';
import type {Route, RoutingTable} from './routes.js';

/** What a session may still do. */
export type SessionRight =
  /** Everything, on behalf of `account`. */
  | {readonly type: 'goesOn'; readonly account: ClientAccount}
  /** Its route was dropped: an open transaction may end, nothing new begins. */
  | {readonly type: 'routeDropped'; readonly account: ClientAccount}
  /** Its key was removed or belongs to another account: it ends soon. */
  | {readonly type: 'revoked'};

/** An open session. */
export interface OpenSession {
  /** The database that its caller has named. */
  readonly database: string;
  /** The digest of its key. */
  readonly keyDigest: string;
  /** On whose behalf it runs. */
  readonly account: ClientAccount;
  /** Its route, as it was when it was last in a configuration. */
  readonly lastRoute: Pick<Route, 'isPublic'>;
}

/** What a session may still do with `table` in force. */
export function sessionRight(
  table: RoutingTable,
  session: OpenSession,
): SessionRight {
  const account = accountNow(table, session);
  // Prepared state and values of one account are not taken over by another.
  if (account?.name !== session.account.name) return {type: 'revoked'};
  const type = table.routes.has(session.database) ? 'goesOn' : 'routeDropped';
  return {type, account};
}

/**
 * The account for which the session could be opened now, whether its route is
 * there or not; undefined for none.
 */
function accountNow(
  {accounts, routes}: RoutingTable,
  {database, keyDigest, lastRoute}: OpenSession,
): ClientAccount | undefined {
  if (!accounts) return NO_ACCOUNT;
  const account = accounts.ofKey(keyDigest);
  if (account) return account;
  const {isPublic} = routes.get(database) ?? lastRoute;
  return isPublic ? NO_ACCOUNT : undefined;
}
