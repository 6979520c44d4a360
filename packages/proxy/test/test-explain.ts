/** Guards against explanations that send something or change the state. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {suspensionDetector} from '@quetzalreel/freshness';
import type {RelayDriver} from '@quetzalreel/relay';
import {
  type EndpointDriver,
  SessionState,
  localAnswer,
} from '@quetzalreel/requests';
import {type ExplainQuery, StatementKind} from '../src/explain-types.js';
import {
  type ExplainContext,
  describeInstance,
  explainRequest,
} from '../src/explain.js';
import {groupRuntime} from '../src/group.js';
import {createLog} from '../src/log.js';
import {ALWAYS_PERMITTED, type PrimaryUse} from '../src/primary-use.js';
import {ReadRule, type Route, type RoutingTable} from '../src/routes.js';
import {listedEndpoint} from './listed.js';

const PLAN = {
  isHolder: true,
  maxOwnConnections: 4,
  keptConnections: 1,
  holders: [],
  holderCount: 1,
  hasAccounts: false,
};
const POSITION = {term: 1, offset: 10};
const ANSWER = {...localAnswer(SessionState.Idle), position: POSITION};

function routeOf(rule: ReadRule): Route {
  return {
    database: rule,
    name: `r-${rule}`,
    rule,
    group: 'g',
    statementTimeoutMs: 800,
    objectiveMs: 200,
    priority: 1,
    maxStalenessMs: rule === ReadRule.Primary ? 0 : 1500,
    isPublic: false,
  };
}

const ROUTES = Object.values(ReadRule).map(routeOf);
const TABLE: RoutingTable = {
  generation: 7,
  routes: new Map(ROUTES.map(route => [route.database, route])),
  groups: new Map(),
  accounts: undefined,
  idleTransactionMs: 1000,
};

/** A group of a primary `i-1` and two replicas, with what it was made to do. */
function setUp(primaryUse: PrimaryUse = ALWAYS_PERMITTED) {
  const clock = manualClock();
  const done: string[] = [];
  const driver = {
    async connect({id}: {readonly id: string}) {
      done.push(`connect ${id}`);
      return {
        endpoint: id,
        isOpen: true,
        openPosition: POSITION,
        onClose() {},
        dispose() {},
        async send(req: {readonly type: string}) {
          done.push(`${req.type} ${id}`);
          return ANSWER;
        },
      };
    },
  } as unknown as EndpointDriver;
  const limits = {maxConnections: 22, syncReplicas: 0};
  const policy = {name: 'g', ...limits, hasAccounts: false};
  const now = () => clock.now();
  const group = groupRuntime(policy, {
    name: 'g',
    dataCentre: 'z',
    clock,
    log: createLog('n-1', {write: line => done.push(line)}),
    driver,
    relayDriver: {} as unknown as RelayDriver,
    suspensionDetector: suspensionDetector(now, now),
    leavingMs: 3500,
    askPeers: async () => void done.push('askPeers'),
    requestConfirmedPosition: () => void done.push('askPosition'),
    planFor: () => PLAN,
    primaryUse,
    lapsedEndpoints: () => [],
  });
  group.setEndpoints(
    ['i-1', 'i-2', 'i-3'].map(id => ({
      ...listedEndpoint(id),
      saysPrimary: id === 'i-1',
    })),
  );
  const context = (): ExplainContext => ({
    instance: 'n-1',
    dataCentre: 'z',
    table: TABLE,
    groups: new Map([['g', group]]),
    quotas: [],
    takesSessions: true,
    sessions: 0,
    now: clock.now(),
  });
  const explain = (
    database: string,
    statement: StatementKind,
    position: ExplainQuery['position'] = undefined,
  ) =>
    explainRequest(
      {
        target: {type: 'database', name: database},
        caller: undefined,
        statement,
        position,
      },
      context(),
    );
  return {clock, done, group, context, explain};
}

const settled = () => new Promise(resolve => setImmediate(resolve));

describe('an explanation', () => {
  it('sends nothing and changes no state, with and without connections', async () => {
    const {done, group, context, explain} = setUp();
    for (const hasConnections of [false, true]) {
      if (hasConnections) for (const link of group.links.values()) link.open();
      await settled();
      const before = describeInstance(context());
      const sent = [...done];
      for (const database of [...TABLE.routes.keys(), 'unknown']) {
        for (const statement of Object.values(StatementKind)) {
          explain(database, statement);
          explain(database, statement, {term: 9, offset: 1});
        }
      }
      await settled();
      assert.deepEqual(done, sent);
      assert.deepEqual(describeInstance(context()), before);
    }
  });

  it('names the endpoint to which a waiting request opens a connection', async () => {
    const {done, group, explain} = setUp();
    const found = explain(ReadRule.Primary, StatementKind.Write);
    const {outcome} = found;
    assert.ok(outcome.type === 'waits');
    assert.equal(outcome.cause, 'connection');
    assert.equal(outcome.opening, 'i-1');
    const lease = group.acquire({
      primaryOnly: true,
      need: () => ({primaryOnly: true, atLeast: undefined, avoid: new Set()}),
      priority: 1,
      account: '',
      accountPriority: 0,
      settingsKey: '',
      objectiveAt: 200,
      deadline: 800,
      hasDisconnected: () => false,
    });
    assert.equal(done[done.length - 1], 'connect i-1');
    assert.equal((await lease)?.link.listed.id, 'i-1');
  });

  it('says that the primary may not be used without permission', async () => {
    const use = {...ALWAYS_PERMITTED, isPermitted: false, hasLapsed: false};
    const {group, explain} = setUp(use);
    group.links.get('i-1')!.open();
    await settled();
    const {outcome, endpoints} = explain(ReadRule.Primary, StatementKind.Write);
    assert.ok(outcome.type === 'waits');
    assert.equal(outcome.cause, 'permission');
    assert.equal(endpoints[0]!.rejection, 'notPermitted');
    use.hasLapsed = true;
    const lapsed = explain(ReadRule.Primary, StatementKind.Write).outcome;
    assert.ok(lapsed.type === 'refused' && !lapsed.isSession);
    assert.equal(lapsed.error.code, 'busy');
  });

  it('says when the statements in flight reach the limit', async () => {
    const {group, explain} = setUp();
    const link = group.links.get('i-1')!;
    link.open();
    await settled();
    link.facts.inFlight = 6;
    const found = explain(ReadRule.Primary, StatementKind.Write);
    assert.ok(found.outcome.type === 'waits');
    assert.equal(found.outcome.cause, 'limit');
    assert.deepEqual(found.endpoints[0]!.limit, {
      inFlight: 6,
      most: 6,
      slots: 3,
    });
  });

  it('refuses a session while the instance stops, and on a route without group', () => {
    const {context} = setUp();
    const query: ExplainQuery = {
      target: {type: 'route', name: `r-${ReadRule.Bounded}`},
      caller: undefined,
      statement: StatementKind.Read,
      position: undefined,
    };
    const stopping = {...context(), takesSessions: false};
    const {outcome} = explainRequest(query, stopping);
    assert.ok(outcome.type === 'refused' && outcome.isSession);
    assert.equal(outcome.error.code, 'busy');
    const without = explainRequest(query, {...context(), groups: new Map()});
    assert.ok(without.outcome.type === 'refused');
    assert.equal(without.outcome.error.code, 'noDatabase');
    const unconfigured = {...context(), table: undefined};
    const {generation, ...rest} = explainRequest(query, unconfigured);
    assert.equal(generation, 0);
    assert.equal(rest.outcome.type, 'refused');
  });
});
