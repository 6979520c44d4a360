import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ConfigurationError, parseConfiguration} from '../src/index.js';

const SEED = 7;
const RUNS = 3000;

/**
 * Documents with the top-level fields of a configuration and arbitrary values
 * in them.
 */
const document = fc.record(
  {
    generation: fc.oneof(fc.integer(), fc.jsonValue()),
    groups: fc.oneof(
      fc.jsonValue(),
      fc.array(
        fc.record({
          name: fc.oneof(fc.string(), fc.constant('a')),
          endpoints: fc.jsonValue(),
        }),
      ),
    ),
    kinds: fc.jsonValue(),
    callers: fc.jsonValue(),
  },
  {requiredKeys: []},
);

test('any document is accepted or throws a ConfigurationError', () => {
  const property = fc.property(fc.oneof(document, fc.jsonValue()), item => {
    const before = JSON.stringify(item);
    try {
      assert.ok(parseConfiguration(item).generation >= 1);
    } catch (err) {
      assert.ok(err instanceof ConfigurationError, String(err));
      assert.ok(err.problems.length > 0);
    }
    assert.equal(JSON.stringify(item), before);
  });
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});
