/** When endpoints are asked, and what is believed of what is told of them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {
  EndpointDriver,
  ErrorCode,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import {
  type ProbeInputs,
  type ContactInputs,
  isReachable,
  isProbeDue,
} from '../src/probe-schedule.js';
import {endpointLink} from '../src/endpoint-link.js';
import {createLog} from '../src/log.js';
import {listedEndpoint} from './listed.js';

const CALM: ProbeInputs = {
  isHolder: true,
  hasPrimary: true,
  isPrimary: false,
  inFlight: 0,
  silentMs: 100,
  sampleAgeMs: 100,
};

const CASES: ReadonlyArray<readonly [string, Partial<ProbeInputs>, boolean]> = [
  ['heard of a moment ago', {}, false],
  ['silent for long', {silentMs: 301}, true],
  ['silent with statements under way', {silentMs: 121, inFlight: 1}, true],
  ['of a group without a primary', {hasPrimary: false}, true],
  ['primary with an old sample', {isPrimary: true, sampleAgeMs: 401}, true],
  ['replica while the sample is old', {sampleAgeMs: 401}, false],
  [
    'that others hold, silent for long',
    {isHolder: false, silentMs: 301},
    false,
  ],
  [
    'that others hold, with statements under way',
    {isHolder: false, silentMs: 121, inFlight: 1},
    true,
  ],
  [
    'that others hold, of a group without a primary',
    {isHolder: false, hasPrimary: false, silentMs: 151},
    true,
  ],
  [
    'that others hold, never heard of',
    {isHolder: false, silentMs: Infinity},
    true,
  ],
];

describe('an endpoint', () => {
  for (const [name, change, isAsked] of CASES) {
    it(`${name} is ${isAsked ? '' : 'not '}asked`, () => {
      assert.equal(isProbeDue({...CALM, ...change}), isAsked);
    });
  }
});

/** The question of another instance came at 1000. */
const REACHED_CASES: ReadonlyArray<
  readonly [string, ContactInputs, 'reached' | 'not reached']
> = [
  [
    'heard after the question',
    {isHolder: true, lastContactAt: 1010, unansweredSince: undefined},
    'reached',
  ],
  [
    'heard long before it',
    {isHolder: true, lastContactAt: 900, unansweredSince: undefined},
    'not reached',
  ],
  [
    'told by a holder after it',
    {isHolder: false, lastContactAt: 1010, unansweredSince: undefined},
    'reached',
  ],
  [
    'told by a holder, heard before it died',
    {isHolder: false, lastContactAt: 700, unansweredSince: undefined},
    'not reached',
  ],
  [
    'told by a holder that waits for an answer',
    {isHolder: false, lastContactAt: 990, unansweredSince: 980},
    'not reached',
  ],
];

describe('for another instance an endpoint', () => {
  for (const [name, view, verdict] of REACHED_CASES) {
    it(`${name} is ${verdict}`, () => {
      assert.equal(isReachable(view, 1000), verdict === 'reached');
    });
  }
});

class NoDriver extends EndpointDriver {
  connect(): Promise<never> {
    return Promise.reject(new Error('not in this test'));
  }
}

describe('what a holder tells of an endpoint', () => {
  const sign = {
    position: undefined,
    heardMsAgo: 5,
    silentMs: undefined,
    isRefusing: false,
  };

  function linkAt(now: number) {
    const clock = manualClock();
    clock.advance(now);
    const listed = listedEndpoint('i-1');
    const log = createLog('test', {write: () => {}});
    const driver = new NoDriver();
    return endpointLink(listed, {clock, log, driver, onIdle: () => {}});
  }

  it('counts as heard when it was heard', () => {
    const link = linkAt(1000);
    link.noteObservation({...sign, position: {term: 1, offset: 7}}, 1000);
    assert.equal(link.facts.lastContactAt, 995);
    assert.deepEqual(link.facts.position, {term: 1, offset: 7});
  });

  it('is silence when nothing newer is known here', () => {
    const link = linkAt(1000);
    const silent = {...sign, heardMsAgo: 90, silentMs: 60, isRefusing: true};
    link.noteObservation(silent, 1000);
    assert.equal(link.facts.unansweredSince, 940);
    assert.equal(link.facts.refusingSince, 1000);
  });

  it('is no silence when it was heard here since', () => {
    const link = linkAt(1000);
    link.noteObservation({...sign, heardMsAgo: 10}, 1000);
    link.noteObservation({...sign, heardMsAgo: 90, silentMs: 60}, 1000);
    assert.equal(link.facts.unansweredSince, undefined);
  });

  it('does not answer what was asked here after it was heard', () => {
    const link = linkAt(1000);
    link.noteUnanswered(997, false);
    link.noteObservation(sign, 1000);
    assert.equal(link.facts.unansweredSince, 997);
    link.noteObservation({...sign, heardMsAgo: 1}, 1000);
    assert.equal(link.facts.unansweredSince, undefined);
  });

  it('grows no newer when instances tell each other of it', () => {
    // Each answer was 40 ms on its way.
    const link = linkAt(1040);
    link.noteObservation({...sign, heardMsAgo: 0}, 1000);
    assert.equal(link.facts.lastContactAt, 1000);
  });

  it('is nothing when the holder itself refuses a request', () => {
    const link = linkAt(1000);
    link.noteUnanswered(900, false);
    const busy = localError(ErrorCode.Busy, 'no room', SessionState.Idle);
    link.noteAnswer(busy);
    assert.equal(link.facts.unansweredSince, 900);
    link.noteAnswer({...busy, position: {term: 1, offset: 7}});
    assert.equal(link.facts.unansweredSince, undefined);
  });

  it('tells whether its log lacks what reads must see', () => {
    const link = linkAt(1000);
    const behind = localError(ErrorCode.Behind, 'i-1', SessionState.Idle);
    link.noteAnswer(behind);
    link.noteAnswer(behind);
    assert.equal(link.facts.catchUp.refusals, 2);
    link.noteAnswer(localAnswer(SessionState.Idle));
    assert.equal(link.facts.catchUp.refusals, 0);
  });
});
