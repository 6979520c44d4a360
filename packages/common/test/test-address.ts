/** Addresses that can and can't be connected to. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseAddress} from '../src/index.js';

describe('an address', () => {
  it('is read as host and port', () => {
    assert.deepEqual(parseAddress('10.0.0.1:80'), {host: '10.0.0.1', port: 80});
    assert.deepEqual(parseAddress('::1:80'), {host: '::1', port: 80});
  });

  for (const text of ['', 'a', ':80', 'a:', 'a:0', 'a:99999', 'a:1.5', 'a:x']) {
    it(`"${text}" can't be connected to`, () =>
      assert.equal(parseAddress(text), undefined));
  }
});
