import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DEFAULT_READ_KIND} from '@quetzalreel/config';
import {
  type GroupRequest,
  type RequestQueue,
  dequeue,
  drain,
  emptyQueue,
  enqueue,
  queuedRequests,
} from '../src/index.js';

const LIMITS = {maxWaiting: 10_000, maxWaitingBytes: 1_000_000};
const FLOOR = {term: 1, offset: 1};

function requestOf(id: number, change: Partial<GroupRequest> = {}) {
  return {
    id,
    needsPrimary: false,
    kind: DEFAULT_READ_KIND,
    floor: FLOOR,
    arrivedAt: id,
    deadline: 1000,
    bytes: 10,
    avoid: [],
    ...change,
  };
}

function queueOf(requests: readonly GroupRequest[]): RequestQueue {
  let queue = emptyQueue();
  for (const req of requests) queue = enqueue(queue, req, LIMITS)!;
  return queue;
}

function range(count: number, change: Partial<GroupRequest> = {}) {
  return Array.from({length: count}, (_, i) => requestOf(i + 1, change));
}

const idsOf = (queue: RequestQueue) =>
  [...queuedRequests(queue)].map(req => req.id).sort((a, b) => a - b);

void describe('queue', () => {
  it('offers slots to a limited number of requests, however many wait', () => {
    for (const answer of ['pass', 'stop'] as const) {
      const queue = queueOf(range(5000));
      let offers = 0;
      const outcome = drain(queue, 0, 10, () => {
        offers++;
        return answer;
      });
      assert.ok(offers <= 32, `${offers} offers`);
      assert.equal(outcome.queue.length, 5000);
    }
  });

  it('serves each lane in order of arrival, starting with the oldest request', () => {
    const writes = [2, 3, 6].map(id => requestOf(id, {needsPrimary: true}));
    const reads = [1, 4, 5].map(id => requestOf(id));
    const queue = queueOf([...reads, ...writes].sort((a, b) => a.id - b.id));
    const served: number[] = [];
    drain(queue, 0, 10, (state, req) => {
      served.push(req.id);
      return {placed: state};
    });
    assert.deepEqual(served, [1, 4, 5, 2, 3, 6]);
  });

  it('places reads while no write can be placed', () => {
    const writes = range(1000, {needsPrimary: true});
    const queue = queueOf([...writes, requestOf(2000)]);
    const served: number[] = [];
    const outcome = drain(queue, 0, 10, (state, req) => {
      if (req.needsPrimary) return 'stop';
      served.push(req.id);
      return {placed: state};
    });
    assert.deepEqual(served, [2000]);
    assert.equal(outcome.queue.length, 1000);
  });

  it('eventually places a read behind many that can not be placed', () => {
    let queue = queueOf(range(500));
    let placedAt = 0;
    for (let turn = 1; turn <= 40 && placedAt === 0; turn++) {
      queue = drain(queue, 0, 10, (state, req) => {
        if (req.id !== 500) return 'pass';
        placedAt = turn;
        return {placed: state};
      }).queue;
    }
    assert.ok(placedAt > 0, 'never placed');
    assert.equal(queue.length, 499);
  });

  it('is limited by count and by bytes', () => {
    const full = queueOf(range(3));
    const most = {maxWaiting: 3, maxWaitingBytes: 1000};
    assert.equal(enqueue(full, requestOf(4), most), undefined);
    const bytes = {maxWaiting: 100, maxWaitingBytes: 39};
    assert.equal(enqueue(full, requestOf(4), bytes), undefined);
    assert.ok(enqueue(full, requestOf(4, {bytes: 9}), bytes));
  });

  it('removes expired requests and never offers them a slot', () => {
    const late = [3, 500, 900].map(id => requestOf(id, {deadline: 50}));
    const others = range(1000).filter(req => ![3, 500, 900].includes(req.id));
    const all = [...others, ...late].sort((a, b) => a.id - b.id);
    const outcome = drain(queueOf(all), 0, 50, () => 'pass');
    assert.deepEqual(
      outcome.expired.map(req => req.id),
      [3, 500, 900],
    );
    assert.equal(outcome.queue.length, 997);
    assert.equal(outcome.queue.bytes, 9970);
    const first = queueOf([requestOf(1, {deadline: 5})]);
    const passed = {...first, checkedAt: 5};
    const again = drain(passed, 0, 6, () => assert.fail('offered too late'));
    assert.equal(again.expired.length, 1);
  });

  it('removes a cancelled request without changing earlier queue values', () => {
    const queue = queueOf(range(4));
    const without = dequeue(queue, 2);
    assert.deepEqual(idsOf(without), [1, 3, 4]);
    assert.deepEqual(idsOf(queue), [1, 2, 3, 4]);
    assert.equal(without.bytes, 30);
  });
});
