/**
 * Tests of the endpoint list, the choice of the primary, and the placement of
 * statements.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  NO_REFUSALS,
  type CatchUpBackoff,
  afterRefusal,
  catchUpDelayMs,
} from '../src/catch-up.js';
import {
  ENTRY_RETURN_MS,
  type Directory,
  type DirectoryEvent,
  emptyDirectory,
  lapsedEndpoints,
  stepDirectory,
} from '../src/endpoint-directory.js';
import {primaryOf} from '../src/leadership.js';
import {type PlacementOption, choosePlacement} from '../src/placement.js';
import {listedEndpoint} from './listed.js';

function after(
  events: ReadonlyArray<readonly [number, DirectoryEvent]>,
): string[] {
  let directory: Directory = emptyDirectory(0);
  for (const [at, event] of events) {
    directory = stepDirectory(directory, event, at);
  }
  return [...directory.entries.keys()];
}

describe('the list of endpoints', () => {
  const reached = [0, {type: 'reach', reached: true}] as const;
  const both = [
    10,
    {type: 'listed', endpoints: [listedEndpoint('a'), listedEndpoint('b')]},
  ] as const;

  it('keeps an entry that a restored store lacks until it has had time to return', () => {
    const restored = [
      reached,
      both,
      [10_000, {type: 'restored'}],
      [10_010, {type: 'deleted', id: 'a'}],
    ] as const;
    assert.deepEqual(after(restored), ['a', 'b']);
    const later = [10_000 + ENTRY_RETURN_MS, {type: 'tick'}] as const;
    assert.deepEqual(after([...restored, later]), ['b']);
  });

  describe('without an entry', () => {
    const GROUP = listedEndpoint('a').group;
    const lapsedAt = (
      events: ReadonlyArray<readonly [number, DirectoryEvent]>,
      now: number,
    ) => {
      let directory: Directory = emptyDirectory(0);
      for (const [at, event] of events)
        directory = stepDirectory(directory, event, at);
      return lapsedEndpoints(directory, GROUP, now);
    };
    const deleted = [10_000, {type: 'deleted', id: 'a'}] as const;

    it('has one that may be back for the time in which entries are back', () => {
      const events = [reached, both, deleted];
      assert.deepEqual(lapsedAt(events, 10_000), ['a']);
      assert.deepEqual(lapsedAt(events, 10_000 + ENTRY_RETURN_MS - 1), ['a']);
      assert.deepEqual(lapsedAt(events, 10_000 + ENTRY_RETURN_MS), []);
    });

    it('has none that is back', () => {
      const put = [
        10_500,
        {type: 'put', endpoint: listedEndpoint('a')},
      ] as const;
      assert.deepEqual(lapsedAt([reached, both, deleted, put], 10_600), []);
    });

    it('has none whose time ended while it still counted as listed', () => {
      const events = [
        reached,
        both,
        [9000, {type: 'reach', reached: false}],
        deleted,
        [20_000, {type: 'reach', reached: true}],
        [20_000 + ENTRY_RETURN_MS, {type: 'tick'}],
      ] as const;
      assert.deepEqual(after(events), ['b']);
      assert.deepEqual(lapsedAt(events, 20_000 + ENTRY_RETURN_MS), []);
    });
  });

  describe('of a restored store, with an entry of before', () => {
    const leaving = {...listedEndpoint('a'), leaving: true, sequence: 7};
    const asBefore = {...listedEndpoint('a'), sequence: 5};
    const isLeaving = (
      events: ReadonlyArray<readonly [number, DirectoryEvent]>,
    ) => {
      let directory = emptyDirectory(0);
      for (const [at, event] of events)
        directory = stepDirectory(directory, event, at);
      return directory.entries.get('a')?.endpoint.leaving;
    };
    const leaves = [reached, [10, {type: 'put', endpoint: leaving}]] as const;
    const returns = [30, {type: 'put', endpoint: asBefore}] as const;

    it('does not use an endpoint again that leaves', () => {
      assert.equal(isLeaving([...leaves, returns]), true);
    });

    it('does not list one again that has left', () => {
      const gone = [5_000, {type: 'deleted', id: 'a'}] as const;
      const again = [6_000, returns[1]] as const;
      assert.equal(isLeaving([...leaves, gone, again]), undefined);
    });

    it('lists one that has started again', () => {
      const started = {...listedEndpoint('a'), startedAt: 2, sequence: 1};
      const put = [30, {type: 'put', endpoint: started}] as const;
      assert.equal(isLeaving([...leaves, put]), false);
    });

    it('takes what the endpoint writes again', () => {
      const put = [30, {type: 'put', endpoint: {...asBefore, sequence: 8}}];
      assert.equal(isLeaving([...leaves, put as never]), false);
    });
  });

  it('drops an entry deleted while the store is reachable', () => {
    const gone = [10_000, {type: 'deleted', id: 'a'}] as const;
    assert.deepEqual(after([reached, both, gone]), ['b']);
  });

  it('keeps an entry that expired during an outage until it has had time to return', () => {
    const outage = [
      reached,
      both,
      [10_000, {type: 'reach', reached: false}],
      [15_000, {type: 'reach', reached: true}],
      [15_010, {type: 'listed', endpoints: [listedEndpoint('b')]}],
    ] as const;
    assert.deepEqual(after(outage), ['a', 'b']);
    const back = [
      16_000,
      {type: 'put', endpoint: listedEndpoint('a')},
    ] as const;
    const later = [15_000 + ENTRY_RETURN_MS, {type: 'tick'}] as const;
    assert.deepEqual(after([...outage, later]), ['b']);
    assert.deepEqual(after([...outage, back, later]).sort(), ['a', 'b']);
  });
});

describe('the primary', () => {
  const base = {
    term: 1,
    saysPrimary: false,
    saidAt: 0,
    ledAt: -Infinity,
    deniedAt: -Infinity,
  };

  it('is the primary of the newest term', () => {
    const old = {...base, id: 'a', saysPrimary: true, ledAt: 90};
    const next = {...base, id: 'b', term: 2, ledAt: 50};
    assert.equal(primaryOf([old, next]), 'b');
  });

  it('is unknown when the listed one has denied the role since', () => {
    const denied = {...base, id: 'a', saysPrimary: true, deniedAt: 10};
    assert.equal(primaryOf([denied, {...base, id: 'b'}]), undefined);
  });
});

describe('the chosen endpoint', () => {
  const base: PlacementOption = {
    id: 'a',
    isPrimary: false,
    usable: true,
    position: {term: 1, offset: 10},
    positionAgeMs: 0,
    catchUpDelayMs: 150,
    answerMs: 10,
    inFlight: 0,
    slots: 3,
    distanceMs: 0,
    isBelowLimit: true,
    hasCapacity: true,
  };
  const need = {
    primaryOnly: false,
    atLeast: {term: 1, offset: 10},
    avoid: new Set<string>(),
  };

  it('is a replica elsewhere rather than the primary, unless it is much slower', () => {
    const primary = {...base, id: 'p', isPrimary: true, answerMs: 20};
    const replica = {...base, answerMs: 25, distanceMs: 10};
    assert.equal(choosePlacement([primary, replica], need)!.id, 'a');
    const slow = {...replica, answerMs: 45};
    assert.equal(choosePlacement([primary, slow], need)!.id, 'p');
  });

  it('is in the own data centre when that is no slower', () => {
    const far = {...base, id: 'far', distanceMs: 3};
    assert.equal(choosePlacement([far, base], need)!.id, 'a');
    const slow = {...base, answerMs: 40};
    assert.equal(choosePlacement([far, slow], need)!.id, 'far');
  });

  it('has reached the position that the read must see', () => {
    const behind = {...base, position: {term: 1, offset: 9}};
    assert.equal(choosePlacement([behind], need), undefined);
  });

  it('may be one that was behind, after a delay that grows with each refusal', () => {
    const lacking = {...base, position: {term: 1, offset: 9}};
    const isTried = (positionAgeMs: number, catchUp: CatchUpBackoff) => {
      const place = {
        ...lacking,
        positionAgeMs,
        catchUpDelayMs: catchUpDelayMs(catchUp),
      };
      return choosePlacement([place], need) !== undefined;
    };
    assert.equal(isTried(100, NO_REFUSALS), false);
    assert.equal(isTried(200, NO_REFUSALS), true);
    let behind = afterRefusal(NO_REFUSALS);
    assert.equal(isTried(200, behind), true);
    for (let i = 0; i < 3; i++) behind = afterRefusal(behind);
    assert.equal(isTried(1000, behind), false);
    for (let i = 0; i < 30; i++) behind = afterRefusal(behind);
    assert.equal(isTried(1300, behind), true);
  });

  it('is never one of a replaced term for a position of the next term', () => {
    const old = {...base, position: {term: 1, offset: 99}};
    const next = {...need, atLeast: {term: 2, offset: 5}};
    assert.equal(choosePlacement([old], next), undefined);
  });

  it('is not one that has already failed the statement', () => {
    const avoided = {...need, avoid: new Set(['a'])};
    assert.equal(choosePlacement([base], avoided), undefined);
  });
});
