/** Which long answers wait while a process holds too much for its callers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AnswerMemory, answerMemory} from '../src/index.js';

const LIMITS = {
  sharedBytes: 100,
  heldBytes: 200,
  shortBytes: 10,
  answerBytes: 150,
};

/** An answer that arrives, and whether its sender is made to wait. */
function arriving(memory: AnswerMemory) {
  const source = {
    waits: false,
    pause: () => void (source.waits = true),
    resume: () => void (source.waits = false),
  };
  return {source, answer: memory.gather(source)};
}

describe('the memory for long answers', () => {
  it('lets only the oldest answer go on above the shared part', () => {
    const memory = answerMemory(LIMITS);
    const [first, second] = [arriving(memory), arriving(memory)];
    first.answer.add(60);
    second.answer.add(60);
    assert.deepEqual([first.source.waits, second.source.waits], [false, true]);
    first.answer.end();
    assert.equal(second.source.waits, false);
  });

  it('makes the oldest answer wait for callers that have long ones to receive', () => {
    const memory = answerMemory(LIMITS);
    const held = memory.hold(190);
    const {source, answer} = arriving(memory);
    answer.add(20);
    assert.equal(source.waits, true);
    held.dispose();
    assert.equal(source.waits, false);
  });

  it('does not let incomplete answers wait for each other', () => {
    const memory = answerMemory(LIMITS);
    const answers = Array.from({length: 30}, () => arriving(memory));
    for (const {answer} of answers) answer.add(11);
    assert.ok(memory.heldBytes > LIMITS.heldBytes);
    assert.equal(answers.filter(({source}) => !source.waits).length, 1);
  });

  it('neither counts short answers nor makes them wait', () => {
    const memory = answerMemory(LIMITS);
    memory.hold(1000);
    const {source, answer} = arriving(memory);
    answer.add(10);
    memory.hold(10);
    assert.equal(source.waits, false);
    assert.equal(memory.heldBytes, 1000);
  });

  it('tells when an answer has become too long', () => {
    const memory = answerMemory(LIMITS);
    const {answer} = arriving(memory);
    assert.equal(answer.add(150), true);
    assert.equal(answer.add(1), false);
  });

  it('counts nothing in the end, and something can always go on', () => {
    const step = fc.record({
      at: fc.nat(5),
      bytes: fc.integer({min: 1, max: 80}),
      what: fc.constantFrom('add', 'end', 'hold', 'take'),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80}), steps => {
        const memory = answerMemory(LIMITS);
        const answers = Array.from({length: 6}, () => arriving(memory));
        const long = new Map<number, number>();
        const held: Array<{dispose(): void}> = [];
        for (const {at, bytes, what} of steps) {
          const {source, answer} = answers[at]!;
          if (what === 'add' && !source.waits) {
            answer.add(bytes);
            long.set(at, (long.get(at) ?? 0) + bytes);
          }
          if (what === 'end') {
            answer.end();
            long.delete(at);
          }
          if (what === 'hold') held.push(memory.hold(bytes));
          if (what === 'take') held.shift()?.dispose();
          const waiting = answers.filter(item => item.source.waits);
          assert.ok(
            waiting.length === 0 || memory.heldBytes > LIMITS.sharedBytes,
          );
        }
        for (const item of held) item.dispose();
        const counted = [...long].filter(
          ([, bytes]) => bytes > LIMITS.shortBytes,
        );
        const canGoOn = counted.some(([at]) => !answers[at]!.source.waits);
        assert.ok(counted.length === 0 || canGoOn);
        for (const {answer} of answers) answer.end();
        assert.equal(memory.heldBytes, 0);
        assert.ok(answers.every(({source}) => !source.waits));
      }),
      {seed: 35, numRuns: 500},
    );
  });
});
