/**
 * Which endpoint replaces a primary, and when, and which endpoints are told to
 * step down before.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ChangeRecord} from '@quetzalreel/failover';
import {Verdict} from '@quetzalreel/peer-queries';
import {TIMES} from '../src/defaults.js';
import {ENTRY_RETURN_MS} from '../src/endpoint-directory.js';
import {CHANGE, type Claimant, type Loss, watchGroup} from './watched-group.js';

describe('while a primary is missing', () => {
  it('the one that the newest change names is not told to step down', async () => {
    const {sent, begun} = await watchGroup(
      {
        'i-2': {isPrimary: true, offset: 5},
        'i-3': {isPrimary: false, offset: 5},
      },
      CHANGE,
    );
    assert.deepEqual(begun, []);
    assert.ok(!sent.some(text => text.startsWith('stepDown')), sent.join());
  });

  it('a replaced one that is chosen steps down before the order', async () => {
    const {sent, begun} = await watchGroup(
      {
        'i-1': {isPrimary: true, offset: 9},
        'i-3': {isPrimary: false, offset: 5},
      },
      CHANGE,
    );
    assert.equal(begun[0]?.to, 'i-1');
    const steppedDown = sent.indexOf('stepDown i-1');
    assert.ok(steppedDown >= 0 && steppedDown < sent.indexOf('order i-1'));
  });
});

describe('a primary that leaves', () => {
  const PLANNED: ChangeRecord = {...CHANGE, isPlanned: true};
  const primary = () => ({isPrimary: true, offset: 9});
  const steps = (sent: readonly string[]) =>
    sent.filter(text => !text.startsWith('status'));

  it('steps down before the order where acknowledged commits must be kept', async () => {
    const {sent} = await watchGroup(
      {'i-1': primary(), 'i-3': {isPrimary: false, offset: 9}},
      PLANNED,
      {leaving: 'i-1', syncReplicas: 1},
    );
    assert.deepEqual(steps(sent).slice(0, 2), ['stepDown i-1', 'order i-3']);
  });

  for (const replacedStops of [true, false]) {
    const where = replacedStops ? 'stops' : 'goes on';
    it(`is not replaced by one that lacks its last commits where it ${where}`, async () => {
      const {sent} = await watchGroup(
        {'i-1': primary(), 'i-3': {isPrimary: false, offset: 8}},
        PLANNED,
        {leaving: 'i-1', syncReplicas: 1, replacedStops},
      );
      assert.ok(sent.includes('stepDown i-1'));
      assert.ok(!sent.some(text => text.startsWith('order')), sent.join());
    });
  }

  it('serves until its successor leads where they may be lost', async () => {
    const {sent} = await watchGroup(
      {'i-1': primary(), 'i-3': {isPrimary: false, offset: 8}},
      PLANNED,
      {leaving: 'i-1', syncReplicas: 0},
    );
    assert.equal(steps(sent)[0], 'order i-3');
  });
});

describe('a primary that leaves and is lost meanwhile', () => {
  /** Time in which a change of primary has to be over. */
  const CHANGE_MS = 7000;
  const claimants = (offset: number) => ({
    'i-1': {isPrimary: true, offset: 9},
    'i-3': {isPrimary: false, offset},
  });
  const leaves = {leaving: 'i-1', syncReplicas: 1};
  /** The change that made it the primary. */
  const MADE_IT: ChangeRecord = {...CHANGE, from: 'i-2', to: 'i-1'};
  const losses: ReadonlyArray<readonly [string, Loss['after'], number]> = [
    ['before it steps down', 'none', 9],
    ['before its successor has its last commit', 'stepDown', 8],
    ['after the order', 'order', 9],
  ];
  for (const [what, after, offset] of losses) {
    for (const refuses of [true, false]) {
      const how = refuses ? 'crashes' : 'hangs';
      it(`is replaced in time when it ${how} ${what}`, async () => {
        const {sent, orderedAt} = await watchGroup(claimants(offset), MADE_IT, {
          ...leaves,
          loss: {after, refuses},
        });
        const orders = sent.filter(text => text.startsWith('order'));
        assert.deepEqual(orders, ['order i-3']);
        assert.ok(orderedAt! < CHANGE_MS, `ordered after ${orderedAt} ms`);
      });
    }
  }

  it('is left to the instances that reach it, without taking the lease from them', async () => {
    const {begun} = await watchGroup(claimants(9), CHANGE, {
      ...leaves,
      verdict: Verdict.Reached,
      loss: {after: 'none', refuses: true},
    });
    // One may begin before the loss is noticed.
    assert.ok(begun.length <= 1, `${begun.length} begun`);
  });
});

