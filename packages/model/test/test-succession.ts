/**
 * Searches the model of changes in groups whose acknowledged commits must be kept
 * exhaustively, then checks that disabling any one rule breaks an invariant.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {search} from '../src/search.js';
import {
  type SuccessionBounds,
  SuccessionOmission,
  initialSuccessionState,
  successionSteps,
} from '../src/succession.js';

const MAX_STATES = 1_000_000;

/** Bounds of the exhaustive searches. */
const CASES: ReadonlyArray<readonly [string, SuccessionBounds]> = [
  [
    'one of two replicas',
    {replicas: 2, syncReplicas: 1, commits: 2, hasEarlierChange: false},
  ],
  [
    'two of three replicas',
    {replicas: 3, syncReplicas: 2, commits: 1, hasEarlierChange: false},
  ],
  [
    'one of two replicas after a change that may not be known',
    {replicas: 2, syncReplicas: 1, commits: 1, hasEarlierChange: true},
  ],
];

function explore(bounds: SuccessionBounds) {
  return search(
    initialSuccessionState(bounds),
    state => successionSteps(state, bounds),
    MAX_STATES,
  );
}

describe('a successor', () => {
  for (const [where, bounds] of CASES) {
    it(`has all commits that were acknowledged at ${where}`, () => {
      const {violation, complete} = explore(bounds);
      assert.equal(violation, undefined);
      assert.equal(complete, true);
    });
  }

  for (const omit of Object.values(SuccessionOmission)) {
    it(`lacks one with: ${omit}`, () => {
      const found = CASES.some(
        ([, bounds]) => explore({...bounds, omit}).violation,
      );
      assert.ok(found);
    });
  }
});
