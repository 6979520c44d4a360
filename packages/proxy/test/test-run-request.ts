/** Whose permission counts when an endpoint answers as the primary. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock, systemClock} from '@quetzalreel/common';
import {RelayedConnection} from '@quetzalreel/relay';
import {
  type Answer,
  ConnectionLostError,
  type EndpointConnection,
  SessionState,
  localAnswer,
} from '@quetzalreel/requests';
import type {ConnectionLease, GroupRuntime} from '../src/group-types.js';
import {TIMES} from '../src/defaults.js';
import {noLoad} from '../src/load-counts.js';
import {ANY_ENDPOINT} from '../src/placement.js';
import {
  openTransaction,
  rollBackAndRelease,
  runStatement,
} from '../src/run-request.js';
import {listedEndpoint} from './listed.js';

const DONE: Answer = {...localAnswer(SessionState.Idle), signature: 's'};
const WRITE = {type: 'forward', id: 'a', text: 'WRITE k d'} as const;
const ON_PRIMARY = {timeoutMs: 500, commits: true, onPrimary: true};

/** Requests over `connection` in a group whose primary may not be used. */
function withoutPermission(connection: EndpointConnection) {
  let proofs = 0;
  // Only the members that are used here.
  const group = {
    noteAnswer() {},
    noteStatementAnswer() {},
    notePrimaryAnswer() {
      proofs++;
    },
    mayContinueOnPrimary: () => false,
  } as Partial<GroupRuntime> as GroupRuntime;
  const lease = {
    need: ANY_ENDPOINT,
    // As planned, this instance goes through others: it is no holder.
    link: {listed: listedEndpoint('i-1'), plan: {isHolder: false}},
    pooled: {connection, send: async () => DONE},
  } as unknown as ConnectionLease;
  const context = {clock: systemClock(), group};
  return {context, lease, proofs: () => proofs};
}

const DIRECT = {endpoint: 'i-1', dispose() {}} as unknown as EndpointConnection;
const RELAYED = Object.create(
  RelayedConnection.prototype,
) as EndpointConnection;

describe('a rollback', () => {
  it('without an answer gives its connection back, so that others can be opened', () => {
    const clock = manualClock();
    let closed = 0;
    const released: boolean[] = [];
    // Only the members that are used here.
    const lease = {
      link: {listed: listedEndpoint('i-1'), load: noLoad()},
      pooled: {
        connection: {endpoint: 'i-1', dispose: () => closed++},
        send: () => new Promise(() => {}),
      },
      release: (reusable: boolean) => released.push(reusable),
    } as unknown as ConnectionLease;
    rollBackAndRelease(clock, lease);
    clock.advance(TIMES.rollBackTimeoutMs);
    return Promise.resolve().then(() => {
      assert.equal(closed, 1);
      assert.deepEqual(released, [false]);
    });
  });
});

describe('without permission to use primaries', () => {
  it('an answer on a direct connection is not used, holder or not', async () => {
    const {context, lease, proofs} = withoutPermission(DIRECT);
    await assert.rejects(
      runStatement(context, lease, WRITE, ON_PRIMARY),
      ConnectionLostError,
    );
    const begin = {type: 'begin', readOnly: false} as const;
    await openTransaction(context, lease, begin, 500);
    assert.equal(proofs(), 0);
  });

  it('an answer through a relay is, as the relay checks its own', async () => {
    const {context, lease, proofs} = withoutPermission(RELAYED);
    const answer = await runStatement(context, lease, WRITE, ON_PRIMARY);
    assert.equal(answer, DONE);
    assert.equal(proofs(), 1);
  });
});