describe('the endpoint that replaces a lost primary', () => {
  /** The replica that leaves has received the last commit, alone or not. */
  const replicas = (offset: number) => ({
    'i-2': {isPrimary: false, offset: 9, leaves: true},
    'i-3': {isPrimary: false, offset},
  });
  const firstBegun = async (offset: number, syncReplicas: number) => {
    const {begun} = await watchGroup(replicas(offset), CHANGE, {syncReplicas});
    return begun[0]?.to;
  };

  it('keeps commits that only a replica that leaves has confirmed', async () => {
    assert.equal(await firstBegun(8, 1), 'i-2');
  });

  it('stays if it has received as much as one that leaves', async () => {
    assert.equal(await firstBegun(9, 1), 'i-3');
  });

  it('stays where a commit needs no replica', async () => {
    assert.equal(await firstBegun(8, 0), 'i-3');
  });
});

describe('a lost primary whose acknowledged commits one replica may have alone', () => {
  const keeps = {syncReplicas: 1};
  /** The change that made i-1 the primary, which is lost. */
  const MADE_IT: ChangeRecord = {...CHANGE, from: 'i-2', to: 'i-1'};
  /** How soon a replica that is heard again leads, but for the order's own time. */
  const SOON_MS = 1000;
  const replicas = (ahead: Partial<Claimant>) => ({
    'i-2': {isPrimary: false, offset: 5},
    'i-3': {isPrimary: false, offset: 9, ...ahead},
  });

  it('is replaced by that one though it is busy when it is asked first', async () => {
    const {begun} = await watchGroup(
      replicas({busyAnswers: 3}),
      MADE_IT,
      keeps,
    );
    assert.equal(begun[0]?.to, 'i-3');
  });

  it('is not replaced while that one stays busy, and callers wait', async () => {
    const {begun, refusing, waits} = await watchGroup(
      replicas({busyAnswers: Infinity}),
      MADE_IT,
      keeps,
    );
    assert.deepEqual(begun, []);
    assert.deepEqual(refusing, {});
    assert.equal(waits, 1);
  });

  it('is replaced soon after that one is heard again, and not before', async () => {
    const silentUntil = 9000;
    const {begun, begunAt, waits, refusing} = await watchGroup(
      replicas({silentUntil}),
      MADE_IT,
      keeps,
    );
    assert.equal(begun[0]?.to, 'i-3');
    assert.ok(begunAt! >= silentUntil && begunAt! < silentUntil + SOON_MS);
    assert.equal(waits, 1);
    // Meanwhile callers are refused at once.
    assert.ok(refusing.from! < silentUntil - 2 * SOON_MS);
    assert.ok(refusing.until! <= begunAt! + SOON_MS);
  });

  it('is replaced by another one once the entry of that one is gone for good', async () => {
    const goneAt = 7000;
    const {begun, begunAt} = await watchGroup(
      {'i-2': {isPrimary: false, offset: 5}},
      MADE_IT,
      {...keeps, lapsedUntil: {'i-3': goneAt}},
    );
    assert.equal(begun[0]?.to, 'i-2');
    assert.ok(begunAt! >= goneAt && begunAt! < goneAt + SOON_MS);
  });

  it('is not replaced while lapsed entries may be back that this instance never saw', async () => {
    const listedSince = 6000;
    const {begunAt, waits} = await watchGroup(replicas({}), MADE_IT, {
      ...keeps,
      listedSince,
    });
    const until = listedSince + ENTRY_RETURN_MS;
    assert.ok(begunAt! >= until && begunAt! < until + SOON_MS, `${begunAt}`);
    assert.equal(waits, 1);
  });

  it('is not replaced by one that another has passed before all stopped using it', async () => {
    const claimants = replicas({offset: 5});
    const {sent} = await watchGroup(claimants, MADE_IT, {
      ...keeps,
      onAnnounce: () => (claimants['i-3'].offset = 6),
    });
    const orders = sent.filter(text => text.startsWith('order'));
    assert.deepEqual([...new Set(orders)], ['order i-3']);
  });

  it('refuses no caller of a primary that leaves and serves', async () => {
    const {refusing, waits} = await watchGroup(
      {
        'i-1': {isPrimary: true, offset: 9},
        'i-3': {isPrimary: false, offset: 9, silentUntil: Infinity},
      },
      MADE_IT,
      {...keeps, leaving: 'i-1'},
    );
    assert.deepEqual(refusing, {});
    assert.equal(waits, 0);
  });

  it('is not waited for while a peer reaches it', async () => {
    const {refusing, waits} = await watchGroup(
      replicas({silentUntil: Infinity}),
      MADE_IT,
      {...keeps, verdict: Verdict.Reached},
    );
    assert.deepEqual(refusing, {});
    assert.equal(waits, 0);
  });

  it('is no longer waited for once a peer reaches it', async () => {
    const reachedFrom = 9000;
    const {begun, refusing} = await watchGroup(
      replicas({silentUntil: Infinity}),
      MADE_IT,
      {...keeps, reachedFrom},
    );
    assert.deepEqual(begun, []);
    assert.ok(refusing.from! < reachedFrom);
    assert.ok(refusing.until! < reachedFrom + SOON_MS);
  });

  it('is replaced at once by another one where a commit needs no replica', async () => {
    const {begun} = await watchGroup(
      replicas({silentUntil: Infinity}),
      MADE_IT,
      {syncReplicas: 0},
    );
    assert.equal(begun[0]?.to, 'i-2');
  });
});

