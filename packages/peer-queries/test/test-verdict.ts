/** Verdicts on the answers of peers, in fleets of different sizes. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Verdict, verdictOf} from '../src/index.js';

const CASES = [
  {asked: 0, reached: 0, unreached: 0, verdict: Verdict.Unreached},
  {asked: 1, reached: 0, unreached: 0, verdict: Verdict.Inconclusive},
  {asked: 1, reached: 0, unreached: 1, verdict: Verdict.Unreached},
  // Half of a fleet of six or eight, partitioned from the other half.
  {asked: 5, reached: 0, unreached: 2, verdict: Verdict.Inconclusive},
  {asked: 7, reached: 0, unreached: 3, verdict: Verdict.Inconclusive},
  {asked: 5, reached: 0, unreached: 3, verdict: Verdict.Unreached},
  {asked: 7, reached: 0, unreached: 4, verdict: Verdict.Unreached},
  {asked: 5, reached: 1, unreached: 4, verdict: Verdict.Reached},
] as const;

describe('the verdict', () => {
  for (const {verdict, ...answers} of CASES) {
    const {asked, reached, unreached} = answers;
    it(`is ${verdict} if of ${asked} peers ${reached} reach it and ${unreached} don't`, () => {
      assert.equal(verdictOf(answers), verdict);
    });
  }
});
