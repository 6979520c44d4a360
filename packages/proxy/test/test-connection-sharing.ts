/**
 * Tests which instances hold the connections to an endpoint, for fleets of
 * different sizes.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type SharingInstance,
  type SharingPlan,
  sharingPlan,
} from '../src/connection-sharing.js';

const DATA_CENTRES = ['x', 'y', 'z'] as const;

function fleet(size: number): SharingInstance[] {
  const sharers: SharingInstance[] = [];
  for (let i = 0; i < size; i++) {
    const dataCentre = DATA_CENTRES[i % DATA_CENTRES.length]!;
    sharers.push({
      instance: `n${i}`,
      dataCentre,
      address: `n${i}:1`,
      relay: `n${i}:2`,
    });
  }
  return sharers;
}

function plansOf(
  sharers: readonly SharingInstance[],
  id: string,
  maxConnections: number,
): SharingPlan[] {
  const endpoint = {id, dataCentre: 'y', maxConnections, hasAccounts: false};
  return sharers.map(self =>
    sharingPlan(
      self,
      sharers.filter(other => other !== self),
      endpoint,
    ),
  );
}

describe('connections to an endpoint', () => {
  it('are held by every instance of a small fleet', () => {
    for (const {isHolder, maxOwnConnections} of plansOf(fleet(7), 'e', 22)) {
      assert.equal(isHolder, true);
      assert.ok(maxOwnConnections >= 2);
    }
  });

  for (const size of [30, 74, 100, 300, 400]) {
    for (const maxConnections of [3, 35, 156]) {
      it(`total at most ${maxConnections} for ${size} instances`, () => {
        const plans = plansOf(fleet(size), 'e', maxConnections);
        const holders = plans.filter(plan => plan.isHolder);
        assert.ok(holders.length >= 1);
        if (holders.length === size) {
          // Each may use more than its share while others use less.
          assert.ok(size * 2 <= maxConnections);
          return;
        }
        let total = 0;
        for (const {maxOwnConnections} of holders) total += maxOwnConnections;
        assert.ok(total <= maxConnections, `${total} connections`);
        const asked = new Set(plans.flatMap(plan => plan.holders));
        assert.equal(asked.size, holders.length);
      });
    }
  }

  for (const size of [6, 18, 72, 195]) {
    for (const maxConnections of [22, 43, 156]) {
      it(`leave room for successors of ${size} dead instances, of ${maxConnections}`, () => {
        let kept = 0;
        for (const plan of plansOf(fleet(size), 'e', maxConnections)) {
          assert.ok(plan.keptConnections <= plan.maxOwnConnections);
          kept += plan.keptConnections;
        }
        assert.ok(kept <= maxConnections / 2, `${kept} connections`);
      });
    }
  }

  it("are held in the endpoint's data centre, with all holders in use", () => {
    const sharers = fleet(74);
    const plans = plansOf(sharers, 'e', 35);
    const first = new Map<SharingInstance, number>();
    plans.forEach((plan, i) => {
      if (plan.isHolder) assert.equal(sharers[i]!.dataCentre, 'y');
      const holder = plan.holders[0];
      if (holder) first.set(holder, (first.get(holder) ?? 0) + 1);
    });
    // Each holder is the first choice of a fair share of the other instances,
    // with a tolerance of half of it.
    for (const count of first.values()) assert.ok(count > 70 / 4 / 2);
  });

  it('stay with the remaining holders when one holder leaves', () => {
    const sharers = fleet(74);
    const holdersAmong = (left: readonly SharingInstance[]) => {
      const plans = plansOf(left, 'e', 35);
      return left.filter((_, i) => plans[i]!.isHolder);
    };
    const before = holdersAmong(sharers);
    const after = holdersAmong(sharers.filter(one => one !== before[0]));
    const kept = after.filter(one => before.includes(one));
    assert.equal(kept.length, before.length - 1);
  });
});
