import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Clock, manualClock, systemClock} from '../src/index.js';

/** A clock under test, with a function that lets time pass on it. */
interface Subject {
  readonly name: string;
  readonly clock: Clock;
  pass(delayMs: number): Promise<void>;
}

function subjects(): Subject[] {
  const real = systemClock();
  const manual = manualClock();
  return [
    {
      name: 'the system clock',
      clock: real,
      pass: delayMs => new Promise(resolve => setTimeout(resolve, delayMs)),
    },
    {
      name: 'the manual clock',
      clock: manual,
      async pass(delayMs) {
        manual.advance(delayMs);
      },
    },
  ];
}

/** Rules for every clock; each case returns the actual and expected values. */
const CASES: ReadonlyArray<
  readonly [string, (subject: Subject) => Promise<[unknown, unknown]>]
> = [
  [
    'time does not go back',
    async ({clock, pass}) => {
      const before = clock.now();
      await pass(5);
      return [clock.now() >= before, true];
    },
  ],
  [
    'timers run once, in the order of their expiry',
    async ({clock, pass}) => {
      const ran: string[] = [];
      clock.after(20, () => ran.push('second'));
      clock.after(1, () => ran.push('first'));
      await pass(60);
      await pass(30);
      return [ran, ['first', 'second']];
    },
  ],
  [
    'a timer with no delay does not run during the call that starts it',
    async ({clock, pass}) => {
      let ran = false;
      clock.after(0, () => (ran = true));
      const early = ran;
      await pass(10);
      return [
        [early, ran],
        [false, true],
      ];
    },
  ],
  [
    'a disposed timer does not run, and may be disposed again',
    async ({clock, pass}) => {
      let ran = false;
      const timer = clock.after(1, () => (ran = true));
      timer.dispose();
      timer.dispose();
      await pass(20);
      return [ran, false];
    },
  ],
  [
    'a sleep ends when its time has passed',
    async ({clock, pass}) => {
      const slept = clock.sleep(5).then(() => 'slept');
      await pass(30);
      return [await slept, 'slept'];
    },
  ],
];

for (const {name} of subjects()) {
  for (const [what, check] of CASES) {
    test(`${name}: ${what}`, async () => {
      const subject = subjects().find(item => item.name === name)!;
      const [seen, wanted] = await check(subject);
      assert.deepEqual(seen, wanted);
    });
  }
}
