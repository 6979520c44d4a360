/** Decides whether a caller may open a session, by the configuration in force. */
import {ErrorCode} from '@quetzalreel/requests';
import type {ClientAccount} from './accounts.js';
import type {RoutingTable} from './routes.js';

/** The error that a session is refused or ended with. */
export interface SessionRefusal {
  readonly code: ErrorCode;
  readonly text: string;
}

/** What the decision depends on. */
export interface SessionRefusalContext {
  /** The configuration in force; undefined for none. */
  readonly table: RoutingTable | undefined;
  /** The account that the session would run for; undefined without one. */
  readonly account: ClientAccount | undefined;
  /** Whether this instance takes new sessions; false while it stops. */
  readonly takesSessions: boolean;
}

/** Why a session on the database is refused; undefined if it is accepted. */
export function sessionRefusal(
  database: string,
  {table, account, takesSessions}: SessionRefusalContext,
): SessionRefusal | undefined {
  if (!table?.routes.has(database)) {
    const text = `no route is named ${database}`;
    return {code: ErrorCode.NoDatabase, text};
  }
  if (!account) {
    const text = 'no client account holds this key; ask for a new one';
    return {code: ErrorCode.Unauthorized, text};
  }
  if (takesSessions) return undefined;
  const text = 'this instance stops; connect again';
  return {code: ErrorCode.Busy, text};
}

/** The refusal of a request whose route leads to no group any more. */
export function routeRefusal(database: string): SessionRefusal {
  const text = `no route leads from ${database} to a group`;
  return {code: ErrorCode.NoDatabase, text};
}
