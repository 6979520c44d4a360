import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ConfigurationError,
  configurationWarnings,
  parseConfiguration,
} from '../src/index.js';

const ENDPOINT = {name: 'e1', host: '127.0.0.1', port: 5, dataCentre: 'recife'};

test('defaults are filled in without changing the document', () => {
  const document = {
    generation: 1,
    groups: [{name: 'g', endpoints: [ENDPOINT]}],
  };
  const before = structuredClone(document);
  const cfg = parseConfiguration(document);
  assert.equal(cfg.groups[0]!.endpoints[0]!.slots, 3);
  assert.deepEqual(document, before);
});

test('all problems are reported together, each with its path', () => {
  const bad = {generation: 0, groups: [{name: 'G!', endpoints: []}], extra: 1};
  try {
    parseConfiguration(bad);
    assert.fail('was accepted');
  } catch (err) {
    assert.ok(err instanceof ConfigurationError);
    const paths = err.problems.map(problem => problem.path).sort();
    assert.deepEqual(paths, [
      '/extra',
      '/generation',
      '/groups/0/endpoints',
      '/groups/0/name',
    ]);
  }
});

/** A valid configuration of one group, with the fields of `change` replaced. */
function document(change: object): unknown {
  const e = (name: string, port: number) => ({...ENDPOINT, name, port});
  const endpoints = [e('e1', 1), e('e2', 2), e('e3', 3)];
  return {generation: 1, groups: [{name: 'g', endpoints}], ...change};
}

const group = (name: string, ...endpoints: object[]) => ({name, endpoints});
const leaving = {...ENDPOINT, leaving: true};

const INVALID_CASES: ReadonlyArray<[string, object, string, RegExp]> = [
  ['a missing field', {groups: [{name: 'g'}]}, '/groups/0/endpoints', /add/],
  ['an unknown field', {grops: []}, '/grops', /remove this field/],
  [
    'a string instead of a number',
    {generation: '4'},
    '/generation',
    /whole number/,
  ],
  ['a number below the minimum', {generation: 0}, '/generation', /at least 1/],
  [
    'a name with a space',
    {kinds: [{name: 'a b', access: 'read'}]},
    '/kinds/0/name',
    /a to z/,
  ],
  [
    'a value outside an enum',
    {kinds: [{name: 'k', access: 'both'}]},
    '/kinds/0/access',
    /one of read, write/,
  ],
  [
    'a duplicate endpoint name',
    {groups: [group('g', ENDPOINT, {...ENDPOINT, port: 6})]},
    '/groups/0/endpoints/1/name',
    /rename the second e1/,
  ],
  [
    'a duplicate endpoint address',
    {groups: [group('g', ENDPOINT, {...ENDPOINT, name: 'e2'})]},
    '/groups/0/endpoints/1',
    /e1 has this one/,
  ],
  [
    'a group whose endpoints are all leaving',
    {groups: [group('g', leaving)]},
    '/groups/0/endpoints',
    /keep one endpoint of g/,
  ],
  [
    'a kind with the name of a built-in kind',
    {kinds: [{name: 'default-read', access: 'read'}]},
    '/kinds/0/name',
    /another name/,
  ],
  [
    'an ack rule for a read',
    {kinds: [{name: 'k', access: 'read', ack: 'primary'}]},
    '/kinds/0/ack',
    /reads have no ack/,
  ],
];

for (const [name, change, path, remedy] of INVALID_CASES) {
  test(`${name} is refused with path, value and remedy`, () => {
    try {
      parseConfiguration(document(change));
      assert.fail('was accepted');
    } catch (err) {
      assert.ok(err instanceof ConfigurationError);
      const found = err.problems.find(problem => problem.path === path);
      assert.match(found?.remedy ?? JSON.stringify(err.problems), remedy);
      assert.doesNotMatch(err.message, /must |params|\{"/);
    }
  });
}

test('an invalid secret is not shown in the error message', () => {
  const callers = [{name: 'c', secret: 'plain-hunter2'}];
  assert.throws(
    () => parseConfiguration(document({callers})),
    (err: Error) => !err.message.includes('hunter2'),
  );
});

test('groups with one endpoint, an even number of endpoints or one data centre cause warnings', () => {
  const e = (i: number) => ({...ENDPOINT, name: `e${i}`, port: i});
  const groups = [group('one', e(1)), group('two', e(2), e(3))];
  const cfg = parseConfiguration(document({groups}));
  const remedies = configurationWarnings(cfg).map(warning => warning.remedy);
  assert.equal(remedies.length, 3);
  assert.match(remedies[0]!, /single endpoint has no replica/);
  assert.match(remedies[1]!, /no more failures than 1/);
  assert.match(remedies[2]!, /spread two/);
});
