/** What a store view keeps of objects that anyone may have written. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {scalarsOf} from '@quetzalreel/object-store';
import {createLog} from '../src/log.js';
import {type ListedEndpoint, type StoreFormat} from '../src/routes.js';
import {usedObjects} from '../src/used-objects.js';

const FORMAT = {
  configuration: {kind: 'config', name: 'main', selection: scalarsOf('n')},
  endpoints: {kind: 'servers', selection: scalarsOf('n')},
  readEndpoint(_id: string, value: unknown): ListedEndpoint {
    const {n} = value as {n?: unknown};
    if (typeof n !== 'number') throw new Error('n is not a number');
    return {} as ListedEndpoint;
  },
} as unknown as StoreFormat;

function fixture() {
  const clock = manualClock();
  const lines: Array<{endpoint: string; before: number}> = [];
  const write = (text: string) => lines.push(JSON.parse(text));
  const log = createLog('self', {write} as never);
  return {clock, lines, used: usedObjects({catalog: FORMAT, clock, log})};
}

function objectOf(name: string, value: unknown) {
  return {name, revision: 7, value};
}

describe('of an entry is kept', () => {
  it('only what is used, if it can be read', () => {
    const {used} = fixture();
    const entry = objectOf('a', {n: 1, more: {}});
    assert.deepEqual(used.ofEntries(entry), objectOf('a', {n: 1}));
  });

  it('its name and revision, if it can not be read', () => {
    const {used, lines} = fixture();
    const entry = objectOf('a', {n: 'x', more: {}});
    assert.deepEqual(used.ofEntries(entry), {
      ...objectOf('a', undefined),
      unreadable: true,
    });
    assert.equal(lines[0]!.endpoint, 'a');
  });
});

describe('of a configuration', () => {
  it('only what is used is kept', () => {
    const {used} = fixture();
    const main = objectOf('main', {n: 1, more: {}});
    assert.deepEqual(used.ofConfigurations(main), objectOf('main', {n: 1}));
  });

  it('nothing is kept under another name', () => {
    const {used} = fixture();
    const {value, unreadable} = used.ofConfigurations(
      objectOf('other', {n: 1}),
    );
    assert.deepEqual({value, unreadable}, {value: undefined, unreadable: true});
  });
});

describe('many entries that can not be read', () => {
  it('take few lines, which count those that were left out', () => {
    const {clock, lines, used} = fixture();
    for (let i = 0; i < 1000; i++) used.ofEntries(objectOf(`w-${i}`, null));
    const atOnce = lines.length;
    assert.ok(atOnce < 20, `${atOnce} lines`);
    clock.advance(1000);
    used.ofEntries(objectOf('last', null));
    assert.equal(lines.length, atOnce + 1);
    assert.equal(lines.at(-1)!.before, 1000 - atOnce);
  });
});
