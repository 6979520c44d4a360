/** Leases as another writer may leave them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseLease} from '../src/lease.js';

function parse(value: unknown) {
  return parseLease({name: 'promotion', revision: 3, era: 1, value});
}

describe('the lease', () => {
  it('is read', () => {
    assert.equal(parse({holder: 'n', fence: 7})?.record.fence, 7);
  });

  for (const fence of [1e300, 1.5, '7', null]) {
    it(`with the fence ${fence} is none, since no later one could be above it`, () =>
      assert.equal(parse({holder: 'n', fence}), undefined));
  }
});
