import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseKnownRed} from '../src/index.js';

test('entries are read, comments are not', () => {
  const text = '# a note\n\ntest: one\nseen: it failed\n\ntest: two\n';
  const names = parseKnownRed(text).map(item => item.test);
  assert.deepEqual(names, ['one', 'two']);
});
