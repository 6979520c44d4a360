/** The order of requests that wait, also under more load than can be served. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {afterBusy, afterRun, initialLimit} from '../src/concurrency.js';
import {type QueuedRequest, waitQueue} from '../src/wait-queue.js';

interface Item extends QueuedRequest {
  readonly name: string;
}

function item(name: string, change: Partial<Item> = {}): Item {
  return {name, primaryOnly: false, priority: 1, objectiveAt: 100, ...change};
}

function order(items: readonly Item[], now: number): string[] {
  const line = waitQueue<Item>();
  for (const one of items) line.add(one);
  const names: string[] = [];
  line.offer(one => names.push(one.name) > 0, 8, now);
  assert.equal(line.size, 0);
  return names;
}

describe('requests that wait', () => {
  it('go by priority, then by arrival', () => {
    const items = [
      item('a', {priority: 2}),
      item('b'),
      item('c'),
      item('d', {priority: 0}),
    ];
    assert.deepEqual(order(items, 0), ['d', 'b', 'c', 'a']);
  });

  it('go behind those in time once they are late', () => {
    const items = [
      item('old', {objectiveAt: 50, priority: 0}),
      item('young', {objectiveAt: 200}),
    ];
    assert.deepEqual(order(items, 60), ['young', 'old']);
  });

  it("don't hold up reads that can go elsewhere", () => {
    const line = waitQueue<Item>();
    for (let i = 0; i < 50; i++) line.add(item('w', {primaryOnly: true}));
    line.add(item('r'));
    const taken: string[] = [];
    line.offer(one => !one.primaryOnly && taken.push(one.name) > 0, 8, 0);
    assert.deepEqual(taken, ['r']);
    assert.equal(line.size, 50);
  });

  it('are served in time by half under twice the load', () => {
    // Two requests a millisecond, one served; an answer is late after 20 ms.
    const line = waitQueue<Item>();
    let inTime = 0;
    let served = 0;
    for (let now = 0; now < 1000; now++) {
      line.add(item('x', {objectiveAt: now + 20}));
      line.add(item('y', {objectiveAt: now + 20}));
      let free = 1;
      line.offer(
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

describe('the limit of statements under way', () => {
  it('falls with refusals, rises with answers, and keeps its bounds', () => {
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
