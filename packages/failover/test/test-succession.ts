/**
 * Who replaces a lost primary. The rule is an overlap of quorums: of the n
 * endpoints beside the primary, n - k + 1 must have told what they have received,
 * so that one of any k of them, which an acknowledged commit is at, was heard.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  type Member,
  type SuccessionContext,
  Told,
  chooseSuccessor,
} from '../src/succession.js';

const TERM = 3;
const PRIMARY = 'p';

function heard(endpoint: string, offset: number, isLeaving = false): Member {
  const position = {term: TERM, offset};
  const told = Told.Status;
  return {endpoint, isLeaving, told, position, isPrimary: false};
}

function busy(endpoint: string, applied: number): Member {
  const told = Told.Busy;
  return {...heard(endpoint, applied), told, isPrimary: undefined};
}

function unheard(endpoint: string): Member {
  const told = Told.Nothing;
  const position = undefined;
  return {endpoint, isLeaving: false, told, position, isPrimary: undefined};
}

function choose(
  syncReplicas: number,
  members: readonly Member[],
  context: Partial<SuccessionContext> = {},
): string {
  const result = chooseSuccessor({
    members,
    replaced: PRIMARY,
    syncReplicas,
    lastNamed: undefined,
    ...context,
  });
  if (result.type === 'chosen') return result.endpoint;
  const busyOnes = result.busy.map(name => `${name}?`);
  const silent = result.missing.filter(name => !result.busy.includes(name));
  return `waits for ${result.needed}: ${[...silent, ...busyOnes].join(' ')}`;
}

/** Number of replicas that have a commit, members, expected choice. */
const CASES: ReadonlyArray<
  readonly [string, number, readonly Member[], string]
> = [
  ['all were heard', 1, [heard('a', 4), heard('b', 7)], 'b'],
  ['one is busy', 1, [heard('a', 4), busy('b', 2)], 'waits for 2: b?'],
  ['one is silent', 1, [heard('a', 4), unheard('b')], 'waits for 2: b'],
  ['none was heard', 1, [unheard('a'), busy('b', 9)], 'waits for 2: a b?'],
  [
    'two of three have each commit',
    2,
    [heard('a', 4), heard('b', 3), unheard('c')],
    'a',
  ],
  [
    'one of three has it',
    1,
    [heard('a', 4), heard('b', 3), unheard('c')],
    'waits for 3: c',
  ],
  ['more are wanted than there are', 3, [heard('a', 4), unheard('b')], 'a'],
  ['nobody is left', 1, [], 'waits for 1: '],
  ['the latest leaves', 1, [heard('a', 4), heard('b', 7, true)], 'b'],
  ['as late as one that leaves', 1, [heard('b', 7), heard('a', 7, true)], 'b'],
  ['commits may be lost', 0, [heard('a', 4), unheard('b')], 'a'],
  [
    'commits may be lost, and one is busy',
    0,
    [heard('a', 4), busy('b', 9)],
    'b',
  ],
];

describe('a lost primary', () => {
  for (const [what, syncReplicas, members, expected] of CASES) {
    it(`is replaced or not where ${what}`, () => {
      assert.equal(choose(syncReplicas, members), expected);
    });
  }

  it('goes on if it is back and says that it leads', () => {
    const back = {...heard(PRIMARY, 9), isPrimary: true};
    assert.equal(choose(1, [back, heard('a', 9), unheard('b')]), PRIMARY);
  });

  it('does not go on with an older log than a replica has', () => {
    const back = {...heard(PRIMARY, 8), isPrimary: true};
    const members = [back, heard('a', 9), unheard('b')];
    assert.equal(choose(1, members), 'waits for 2: b');
  });

  it('counts while another one that is gone may have led after it', () => {
    const members = [unheard(PRIMARY), heard('b', 4)];
    assert.equal(choose(1, members), 'b');
    const lastNamed = 'a';
    assert.equal(choose(1, members, {lastNamed}), 'waits for 2: p');
  });
});

describe('any choice', () => {
  it('has each commit that enough replicas have', () => {
    const member = fc.record({
      offset: fc.nat(3),
      told: fc.constantFrom(...Object.values(Told)),
    });
    const fleet = fc.array(member, {minLength: 1, maxLength: 5});
    let chosenCount = 0;
    fc.assert(
      fc.property(fleet, fc.integer({min: 1, max: 5}), (found, k) => {
        const members = found.map(({offset, told}, at) => ({
          ...heard(`r${at}`, offset),
          told,
          position: told === Told.Nothing ? undefined : {term: TERM, offset},
        }));
        const result = chooseSuccessor({
          members,
          replaced: PRIMARY,
          syncReplicas: k,
          lastNamed: undefined,
        });
        if (result.type !== 'chosen' || k > found.length) return;
        chosenCount++;
        const offsets = found.map(({offset}) => offset).sort((a, b) => b - a);
        const acknowledged = offsets[k - 1]!;
        const chosen = members.find(
          ({endpoint}) => endpoint === result.endpoint,
        )!;
        assert.ok(chosen.position!.offset >= acknowledged);
      }),
      {seed: 52, numRuns: 500},
    );
    assert.ok(chosenCount >= 50, `${chosenCount} chosen`);
  });
});
