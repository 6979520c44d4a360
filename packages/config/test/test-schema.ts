import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ConfigurationError, parseConfiguration} from '../src/index.js';

const ENDPOINT = {name: 'e1', host: '127.0.0.1', port: 5, dataCentre: 'recife'};

test('defaults are filled in, and the document is left alone', () => {
  const document = {
    generation: 1,
    groups: [{name: 'g', endpoints: [ENDPOINT]}],
  };
  const before = structuredClone(document);
  const cfg = parseConfiguration(document);
  assert.equal(cfg.groups[0]!.endpoints[0]!.slots, 3);
  assert.deepEqual(document, before);
});

test('all problems are told at once, each with its path', () => {
  const bad = {generation: 0, groups: [{name: 'G!', endpoints: []}], extra: 1};
  try {
    parseConfiguration(bad);
    assert.fail('was accepted');
  } catch (err) {
    assert.ok(err instanceof ConfigurationError);
    const paths = err.problems.map(problem => problem.path).sort();
    assert.deepEqual(paths, [
      '',
      '/generation',
      '/groups/0/endpoints',
      '/groups/0/name',
    ]);
  }
});

test('a name that stands twice is refused', () => {
  const groups = [{name: 'g', endpoints: [ENDPOINT, ENDPOINT]}];
  assert.throws(
    () => parseConfiguration({generation: 1, groups}),
    /rename the second e1/,
  );
});
