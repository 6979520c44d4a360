/**
 * Failover under faults. After each fault, no acknowledged write may be lost,
 * no term may have two primaries, and writes must be acknowledged again.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  DEADLINE_MS,
  type Harness,
  TICK_MS,
  type Trigger,
  createHarness,
} from './harness.js';

/**
 * Longest time until the next acknowledged write once a majority is reachable.
 */
const PROGRESS_MS = 5000;
const SEEDS = [1, 2, 3];

interface Case {
  readonly name: string;
  readonly size?: number;
  /** Injects the fault; may let time pass in between. */
  readonly act: (h: Harness) => void;
  /** Creates a hook that intercepts messages; called once per run. */
  readonly trigger?: () => Trigger;
  /** Additional checks before the faults are healed. */
  readonly then?: (h: Harness) => void;
}

/** A trigger that acts once, on the first matching message. */
function once(
  when: (message: Parameters<Trigger>[0]) => boolean,
  act: (h: Harness, message: Parameters<Trigger>[0]) => boolean | void,
): Trigger {
  let done = false;
  return (message, h) => {
    if (done || !when(message)) return false;
    done = true;
    return act(h, message);
  };
}

const isCall = (call: string) => (m: Parameters<Trigger>[0]) =>
  m.call === call && !m.isAnswer;
const isAnswer = (call: string) => (m: Parameters<Trigger>[0]) =>
  m.call === call && m.isAnswer;
const killPrimary = (h: Harness) => h.kill('db-1');

function cutBothWays(h: Harness, a: string, b: string): void {
  h.cuts.add(`${a}>${b}`);
  h.cuts.add(`${b}>${a}`);
}

function assertNotReplaced(h: Harness): void {
  assert.equal(h.primary().db.term, 1);
}

const CASES: readonly Case[] = [
  {name: 'the primary is killed', act: killPrimary},
  {name: 'the primary of five endpoints is killed', size: 5, act: killPrimary},
  {name: 'the primary freezes', act: h => h.freeze('db-1', true)},
  {
    name: 'a frozen primary resumes and still considers itself primary',
    act: h => {
      h.freeze('db-1', true);
      h.run(1000);
      h.freeze('db-1', false);
    },
  },
  {
    name: 'the primary is partitioned from all nodes and returns',
    act: h => {
      h.cuts.add('db-1>*').add('*>db-1');
      h.run(1500);
      h.cuts.clear();
    },
  },
  {
    name: 'the primary and one instance are partitioned together',
    act: h => {
      for (const other of ['db-2', 'db-3', 'i-2', 'i-3']) {
        cutBothWays(h, 'db-1', other);
        cutBothWays(h, 'i-1', other);
      }
    },
  },
  {
    name: 'one way: no message from the primary arrives',
    act: h => h.cuts.add('db-1>*'),
  },
  {
    name: 'one way: no message to the primary arrives',
    act: h => h.cuts.add('*>db-1'),
  },
  {
    name: 'a killed primary returns with writes that no replica has',
    act: h => {
      cutBothWays(h, 'db-1', 'db-2');
      cutBothWays(h, 'db-1', 'db-3');
      h.run(60);
      h.kill('db-1');
      h.run(1000);
      h.cuts.clear();
      h.revive('db-1');
    },
  },
  {
    name: 'an old primary returns with more records than its successors',
    act: h => {
      for (const other of ['db-2', 'db-3', 'i-2', 'i-3']) {
        cutBothWays(h, 'db-1', other);
        cutBothWays(h, 'i-1', other);
      }
      h.freeze('i-2', true);
      h.freeze('i-3', true);
      h.run(1500);
      h.freeze('i-2', false);
      h.freeze('i-3', false);
      h.run(400);
      assert.equal(h.primary().db.term, 2);
      h.kill(h.primary().name);
      h.cuts.clear();
    },
  },
  {
    name: 'a replica holds a write that was not acknowledged',
    act: h => {
      cutBothWays(h, 'db-2', 'i-1');
      cutBothWays(h, 'db-2', 'i-2');
      cutBothWays(h, 'db-2', 'i-3');
      cutBothWays(h, 'db-3', 'db-1');
      h.run(60);
      h.kill('db-1');
      h.cuts.clear();
    },
  },
  {
    name: 'the candidate dies before it is promoted',
    size: 5,
    act: killPrimary,
    trigger: () => once(isCall('promote'), (h, m) => h.kill(m.endpoint)),
  },
  {
    name: 'the candidate dies after it was promoted',
    size: 5,
    act: killPrimary,
    trigger: () => once(isAnswer('promote'), (h, m) => h.kill(m.endpoint)),
  },
  {
    name: 'the promoting instance dies after a promise',
    act: killPrimary,
    trigger: () => once(isAnswer('fence'), (h, m) => h.kill(m.instance)),
  },
  {
    name: 'the promoting instance dies as it sends the promotion',
    act: killPrimary,
    trigger: () => once(isCall('promote'), (h, m) => h.kill(m.instance)),
  },
  {
    name: 'the promoting instance is paused between promise and promotion',
    act: h => {
      killPrimary(h);
      h.run(3000);
      for (const name of h.instances.keys()) h.freeze(name, false);
    },
    trigger: () =>
      once(isAnswer('fence'), (h, m) => h.freeze(m.instance, true)),
  },
  {
    name: 'the promotion call is lost and the promoting instance pauses',
    act: killPrimary,
    trigger: () =>
      once(isCall('promote'), (h, m) => {
        h.freeze(m.instance, true);
        return true;
      }),
  },
  {
    name: 'the response to a fence call is lost',
    act: killPrimary,
    trigger: () => once(isAnswer('fence'), () => true),
  },
  {
    name: 'the response to the promotion call is lost',
    act: killPrimary,
    trigger: () => once(isAnswer('promote'), () => true),
  },
  {
    name: 'the response to a follow call is lost',
    act: killPrimary,
    trigger: () => once(isAnswer('follow'), () => true),
  },
  {
    name: 'two of five endpoints die at once',
    size: 5,
    act: h => {
      killPrimary(h);
      h.kill('db-2');
    },
  },
  {
    name: 'a planned failover',
    act: h => {
      h.order('i-1', 'db-2');
      h.run(500);
    },
    then: h => assert.equal(h.primary().name, 'db-2'),
  },
  {
    name: 'planned failovers to different targets on two instances at once',
    act: h => {
      h.order('i-1', 'db-2');
      h.order('i-2', 'db-3');
      h.run(1500);
    },
  },
  {
    name: 'a planned failover whose target is partitioned from the primary',
    act: h => {
      cutBothWays(h, 'db-1', 'db-2');
      h.run(100);
      h.order('i-1', 'db-2');
      h.run(2500);
    },
    then: h => assert.notEqual(h.primary().name, 'db-2'),
  },
  {
    name: 'a planned failover whose instance dies after the fence call',
    act: h => h.order('i-1', 'db-2'),
    trigger: () => once(isAnswer('fence'), h => h.kill('i-1')),
  },
  {
    name: 'only one instance has lost the primary',
    act: h => {
      cutBothWays(h, 'i-1', 'db-1');
      h.run(3000);
    },
    then: assertNotReplaced,
  },
  {
    name: 'an instance that alone lost the primary refuses writes by their deadline',
    act: h => {
      cutBothWays(h, 'i-1', 'db-1');
      h.run(DEADLINE_MS + 1000);
    },
    then: h => {
      assertNotReplaced(h);
      assert.ok(h.refused.length > 0);
      for (const {instance, waitedMs} of h.refused) {
        assert.equal(instance, 'i-1');
        assert.ok(waitedMs <= DEADLINE_MS + TICK_MS, `${waitedMs}`);
      }
    },
  },
  {
    name: 'a slow primary is not replaced',
    act: h => {
      h.endpoints.get('db-1')!.slowMs = 400;
      h.run(4000);
    },
    then: h => {
      assertNotReplaced(h);
      h.endpoints.get('db-1')!.slowMs = 0;
    },
  },
  {
    name: 'one instance is paused and resumes',
    act: h => {
      h.freeze('i-1', true);
      h.run(3000);
      h.freeze('i-1', false);
    },
    then: assertNotReplaced,
  },
  {
    name: 'only one replica has lost the primary',
    act: h => {
      cutBothWays(h, 'db-1', 'db-2');
      h.run(2000);
    },
    then: assertNotReplaced,
  },
  {
    name: 'most instances have lost the primary, its replicas have not',
    act: h => {
      cutBothWays(h, 'i-1', 'db-1');
      cutBothWays(h, 'i-2', 'db-1');
      h.run(3000);
    },
    then: h => assert.ok(h.primary().db.term > 1),
  },
];

