/** What instances know of the store while links, readers and the store fail. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type SimulatedFleet, WATCH_MS, simulatedFleet} from './fleet.js';

/** Time in which a configuration must be in force on the smallest sites. */
const APPLY_MS = 3000;
const SETTLE_MS = 4000;
/** Time in which a change passes through a fleet that is well. */
const SPREAD_MS = 400;

interface Fault {
  readonly what: string;
  /** Starts the fault; returns whether an instance must know the change. */
  start(fleet: SimulatedFleet): (name: string) => boolean;
}

/** The readers at this moment. */
function readersOf(fleet: SimulatedFleet) {
  return fleet.instances.filter(({isReader}) => isReader);
}

const FAULTS: readonly Fault[] = [
  {
    what: 'all readers die together',
    start(fleet) {
      const readers = readersOf(fleet);
      for (const reader of readers) reader.isRunning = false;
      return name => !readers.some(reader => reader.name === name);
    },
  },
  {
    what: 'the store turns all readers away',
    start(fleet) {
      for (const reader of readersOf(fleet)) reader.isServed = false;
      return () => true;
    },
  },
  {
    what: 'a data centre is cut off from the others',
    start(fleet) {
      fleet.isCut = (from, to) =>
        (from.dataCentre === 'dc-0') !== (to.dataCentre === 'dc-0');
      return () => true;
    },
  },
  {
    what: 'one half reaches the other but not the reverse',
    start(fleet) {
      const half = new Set(
        fleet.instances.slice(0, fleet.instances.length / 2),
      );
      fleet.isCut = (from, to) => half.has(to) && !half.has(from);
      return () => true;
    },
  },
  {
    what: 'an instance is alone',
    start(fleet) {
      const alone = fleet.instances[0]!;
      fleet.isCut = (from, to) => from === alone || to === alone;
      return () => true;
    },
  },
  {
    what: 'an instance is alone and the store turns it away',
    start(fleet) {
      const alone = fleet.instances[0]!;
      alone.isServed = false;
      fleet.isCut = (from, to) => from === alone || to === alone;
      return name => name !== alone.name;
    },
  },
  {
    what: 'a tenth of the messages are lost',
    start(fleet) {
      fleet.lossPercent = 10;
      return () => true;
    },
  },
  {
    what: 'a third of the instances freeze',
    start(fleet) {
      const frozen = fleet.instances.filter((_, i) => i % 3 === 1);
      for (const instance of frozen) instance.isRunning = false;
      return name => !frozen.some(instance => instance.name === name);
    },
  },
];

describe('a change in the store is known by all that are reached', () => {
  for (const {what, start} of FAULTS) {
    for (const [count, seed] of [
      [6, 1],
      [30, 2],
    ] as const) {
      it(`when ${what}, with ${count} instances`, async () => {
        const fleet = simulatedFleet(count, seed);
        fleet.put('a');
        await fleet.run(SETTLE_MS);
        const mustKnow = start(fleet);
        fleet.put('b');
        fleet.remove('a');
        await fleet.run(APPLY_MS);
        for (const instance of fleet.instances) {
          if (!mustKnow(instance.name)) continue;
          assert.ok(fleet.isCurrent(instance), instance.name);
          assert.equal(instance.wentBack, 0);
        }
        fleet.dispose();
      });
    }
  }
});

/** Open connections that go silent for good, while new ones work. */
const SILENCES: ReadonlyArray<
  readonly [string, (fleet: SimulatedFleet) => void]
> = [
  ['those to the store', fleet => fleet.silenceStoreConnections()],
  [
    'those to the store and between instances',
    fleet => {
      fleet.silenceStoreConnections();
      fleet.silenceLinks();
    },
  ],
];

describe('a change after open connections went silent is known in time', () => {
  /** Moments of the silence within a watch and between two beats. */
  const MOMENTS = 7;
  const STEP_MS = 230;
  for (const [which, silence] of SILENCES) {
    for (const count of [6, 30]) {
      it(`when it is ${which}, with ${count} instances`, async () => {
        for (let moment = 0; moment < MOMENTS; moment++) {
          const fleet = simulatedFleet(count, 3);
          fleet.put('a');
          await fleet.run(SETTLE_MS + moment * STEP_MS);
          silence(fleet);
          fleet.put('b');
          await fleet.run(APPLY_MS);
          for (const instance of fleet.instances)
            assert.ok(fleet.isCurrent(instance), `${moment} ${instance.name}`);
          fleet.dispose();
        }
      });
    }
  }

  it('by peers of an instance that told of it on a lost link', async () => {
    const fleet = simulatedFleet(6, 3);
    fleet.put('a');
    await fleet.run(SETTLE_MS);
    const [reader] = readersOf(fleet);
    for (const other of fleet.instances) other.isServed = other === reader;
    fleet.isCut = () => true;
    fleet.put('b');
    await fleet.run(SPREAD_MS / 2);
    assert.ok(fleet.isCurrent(reader!));
    fleet.isCut = () => false;
    for (const {name} of fleet.instances) reader!.feed.noteLinkLost(name);
    await fleet.run(SPREAD_MS / 2);
    for (const instance of fleet.instances)
      assert.ok(fleet.isCurrent(instance), instance.name);
    fleet.dispose();
  });
});

