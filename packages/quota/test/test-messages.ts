/** Messages from peers of any content, and the choice of owners. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import fc from 'fast-check';
import {
  type QuotaMessage,
  accountQuotas,
  hasQuotaType,
  isQuotaMessage,
} from '../src/index.js';
import {ownerChoice} from '../src/owners.js';
import {RULE} from './quota-network.js';

const SELF = {instance: 'n-0', dataCentre: 'a', address: 'n-0:1'};
const OTHER = {instance: 'n-1', dataCentre: 'b', address: 'n-1:1'};
const ENVELOPE = {from: OTHER.address, seq: 1};
const ASK = {type: 'tokensWanted', account: 'a', count: 2, ahead: 1};
const TOKENS = {type: 'tokens', count: 1, retryMs: 0, lowMs: 0};

describe('a message', () => {
  const invalid = [
    {...ENVELOPE, ...ASK, settled: [{seq: 1.5, unused: 0}]},
    {...ENVELOPE, ...ASK, settled: [], count: -1},
    {...ENVELOPE, ...ASK, settled: [], ahead: 3},
    {...ENVELOPE, ...ASK, settled: [], account: 'a'.repeat(257)},
    {...ENVELOPE, ...TOKENS, role: 'active', retryMs: Infinity},
    {...ENVELOPE, ...TOKENS, role: 'active', retryMs: NaN},
    {...ENVELOPE, ...TOKENS, role: 'other'},
    {...ENVELOPE, type: 'joined', digest: 0, instance: {instance: 'x'}},
    {from: OTHER.address, type: 'left', instance: 'x'},
  ];
  for (const message of invalid) {
    const text = JSON.stringify(message).slice(0, 120);
    it(`${text} is known but not valid`, () => {
      assert.equal(hasQuotaType(message), true);
      assert.equal(isQuotaMessage(message), false);
    });
  }

  it('of any content is judged without an error', () => {
    fc.assert(
      fc.property(fc.anything(), value => {
        isQuotaMessage(value);
        hasQuotaType(value);
      }),
      {seed: 3, numRuns: 500},
    );
  });

  it('that is valid is received without an error and keeps grants within the burst', () => {
    const instance = fc.constantFrom(SELF, OTHER, {...OTHER, instance: 'n-2'});
    const settled = fc.array(fc.record({seq: fc.nat(5), unused: fc.nat(99)}));
    const body = fc.oneof(
      fc.record({
        type: fc.constant('tokensWanted' as const),
        account: fc.constantFrom('a', 'b'),
        count: fc.integer({min: 9, max: 99}),
        ahead: fc.nat(9),
        settled,
      }),
      fc.record({
        type: fc.constant('tokens' as const),
        count: fc.nat(9),
        retryMs: fc.nat(9),
        lowMs: fc.nat(9),
        role: fc.constantFrom('active' as const, 'pending', 'none'),
      }),
      fc.record({
        type: fc.constant('joined' as const),
        instance,
        digest: fc.nat(),
      }),
      fc.record({
        type: fc.constant('joinedNoted' as const),
        instance: fc.constantFrom('n-0', 'n-1'),
        joined: fc.array(instance),
        vanished: fc.array(instance),
      }),
      fc.record({
        type: fc.constant('left' as const),
        instance: fc.constantFrom('n-0', 'n-1'),
      }),
      fc.constant({type: 'listed' as const}),
      fc.constant({type: 'listedWanted' as const}),
    );
    fc.assert(
      fc.property(fc.array(body, {maxLength: 30}), bodies => {
        const clock = manualClock();
        let granted = 0;
        const quotas = accountQuotas({
          self: () => SELF,
          rule: RULE,
          clock,
          suspensions: () => 0,
          mayOwnAtOnce: true,
          onEvent: () => {},
          send: (_, message) => {
            if (message.type === 'tokens') granted += message.count;
          },
        });
        quotas.setLimits(new Map([['a', {ratePerSecond: 0, burst: 9}]]));
        quotas.setInstances([OTHER]);
        clock.advance(1000);
        bodies.forEach((item, seq) =>
          quotas.receive({from: OTHER.address, seq, ...item} as QuotaMessage),
        );
        assert.equal(granted, 0, 'an empty bucket without a rate stays empty');
        quotas.dispose();
      }),
      {seed: 4, numRuns: 300},
    );
  });
});

describe('the owners of an account', () => {
  const instances = Array.from({length: 12}, (_, i) => ({
    instance: `n-${i}`,
    dataCentre: `dc-${i % 3}`,
    address: `n-${i}:1`,
  }));
  const {choose} = ownerChoice();
  const accounts = Array.from({length: 40}, (_, i) => `account-${i}`);

  it('are in different data centres, and the backup is none of them', () => {
    for (const account of accounts) {
      const {owners, backup} = choose(account, instances, 3);
      assert.equal(new Set(owners.map(item => item.dataCentre)).size, 3);
      assert.ok(backup && !owners.includes(backup));
    }
  });

  it('change by one at most when an instance joins', () => {
    const without = instances.slice(1);
    for (const account of accounts) {
      for (const count of [1, 2, 3]) {
        const before = choose(account, without, count).owners;
        const after = choose(account, instances, count).owners;
        assert.ok(before.filter(item => !after.includes(item)).length <= 1);
      }
    }
  });

  it('are all instances if there are few', () => {
    const {owners, backup} = choose('a', instances.slice(0, 2), 3);
    assert.equal(owners.length, 2);
    assert.equal(backup, undefined);
  });
});
