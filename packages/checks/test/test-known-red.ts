import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseKnownFailures} from '../src/index.js';

test('parses entries and ignores comments', () => {
  const text = '# a note\n\ntest: one\nseen: it failed\n\ntest: two\n';
  const names = parseKnownFailures(text).map(item => item.test);
  assert.deepEqual(names, ['one', 'two']);
});
