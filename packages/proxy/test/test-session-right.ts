/**
 * What a session may still do after a version of the configuration, over all that
 * a version may change of its key and of its route.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type ClientAccount,
  NO_ACCOUNT,
  accountDirectory,
} from '../src/accounts.js';
import type {Route, RoutingTable} from '../src/routes.js';
import {type SessionRight, sessionRight} from '../src/session-right.js';

const DATABASE = 'd';
const KEY = 'digest';

function account(name: string, priority = 0): ClientAccount {
  return {name, priority, limit: undefined};
}

/** Who holds the key after a version. */
const KEYS = {
  kept: [{account: account('a', 1), keyDigests: [KEY]}],
  removed: [{account: account('a'), keyDigests: ['other']}],
  moved: [{account: account('b'), keyDigests: [KEY]}],
  accountRemoved: [],
  noAccounts: undefined,
} as const;

/** The route after a version. */
const ROUTES = {
  kept: {isPublic: false},
  public: {isPublic: true},
  dropped: undefined,
} as const;

function tableOf(
  keys: keyof typeof KEYS,
  route: keyof typeof ROUTES,
): RoutingTable {
  const entries = KEYS[keys];
  const found = ROUTES[route] as Route | undefined;
  return {
    generation: 2,
    routes: new Map(found ? [[DATABASE, found]] : []),
    groups: new Map(),
    accounts: entries && accountDirectory(entries),
    idleTransactionMs: 3000,
  };
}

type Expected = SessionRight['type'];
const on = 'goesOn';
const route = 'routeDropped';
const gone = 'revoked';

/** Expected of a session by what happened to its key, and to its route. */
type Expectations = Readonly<
  Record<keyof typeof KEYS, Readonly<Record<keyof typeof ROUTES, Expected>>>
>;

/** Of a session of the account `a`. */
const OF_ACCOUNT: Expectations = {
  kept: {kept: on, public: on, dropped: route},
  removed: {kept: gone, public: gone, dropped: gone},
  moved: {kept: gone, public: gone, dropped: gone},
  accountRemoved: {kept: gone, public: gone, dropped: gone},
  noAccounts: {kept: gone, public: gone, dropped: gone},
};

/** Of a session without an account, on a route that was public before. */
const OF_PUBLIC: Expectations = {
  kept: {kept: gone, public: gone, dropped: gone},
  removed: {kept: gone, public: on, dropped: route},
  moved: {kept: gone, public: gone, dropped: gone},
  accountRemoved: {kept: gone, public: on, dropped: route},
  noAccounts: {kept: on, public: on, dropped: route},
};

/** Of one that was opened when there were no accounts, on a route for all. */
const OF_NO_ACCOUNTS: Expectations = {
  ...OF_PUBLIC,
  removed: {kept: gone, public: on, dropped: gone},
  accountRemoved: {kept: gone, public: on, dropped: gone},
};

const SESSIONS = [
  ['of an account', account('a'), false, OF_ACCOUNT],
  ['of nobody on a public route', NO_ACCOUNT, true, OF_PUBLIC],
  ['from before there were accounts', NO_ACCOUNT, false, OF_NO_ACCOUNTS],
] as const;

for (const [what, held, isPublic, expectations] of SESSIONS) {
  describe(`a session ${what}`, () => {
    for (const [keys, byRoute] of Object.entries(expectations)) {
      for (const [routes, expected] of Object.entries(byRoute)) {
        it(`with the key ${keys} and the route ${routes}: ${expected}`, () => {
          const table = tableOf(
            keys as keyof typeof KEYS,
            routes as keyof typeof ROUTES,
          );
          const right = sessionRight(table, {
            database: DATABASE,
            keyDigest: KEY,
            account: held,
            lastRoute: {isPublic},
          });
          assert.equal(right.type, expected);
        });
      }
    }
  });
}

describe('a session that goes on', () => {
  it('takes over what the configuration says of its account now', () => {
    const right = sessionRight(tableOf('kept', 'dropped'), {
      database: DATABASE,
      keyDigest: KEY,
      account: account('a', 0),
      lastRoute: {isPublic: false},
    });
    assert.ok(right.type !== 'revoked');
    assert.equal(right.account.priority, 1);
  });
});
