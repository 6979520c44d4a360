/**
 * Tests when endpoints are probed, and how a holder's observations are used.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {tcpRelayDriver} from '@quetzalreel/relay';
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
import {answerMemory} from '@quetzalreel/requests';
import {ANSWER_LIMITS} from '../src/defaults.js';

const MEMORY = answerMemory(ANSWER_LIMITS);
const NOT_DUE: ProbeInputs = {
  isHolder: true,
  hasPrimary: true,
  isPrimary: false,
  inFlight: 0,
  sinceContactMs: 100,
  sampleAgeMs: 100,
};

const PROBE_CASES: ReadonlyArray<
  readonly [string, Partial<ProbeInputs>, boolean]
> = [
  ['with recent contact', {}, false],
  ['without contact for long', {sinceContactMs: 301}, true],
  [
    'without recent contact, with statements in flight',
    {sinceContactMs: 121, inFlight: 1},
    true,
  ],
  ['of a group without a primary', {hasPrimary: false}, true],
  [
    'that is the primary, with an old sample',
    {isPrimary: true, sampleAgeMs: 401},
    true,
  ],
  ['that is a replica, with an old sample', {sampleAgeMs: 401}, false],
  [
    'held by peers, without contact for long',
    {isHolder: false, sinceContactMs: 301},
    false,
  ],
  [
    'held by peers, with statements in flight',
    {isHolder: false, sinceContactMs: 121, inFlight: 1},
    true,
  ],
  [
    'held by peers, of a group without a primary',
    {isHolder: false, hasPrimary: false, sinceContactMs: 151},
    true,
  ],
  [
    'held by peers, without any contact yet',
    {isHolder: false, sinceContactMs: Infinity},
    true,
  ],
];

describe('an endpoint', () => {
  for (const [name, change, isDue] of PROBE_CASES) {
    it(`${name} is ${isDue ? '' : 'not '}probed`, () => {
      assert.equal(isProbeDue({...NOT_DUE, ...change}), isDue);
    });
  }
});

/** A peer asked at 1000. */
const REACHABLE_CASES: ReadonlyArray<
  readonly [string, ContactInputs, 'reachable' | 'not reachable']
> = [
  [
    'with contact after the request',
    {isHolder: true, lastContactAt: 1010, unansweredSince: undefined},
    'reachable',
  ],
  [
    'with contact long before the request',
    {isHolder: true, lastContactAt: 900, unansweredSince: undefined},
    'not reachable',
  ],
  [
    'observed by a holder after the request',
    {isHolder: false, lastContactAt: 1010, unansweredSince: undefined},
    'reachable',
  ],
  [
    'observed by a holder, with contact before it failed',
    {isHolder: false, lastContactAt: 700, unansweredSince: undefined},
    'not reachable',
  ],
  [
    'observed by a holder with an unanswered request',
    {isHolder: false, lastContactAt: 990, unansweredSince: 980},
    'not reachable',
  ],
];

describe('in the answer to a peer an endpoint', () => {
  for (const [name, view, verdict] of REACHABLE_CASES) {
    it(`${name} is ${verdict}`, () => {
      assert.equal(isReachable(view, 1000), verdict === 'reachable');
    });
  }
});

class NoDriver extends EndpointDriver {
  connect(): Promise<never> {
    return Promise.reject(new Error('not in this test'));
  }
}

describe("a holder's observation of an endpoint", () => {
  const observation = {
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
    const relayDriver = tcpRelayDriver(MEMORY);
    const rest = {relayDriver, onIdle: () => {}};
    return endpointLink(listed, {clock, log, driver, ...rest});
  }

  it("counts from the time of the holder's last contact", () => {
    const link = linkAt(1000);
    link.noteObservation(
      {...observation, position: {term: 1, offset: 7}},
      1000,
    );
    assert.equal(link.facts.lastContactAt, 995);
    assert.deepEqual(link.facts.position, {term: 1, offset: 7});
  });

  it('marks the endpoint as unresponsive without newer contact here', () => {
    const link = linkAt(1000);
    const unresponsive = {
      ...observation,
      heardMsAgo: 90,
      silentMs: 60,
      isRefusing: true,
    };
    link.noteObservation(unresponsive, 1000);
    assert.equal(link.facts.unansweredSince, 940);
    assert.equal(link.facts.refusingSince, 1000);
  });

  it('does not mark it as unresponsive after newer contact here', () => {
    const link = linkAt(1000);
    link.noteObservation({...observation, heardMsAgo: 10}, 1000);
    link.noteObservation({...observation, heardMsAgo: 90, silentMs: 60}, 1000);
    assert.equal(link.facts.unansweredSince, undefined);
  });

  it('does not answer a request sent here after that contact', () => {
    const link = linkAt(1000);
    link.noteUnanswered(997, false);
    link.noteObservation(observation, 1000);
    assert.equal(link.facts.unansweredSince, 997);
    link.noteObservation({...observation, heardMsAgo: 1}, 1000);
    assert.equal(link.facts.unansweredSince, undefined);
  });

  it('does not look newer when instances pass it on', () => {
    // Each answer took 40 ms to arrive.
    const link = linkAt(1040);
    link.noteObservation({...observation, heardMsAgo: 0}, 1000);
    assert.equal(link.facts.lastContactAt, 1000);
  });

  it('is not implied by a refusal of the holder itself', () => {
    const link = linkAt(1000);
    link.noteUnanswered(900, false);
    const busy = localError(ErrorCode.Busy, 'no room', SessionState.Idle);
    link.noteAnswer(busy);
    assert.equal(link.facts.unansweredSince, 900);
    link.noteAnswer({...busy, position: {term: 1, offset: 7}});
    assert.equal(link.facts.unansweredSince, undefined);
  });

  it('is not needed to count reads refused as behind', () => {
    const link = linkAt(1000);
    const behind = localError(ErrorCode.Behind, 'i-1', SessionState.Idle);
    link.noteAnswer(behind);
    link.noteAnswer(behind);
    assert.equal(link.facts.catchUp.refusals, 2);
    link.noteAnswer(localAnswer(SessionState.Idle));
    assert.equal(link.facts.catchUp.refusals, 0);
  });
});