function check(h: Harness): void {
  const from = h.now;
  h.run(PROGRESS_MS);
  assert.deepEqual(h.violations, []);
  const later = h.acked.filter(({at}) => at > from);
  assert.ok(later.length > 0, 'no write was acknowledged after the fault');
  h.heal();
  h.run(1000);
  h.stopWrites();
  h.run(2000);
  assert.deepEqual(h.violations, []);
  assert.deepEqual(h.lost(), []);
}

void describe('failover under faults', () => {
  for (const {name, size, act, trigger, then} of CASES) {
    it(name, () => {
      for (const seed of SEEDS) {
        const h = createHarness(seed, size ?? 3, 3, trigger?.());
        h.run(300 + h.pick(0, 60));
        assert.ok(h.acked.length > 0);
        act(h);
        then?.(h);
        check(h);
      }
    });
  }

  const names = ['db-1', 'db-2', 'db-3', 'i-1', 'i-2', 'i-3'];
  const fault = fc.record({
    what: fc.constantFrom('kill', 'freeze', 'cut', 'oneWay', 'order', 'heal'),
    a: fc.constantFrom(...names),
    b: fc.constantFrom(...names),
    durationMs: fc.integer({min: 0, max: 700}),
  });

  it('keeps these guarantees under random sequences of faults', () => {
    const seed = fc.integer({min: 1, max: 1_000_000});
    const faults = fc.array(fault, {minLength: 1, maxLength: 6});
    fc.assert(
      fc.property(seed, faults, (chosen, list) => {
        const h = createHarness(chosen, 3, 3);
        h.run(200);
        for (const {what, a, b, durationMs} of list) {
          if (what === 'kill') h.kill(a);
          else if (what === 'freeze') h.freeze(a, true);
          else if (what === 'cut') cutBothWays(h, a, b);
          else if (what === 'oneWay') h.cuts.add(`${a}>${b}`);
          else if (what === 'heal') h.heal();
          else if (a.startsWith('i') && b.startsWith('db')) h.order(a, b);
          h.run(durationMs);
        }
        h.heal();
        for (const [name, {alive}] of h.instances) if (!alive) h.revive(name);
        check(h);
      }),
      {seed: 20261204, numRuns: 40},
    );
  });
});
