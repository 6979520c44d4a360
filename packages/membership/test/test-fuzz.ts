/**
 * Gossip under arbitrary input: a message that passes the check must not stop the
 * state machine, nor take its own record from an instance.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {mutated, oddValue} from '@quetzalreel/checks';
import {
  type MembershipState,
  type PeerMessage,
  initialMembership,
  isPeerMessage,
  seededRandom,
  stepMembership,
} from '../src/index.js';
import {LIMITS} from './simulated-fleet.js';

const SEED = 48;

const SELF = {
  id: 'self',
  address: '10.0.0.1:1',
  admin: '10.0.0.1:2',
  dataCentre: 'z',
  incarnation: 1,
  status: 'alive' as const,
};
const PEER = {...SELF, id: 'peer', address: '10.0.0.2:1'};
const REPORT = {
  instance: 'peer',
  seq: 1,
  suspected: [{group: 'g', endpoint: 'e', term: 1}],
};
const ENVELOPE = {
  from: PEER,
  config: {generation: 1, digest: 'd'},
  changes: [
    {kind: 'member', member: {...SELF, status: 'suspect'}},
    {kind: 'report', report: REPORT},
  ],
};
const PAYLOADS: readonly object[] = [
  {type: 'ping', seq: 1},
  {type: 'ack', seq: 1},
  {type: 'relay', seq: 1, target: '10.0.0.3:1'},
  {type: 'roster', members: [PEER]},
  {type: 'news'},
  {type: 'wantDocument'},
  {type: 'document', body: new Uint8Array([1])},
  {type: 'wantLoan', endpoint: 'e', count: 1},
  {type: 'loan', endpoint: 'e', count: 1},
];
const MESSAGES = PAYLOADS.map(payload => ({...ENVELOPE, ...payload}));
const message = fc.oneof(...MESSAGES.map(mutated), oddValue);

describe('a gossip message', () => {
  it('is valid as instances send it, and any value is valid or not', () => {
    for (const item of MESSAGES) assert.ok(isPeerMessage(item));
    const property = fc.property(message, item => {
      isPeerMessage(item);
    });
    fc.assert(property, {seed: SEED, numRuns: 2000});
  });

  it('that is valid leaves an instance alive with its own record', () => {
    const list = fc.array(message, {maxLength: 10});
    const property = fc.property(list, items => {
      let state: MembershipState = initialMembership(
        SELF,
        LIMITS,
        seededRandom(SEED),
      );
      let now = 0;
      for (const item of items) {
        if (!isPeerMessage(item)) continue;
        const received = {type: 'received', message: item} as const;
        state = stepMembership(state, received, now).state;
        now += LIMITS.probeIntervalMs;
        const {state: next, effects} = stepMembership(
          state,
          {type: 'tick'},
          now,
        );
        state = next;
        for (const effect of effects) {
          if (effect.type !== 'send') continue;
          const sent: PeerMessage = effect.message;
          assert.ok(isPeerMessage(sent), JSON.stringify(sent));
        }
      }
      assert.equal(state.self.id, SELF.id);
      assert.equal(state.self.status, 'alive');
      assert.ok(state.self.incarnation >= SELF.incarnation);
    });
    fc.assert(property, {seed: SEED, numRuns: 500});
  });
});
