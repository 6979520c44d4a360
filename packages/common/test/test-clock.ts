import assert from 'node:assert/strict';
import {test} from 'node:test';
import {disposableStore, manualClock} from '../src/index.js';

test('a manual clock runs timers in the order of their expiry', () => {
  const clock = manualClock();
  const seen: string[] = [];
  clock.after(20, () => seen.push('late'));
  clock.after(10, () => {
    seen.push('early');
    clock.after(5, () => seen.push('nested'));
  });
  clock.advance(30);
  assert.deepEqual(seen, ['early', 'nested', 'late']);
});

test('a disposed timer does not run', () => {
  const clock = manualClock();
  let runs = 0;
  clock.after(10, () => runs++).dispose();
  clock.advance(20);
  assert.equal(runs, 0);
});

test('a store disposes items in reverse order, and items added later at once', () => {
  const store = disposableStore();
  const seen: string[] = [];
  store.add({dispose: () => seen.push('first')});
  store.add({dispose: () => seen.push('second')});
  store.dispose();
  store.add({dispose: () => seen.push('late')});
  assert.deepEqual(seen, ['second', 'first', 'late']);
});
