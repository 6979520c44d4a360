import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  comparePositions,
  formatPosition,
  majorityOf,
  parsePosition,
  isAtLeast,
} from '../src/index.js';

test('positions are ordered by term before the number of records', () => {
  const longOld = {term: 1, offset: 9};
  const shortNew = {term: 2, offset: 3};
  assert.ok(comparePositions(shortNew, longOld) > 0);
  assert.ok(isAtLeast(shortNew, longOld));
  assert.ok(!isAtLeast(longOld, shortNew));
});

test('a formatted position parses to the same position', () => {
  const position = {term: 3, offset: 41};
  assert.deepEqual(parsePosition(formatPosition(position)), position);
  for (const bad of ['', '1', '1/', 'a/b', '-1/2', '1/2/3']) {
    assert.equal(parsePosition(bad), undefined);
  }
});

test('a majority is more than half', () => {
  assert.deepEqual([1, 2, 3, 4, 5].map(majorityOf), [1, 2, 2, 3, 3]);
});
