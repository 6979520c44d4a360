/** Bounds on the nesting of values from outside. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isNestedTooDeep} from '../src/index.js';

describe('a value', () => {
  for (const [what, text, expected] of [
    ['without nesting', '1', false],
    ['of a configuration', '{"Routes":[{"Name":"r"}],"Limits":{}}', false],
    ['wide but not deep', `[${'{},'.repeat(10_000)}{}]`, false],
    [
      'nested 100,000 deep',
      `${'['.repeat(100_000)}${']'.repeat(100_000)}`,
      true,
    ],
  ] as const) {
    const verdict = expected ? 'is' : 'is not';
    it(`${what} ${verdict} nested too deep`, () => {
      assert.equal(isNestedTooDeep(JSON.parse(text)), expected);
    });
  }
});
