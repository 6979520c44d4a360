/** Who gives way when callers make a process keep too much. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  type CallerMemory,
  type CallerShare,
  KeptKind,
  callerMemory,
} from '../src/index.js';

const SEED = 20261206;
const LIMITS = {totalBytes: 100, ownBytes: 10};

interface Joined {
  readonly share: CallerShare;
  /** Why it was closed; undefined while it is open. */
  why: string | undefined;
}

function join(memory: CallerMemory): Joined {
  const joined: Joined = {
    share: memory.join(why => (joined.why = why)),
    why: undefined,
  };
  return joined;
}

describe('the memory for callers', () => {
  it('closes the connection that keeps most, not the one that comes last', () => {
    const closed: number[] = [];
    const memory = callerMemory(LIMITS, bytes => closed.push(bytes));
    const [large, small] = [join(memory), join(memory)];
    large.share.set(KeptKind.Values, 80);
    small.share.set(KeptKind.Message, 21);
    assert.match(large.why ?? '', /caller memory/);
    assert.equal(small.why, undefined);
    assert.deepEqual(closed, [80]);
    assert.equal(memory.keptBytes, 21);
    assert.equal(memory.keptOf(KeptKind.Values), 0);
  });

  it('counts nothing for a connection that was closed', () => {
    const memory = callerMemory(LIMITS);
    const only = join(memory);
    only.share.set(KeptKind.Requests, 101);
    only.share.set(KeptKind.Answers, 50);
    only.share.dispose();
    assert.equal(memory.keptBytes, 0);
  });

  it('never keeps more than its budget unless all are within their own share', () => {
    const kinds = Object.values(KeptKind);
    const change = fc.record({
      caller: fc.nat(11),
      kind: fc.constantFrom(...kinds),
      bytes: fc.nat(60),
      leaves: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(change, {maxLength: 60}), changes => {
        const memory = callerMemory(LIMITS);
        const callers = Array.from({length: 12}, () => join(memory));
        for (const {caller, kind, bytes, leaves} of changes) {
          const {share} = callers[caller]!;
          if (leaves && bytes === 0) share.dispose();
          else share.set(kind, bytes);
          const open = callers.filter(({why}) => why === undefined);
          const sum = open.reduce((all, other) => all + other.share.bytes, 0);
          assert.equal(memory.keptBytes, sum);
          const most = Math.max(0, ...open.map(other => other.share.bytes));
          assert.ok(sum <= LIMITS.totalBytes || most <= LIMITS.ownBytes);
          const byKind = kinds.reduce((all, of) => all + memory.keptOf(of), 0);
          assert.equal(byKind, sum);
        }
      }),
      {seed: SEED, numRuns: 1000},
    );
  });
});
