/** Tests what a read sends to endpoints, and how it handles their refusals. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {systemClock} from '@quetzalreel/common';
import {
  type Answer,
  type EndpointRequest,
  ErrorCode,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {
  GroupRuntime,
  ConnectionLease,
  ConnectionRequest,
} from '../src/group-types.js';
import {NO_ACCOUNT} from '../src/accounts.js';
import {createLog} from '../src/log.js';
import {proxyMetrics} from '../src/metrics.js';
import type {Need} from '../src/placement.js';
import {ReadRule} from '../src/routes.js';
import {type ServeContext, newSessionData} from '../src/session-context.js';
import {NO_CONNECTIONS_PLAN} from '../src/connection-sharing.js';
import {serveRead} from '../src/single-statement.js';

const FLOOR = {term: 1, offset: 9};
const DONE: Answer = {...localAnswer(SessionState.Idle), signature: 's'};
const BEHIND = localError(ErrorCode.Behind, 'i-2', SessionState.Idle);

const FULL = localError(ErrorCode.Busy, 'i-2', SessionState.Idle);

/**
 * A request that an endpoint received, and the need for which the endpoint was
 * chosen.
 */
interface Sent {
  readonly req: EndpointRequest;
  readonly need: Need;
  readonly endpoint: string;
}

const ENDPOINTS = ['i-2', 'i-3', 'i-1'] as const;

/**
 * Serves one read of a session that has written up to `FLOOR`. Requests go to
 * the first endpoint that is not excluded, and get `answers` in turn.
 */
async function readWith(
  answers: readonly Answer[],
  rule: ReadRule = ReadRule.OwnWrites,
) {
  const sent: Sent[] = [];
  // Only the members of a group that a read uses.
  const group = {
    name: 'g',
    requiredPosition: (_maxStalenessMs: number, floor: unknown) => floor,
    noteStatementAnswer() {},
    noteAnswer() {},
    notePrimaryAnswer() {},
    countPrimaryWork: () => () => {},
    mayContinueOnPrimary: () => true,
    canServe: ({avoid}: Need) => ENDPOINTS.some(id => !avoid.has(id)),
    async acquire(req: ConnectionRequest) {
      const need = req.need();
      const id = ENDPOINTS.find(known => !need.avoid.has(known));
      if (id === undefined) return undefined;
      const link = {
        listed: {id},
        facts: {inFlight: 0},
        plan: NO_CONNECTIONS_PLAN,
      };
      const avoid = new Set(need.avoid);
      const pooled = {
        connection: {endpoint: id, dispose() {}},
        applySettings() {},
        trim() {},
        async send(request: EndpointRequest) {
          sent.push({req: request, need: {...need, avoid}, endpoint: id});
          return answers[sent.length - 1]!;
        },
      };
      return {need, link, pooled, release() {}} as unknown as ConnectionLease;
    },
  } as unknown as GroupRuntime;
  const memory = newSessionData();
  memory.floors.set('g', FLOOR);
  const clock = systemClock();
  const context: ServeContext = {
    clock,
    group,
    sessionData: memory,
    log: createLog('test', {write: () => {}}),
    metrics: proxyMetrics({
      groups: () => [],
      generation: () => 0,
      storeEra: () => 0,
      sessions: () => 0,
      heldAnswerBytes: () => 0,
      now: () => clock.now(),
    }),
    route: {
      database: 'd',
      name: 'r',
      rule,
      group: 'g',
      statementTimeoutMs: 800,
      objectiveMs: 250,
      priority: 1,
      maxStalenessMs: 2500,
      isPublic: false,
    },
    account: NO_ACCOUNT,
    arrivedAt: clock.now(),
    answerBy: () => Infinity,
    hasDisconnected: () => false,
  };
  const statement = {type: 'read'} as const;
  const req = {id: 'a', text: 'READ k', statement};
  const answer = await serveRead(context, req);
  return {sent, answer};
}

type Begin = Extract<EndpointRequest, {readonly type: 'begin'}>;
type Forwarded = Extract<EndpointRequest, {readonly type: 'forward'}>;

describe('a read', () => {
  it('carries the position that the log must have reached', async () => {
    const {sent, answer} = await readWith([DONE]);
    const {origin, ...req} = sent[0]!.req as Forwarded;
    const expected = {type: 'forward', id: 'a', text: 'READ k', atLeast: FLOOR};
    assert.deepEqual(req, expected);
    assert.equal(origin?.priority, 1);
    assert.equal(answer, DONE);
  });

  it('refused by an endpoint that is behind goes to another one', async () => {
    const {sent, answer} = await readWith([BEHIND, DONE]);
    assert.equal(sent.length, 2);
    assert.ok(sent[1]!.need.avoid.has('i-2'));
    assert.equal(answer, DONE);
  });

  it('is repeated at the only endpoint that can serve it while that one is busy', async () => {
    const {sent, answer} = await readWith([BEHIND, BEHIND, FULL, FULL, DONE]);
    const order = sent.map(({endpoint}) => endpoint);
    assert.deepEqual(order, ['i-2', 'i-3', 'i-1', 'i-1', 'i-1']);
    assert.equal(answer, DONE);
  });

  it('leaves a busy endpoint while another one may serve it', async () => {
    const {sent, answer} = await readWith([FULL, DONE]);
    const order = sent.map(({endpoint}) => endpoint);
    assert.deepEqual(order, ['i-2', 'i-3']);
    assert.equal(answer, DONE);
  });

  it('of a primary route runs in a transaction that only the primary opens', async () => {
    const begun = localAnswer(SessionState.Open);
    const ended = localAnswer(SessionState.Idle);
    const answers = [begun, DONE, ended];
    const {sent, answer} = await readWith(answers, ReadRule.Primary);
    const types = sent.map(({req}) => req.type);
    assert.deepEqual(types, ['begin', 'forward', 'rollback']);
    const {origin, ...begin} = sent[0]!.req as Begin;
    assert.deepEqual(begin, {type: 'begin', readOnly: false});
    assert.equal(origin?.priority, 1);
    assert.equal(sent[0]!.need.primaryOnly, true);
    assert.equal(answer.signature, DONE.signature);
  });
});