describe('a replaced primary that goes on acknowledging and is busy', () => {
  it('steps down before it is ordered to lead again', async () => {
    const {sent} = await watchGroup(
      {'i-1': {isPrimary: true, offset: 9, busyAnswers: 2}},
      CHANGE,
      {replacedStops: false},
    );
    const steps = sent.filter(text => !text.startsWith('status'));
    assert.deepEqual(steps.slice(0, 2), ['stepDown i-1', 'order i-1']);
  });
});

describe('a missing primary of which too few peers tell', () => {
  const REPLICAS = {'i-3': {isPrimary: false, offset: 9}};
  /** Time without writes that a loss of half of the instances may cause. */
  const RECOVERY_MS = 12_000;
  const open = {verdict: Verdict.Inconclusive};

  it('is replaced in time though half of the instances were lost for good', async () => {
    const {begunAt} = await watchGroup(REPLICAS, CHANGE, open);
    assert.ok(begunAt !== undefined && begunAt < RECOVERY_MS, `${begunAt}`);
  });

  it('is not replaced while they may only be restarting', async () => {
    const {begunAt} = await watchGroup(REPLICAS, CHANGE, open);
    assert.ok(begunAt === undefined || begunAt >= TIMES.lostPeersMs);
  });

  it('is not replaced by a part of the fleet without the store', async () => {
    const {begun} = await watchGroup(REPLICAS, CHANGE, {
      ...open,
      isStoreDown: true,
    });
    assert.deepEqual(begun, []);
  });

  it('is not replaced while one of them reaches it', async () => {
    const verdict = Verdict.Reached;
    const {begun} = await watchGroup(REPLICAS, CHANGE, {verdict});
    assert.deepEqual(begun, []);
  });
});
