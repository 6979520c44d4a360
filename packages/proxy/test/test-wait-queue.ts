/**
 * Tests the order of waiting requests, also under more load than can be served.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {afterBusy, afterRun, initialLimit} from '../src/concurrency.js';
import {type QueuedRequest, waitQueue} from '../src/wait-queue.js';

interface Item extends QueuedRequest {
  readonly name: string;
}

function item(name: string, change: Partial<Item> = {}): Item {
  const rank = {priority: 1, account: '', accountPriority: 0};
  return {name, primaryOnly: false, ...rank, objectiveAt: 100, ...change};
}

function order(items: readonly Item[], now: number): string[] {
  const queue = waitQueue<Item>();
  for (const one of items) queue.add(one);
  const names: string[] = [];
  queue.dispatch(one => names.push(one.name) > 0, 8, now);
  assert.equal(queue.size, 0);
  return names;
}

describe('waiting requests', () => {
  it('are served by priority, then by arrival', () => {
    const items = [
      item('a', {priority: 2}),
      item('b'),
      item('c'),
      item('d', {priority: 0}),
    ];
    assert.deepEqual(order(items, 0), ['d', 'b', 'c', 'a']);
  });

  it('are served after on-time requests once they are late', () => {
    const items = [
      item('old', {objectiveAt: 50, priority: 0}),
      item('young', {objectiveAt: 200}),
    ];
    assert.deepEqual(order(items, 60), ['young', 'old']);
  });

  it("for the primary don't block reads that any endpoint can serve", () => {
    const queue = waitQueue<Item>();
    for (let i = 0; i < 50; i++) queue.add(item('w', {primaryOnly: true}));
    queue.add(item('r'));
    const taken: string[] = [];
    queue.dispatch(one => !one.primaryOnly && taken.push(one.name) > 0, 8, 0);
    assert.deepEqual(taken, ['r']);
    assert.equal(queue.size, 50);
  });

  it('are served at the full rate and nearly all on time under twice the load', () => {
    // Two requests arrive and one is served per millisecond; an answer is late
    // after 20 ms.
    const queue = waitQueue<Item>();
    let inTime = 0;
    let served = 0;
    for (let now = 0; now < 1000; now++) {
      queue.add(item('x', {objectiveAt: now + 20}));
      queue.add(item('y', {objectiveAt: now + 20}));
      let free = 1;
      queue.dispatch(
        one => {
          if (free === 0) return false;
          free--;
          served++;
          if (one.objectiveAt > now) inTime++;
          return true;
        },
        8,
        now,
      );
    }
    assert.equal(served, 1000);
    assert.ok(inTime > 950, `${inTime} in time`);
  });
});

describe('the limit of statements in flight', () => {
  it('falls with refusals, rises with answers, and stays within its bounds', () => {
    let limit = initialLimit(3);
    assert.equal(limit.limit, 6);
    limit = afterBusy(limit);
    assert.ok(limit.limit < 5);
    for (let i = 0; i < 20; i++) limit = afterBusy(limit);
    assert.equal(limit.limit, 2);
    for (let i = 0; i < 1000; i++) limit = afterRun(limit, 3);
    assert.equal(limit.limit, 6);
  });
});
