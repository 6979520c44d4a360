/** Which eras of the store count, by answers and by what peers tell. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {storeEra} from '../src/index.js';

function eraAt(first: number) {
  const era = storeEra();
  const restores: Array<readonly [number, number]> = [];
  era.onRestored((now, before) => restores.push([before, now]));
  era.note(first);
  return {era, restores};
}

describe('the era of the store', () => {
  it('tells of a restore when it rises, not when it becomes known', () => {
    const {era, restores} = eraAt(0);
    assert.deepEqual(restores, []);
    assert.equal(era.note(1), true);
    assert.equal(era.hear(3), true);
    assert.deepEqual(restores, [
      [0, 1],
      [1, 3],
    ]);
  });

  it('does not fall by an answer of before, or by an outdated peer', () => {
    const {era} = eraAt(5);
    assert.equal(era.note(4), false);
    assert.equal(era.hear(4), false);
    assert.equal(era.current, 5);
  });

  it('does not rise to what a peer tells of the far future', () => {
    const {era, restores} = eraAt(5);
    assert.equal(era.hear(Number.MAX_SAFE_INTEGER), false);
    assert.equal(era.current, 5);
    assert.deepEqual(restores, []);
  });
});
