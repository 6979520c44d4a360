/** What answers of others say, for fleets of each size. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Verdict, verdictOf} from '../src/index.js';

const CASES = [
  {asked: 0, reached: 0, unreached: 0, verdict: Verdict.Unreached},
  {asked: 1, reached: 0, unreached: 0, verdict: Verdict.Inconclusive},
  {asked: 1, reached: 0, unreached: 1, verdict: Verdict.Unreached},
  // Half of six, or of eight, cut off from the others.
  {asked: 5, reached: 0, unreached: 2, verdict: Verdict.Inconclusive},
  {asked: 7, reached: 0, unreached: 3, verdict: Verdict.Inconclusive},
  {asked: 5, reached: 0, unreached: 3, verdict: Verdict.Unreached},
  {asked: 7, reached: 0, unreached: 4, verdict: Verdict.Unreached},
  {asked: 5, reached: 1, unreached: 4, verdict: Verdict.Reached},
] as const;

describe('the verdict', () => {
  for (const {verdict, ...answers} of CASES) {
    const {asked, reached, unreached} = answers;
    it(`of ${unreached} against and ${reached} for among ${asked} is ${verdict}`, () => {
      assert.equal(verdictOf(answers), verdict);
    });
  }
});