describe('a fleet', () => {
  it('agrees after a cut between halves with changes on the way', async () => {
    const fleet = simulatedFleet(30, 5);
    fleet.put('a');
    await fleet.run(SETTLE_MS);
    fleet.isCut = (from, to) =>
      (from.dataCentre === 'dc-0') !== (to.dataCentre === 'dc-0');
    for (const instance of fleet.instances) {
      if (instance.dataCentre === 'dc-0') instance.isServed = false;
    }
    for (let i = 0; i < 5; i++) {
      fleet.put(`b-${i}`);
      await fleet.run(300);
    }
    fleet.isCut = () => false;
    await fleet.run(APPLY_MS);
    for (const instance of fleet.instances) {
      assert.ok(fleet.isCurrent(instance), instance.name);
      assert.equal(instance.wentBack, 0);
    }
    fleet.dispose();
  });

  it('knows of changes after a freeze without reading everything', async () => {
    const fleet = simulatedFleet(30, 6);
    fleet.put('a');
    await fleet.run(SETTLE_MS);
    const frozen = fleet.instances[4]!;
    frozen.isRunning = false;
    fleet.put('b');
    await fleet.run(3000);
    frozen.isRunning = true;
    frozen.suspensions++;
    await fleet.run(SPREAD_MS);
    assert.ok(fleet.isCurrent(frozen));
    fleet.dispose();
  });

  it('acts on a change though the message about it to a peer fails', async () => {
    const fleet = simulatedFleet(6, 14);
    fleet.put('a');
    await fleet.run(SETTLE_MS);
    fleet.encode = ({type}) => {
      if (type === 'kindDelta') throw new RangeError('too deep to encode');
    };
    fleet.put('b');
    await fleet.run(SPREAD_MS);
    for (const reader of readersOf(fleet)) assert.ok(fleet.isCurrent(reader));
    fleet.dispose();
  });

  it('has three readers in calm, whatever its size', async () => {
    const RUN_MS = 6000;
    for (const count of [12, 30]) {
      const fleet = simulatedFleet(count, 7);
      fleet.put('a');
      await fleet.run(SETTLE_MS);
      const calls = fleet.calls;
      await fleet.run(RUN_MS);
      assert.equal(readersOf(fleet).length, 3);
      // Each reader begins one watch after the other.
      const most = 3 * (RUN_MS / WATCH_MS + 1);
      assert.ok(fleet.calls - calls <= most, `${fleet.calls - calls} calls`);
      fleet.dispose();
    }
  });

  it('is read by few when it starts for the first time, unlisted', async () => {
    const waitMs = 3500;
    const fleet = simulatedFleet(30, 11, {
      listedAfterMs: 2600,
      times: {
        firstReadMs: waitMs,
        firstCopyMs: waitMs,
        firstAloneMs: waitMs,
      },
    });
    fleet.put('a');
    await fleet.run(8000);
    for (const instance of fleet.instances) {
      assert.ok(fleet.isCurrent(instance));
    }
    // A list by each, and the watches of few.
    assert.ok(fleet.calls <= 30 + 25, `${fleet.calls} calls`);
    fleet.dispose();
  });

  it('tells a change once over each link, not without end', async () => {
    const fleet = simulatedFleet(30, 8);
    fleet.put('a');
    await fleet.run(SETTLE_MS);
    const quiet = fleet.messages;
    await fleet.run(3000);
    const beats = fleet.messages - quiet;
    fleet.put('b');
    await fleet.run(3000);
    const withChange = fleet.messages - quiet - beats;
    // Four links an instance.
    assert.ok(withChange - beats <= 4 * 30 + beats * 0.2, `${withChange}`);
    for (const instance of fleet.instances) {
      assert.ok(fleet.isCurrent(instance));
    }
    fleet.dispose();
  });

  it('asks an absent store with a few readers only', async () => {
    const fleet = simulatedFleet(30, 9);
    fleet.put('a');
    await fleet.run(SETTLE_MS);
    for (const instance of fleet.instances) instance.isServed = false;
    await fleet.run(6000);
    assert.ok(readersOf(fleet).length <= 16, `${readersOf(fleet).length}`);
    for (const instance of fleet.instances) instance.isServed = true;
    fleet.put('b');
    await fleet.run(APPLY_MS);
    for (const instance of fleet.instances) {
      assert.ok(fleet.isCurrent(instance));
    }
    fleet.dispose();
  });
});

describe('a store that was restored from an older copy', () => {
  for (const [count, seed] of [
    [6, 12],
    [30, 13],
  ] as const) {
    for (const cutsWatches of [true, false]) {
      const what = cutsWatches ? 'cut off' : 'left waiting';
      it(`has its next change known by all ${count} instances, with watches ${what}`, async () => {
        const fleet = simulatedFleet(count, seed);
        fleet.put('a');
        await fleet.run(SETTLE_MS);
        const {revision} = fleet;
        for (const name of ['b', 'c', 'd']) fleet.put(name);
        fleet.remove('a');
        await fleet.run(SPREAD_MS);
        fleet.restore(revision, cutsWatches);
        fleet.put('c');
        await fleet.run(APPLY_MS);
        for (const instance of fleet.instances) {
          assert.ok(fleet.isCurrent(instance), instance.name);
        }
        fleet.dispose();
      });
    }
  }
});
