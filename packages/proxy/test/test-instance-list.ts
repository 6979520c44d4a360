/** What an instance takes for the list of all instances, and when. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ManualClock, manualClock} from '@quetzalreel/common';
import {INSTANCE_KIND} from '@quetzalreel/peer-queries';
import {TIMES} from '../src/defaults.js';
import {type InstanceList, instanceList} from '../src/instance-list.js';
import {createLog} from '../src/log.js';
import {StaleStore} from './stale-store.js';

const STEP_MS = 50;
const NAMES = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5', 'n-6'];
/** By then all that started together know each other. */
const SETTLED_MS = 2 * TIMES.firstInstanceListPollMs;

async function pass(clock: ManualClock, ms: number): Promise<void> {
  for (let left = ms; left > 0; left -= STEP_MS) {
    clock.advance(Math.min(left, STEP_MS));
    for (let i = 0; i < 5; i++)
      await new Promise(resolve => setImmediate(resolve));
  }
}

function start(
  instance: string,
  clock: ManualClock,
  store: StaleStore,
): InstanceList {
  const list = instanceList({
    instance,
    clock,
    log: createLog(instance, {write: () => {}}),
    store,
    location: () => ({
      address: `${instance}:1`,
      relay: `${instance}:2`,
      dataCentre: 'z',
      facts: 2,
    }),
    onChange() {},
  });
  void list.run();
  return list;
}

function namesOf({present}: InstanceList): string[] {
  return present.map(({instance}) => instance).sort();
}

function setUp() {
  const clock = manualClock();
  const store = new StaleStore(clock);
  return {clock, store, begin: (name: string) => start(name, clock, store)};
}

describe('instances that start together', () => {
  for (const staleMs of [0, 3000, 6000]) {
    it(`know each other in seconds though copies of the list are ${staleMs} ms old`, async () => {
      const {clock, store, begin} = setUp();
      store.staleMs = staleMs;
      const lists = NAMES.map(begin);
      await pass(clock, SETTLED_MS);
      for (const [at, list] of lists.entries()) {
        const others = NAMES.filter((_name, other) => other !== at);
        assert.deepEqual(namesOf(list), others);
        assert.ok(list.isKnown && list.isSettled);
      }
      // A read that may not be old costs ten times as much.
      assert.ok(
        store.currentLists <= 2 * NAMES.length,
        `${store.currentLists}`,
      );
    });
  }

  it('are seen by those that write their entries later, from the first list on', async () => {
    const {clock, store, begin} = setUp();
    store.staleMs = 3000;
    const first = begin('n-1');
    await pass(clock, STEP_MS);
    const second = begin('n-2');
    await pass(clock, STEP_MS);
    assert.ok(first.isKnown && second.isKnown);
    assert.deepEqual(namesOf(second), ['n-1']);
    // It can't tell yet whether others have started with it.
    assert.ok(!first.isSettled && !second.isSettled);
  });
});

describe('an instance that starts', () => {
  it('does not take a list for known that is older than its own entry', async () => {
    const {clock, store, begin} = setUp();
    store.refusesWrites = true;
    const list = begin('n-1');
    await pass(clock, SETTLED_MS);
    assert.ok(list.isUsable && !list.isKnown && !list.isSettled);
    store.refusesWrites = false;
    await pass(clock, TIMES.firstInstanceListPollMs + STEP_MS);
    assert.ok(list.isKnown);
  });

  it('can plan connections in time without the store', async () => {
    const {clock, store, begin} = setUp();
    store.refusesWrites = store.refusesReads = true;
    const list = begin('n-1');
    await pass(clock, TIMES.firstInstanceListMs);
    assert.ok(list.isUsable && !list.isKnown);
  });

  it('knows all at once if it had an entry of an earlier life', async () => {
    const {clock, store, begin} = setUp();
    store.staleMs = 3000;
    const lives = ['n-1', 'n-2'].map(begin);
    await pass(clock, SETTLED_MS);
    for (const life of lives) life.dispose();
    const again = begin('n-1');
    await pass(clock, STEP_MS);
    assert.ok(again.wasListedAtStart && again.isSettled);
    assert.deepEqual(namesOf(again), ['n-2']);
  });

  it('does not take an entry for one of an earlier life that it wrote without an answer', async () => {
    const {clock, store, begin} = setUp();
    store.losesAnswers = true;
    const list = begin('n-1');
    await pass(clock, STEP_MS);
    store.losesAnswers = false;
    await pass(clock, SETTLED_MS);
    assert.ok(list.isKnown);
    assert.equal(list.wasListedAtStart, false);
  });
});

describe('a list that was read', () => {
  it('does not go back when an older copy is read', async () => {
    const {clock, store, begin} = setUp();
    const list = begin('n-1');
    await pass(clock, SETTLED_MS);
    begin('n-2');
    await pass(clock, TIMES.instanceListPollMs);
    assert.deepEqual(namesOf(list), ['n-2']);
    store.staleMs = 2 * TIMES.instanceListPollMs;
    await pass(clock, TIMES.instanceListPollMs);
    assert.deepEqual(namesOf(list), ['n-2']);
  });

  it('gets an entry back at once that it lacks', async () => {
    const {clock, store, begin} = setUp();
    begin('n-1');
    await pass(clock, SETTLED_MS);
    await store.remove(INSTANCE_KIND, 'n-1');
    await pass(clock, TIMES.instanceListPollMs);
    assert.ok(await store.get(INSTANCE_KIND, 'n-1'));
  });
});
