/** Entries of instances as another writer may leave them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseListedInstance} from '../src/index.js';

const VALID = {address: 'h:1', relay: 'h:2', dataCentre: 'z', facts: 2};

function parse(value: unknown) {
  return parseListedInstance({name: 'n', revision: 3, value}, 1);
}

describe('the entry of an instance', () => {
  it('is read', () => {
    const expected = {instance: 'n', ...VALID, era: 1, revision: 3};
    assert.deepEqual(parse(VALID), expected);
  });

  for (const change of [
    {address: 'h:99999'},
    {relay: 'h'},
    {relay: ''},
    {dataCentre: 7},
  ]) {
    it(`with ${JSON.stringify(change)} is left out, as no connection to it can be opened`, () =>
      assert.equal(parse({...VALID, ...change}), undefined));
  }

  for (const value of [null, 'text', [], {}]) {
    it(`${JSON.stringify(value)} is left out`, () =>
      assert.equal(parse(value), undefined));
  }
});
