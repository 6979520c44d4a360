import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  DEFAULT_READ_KIND,
  DEFAULT_WRITE_KIND,
  type GroupConfig,
} from '@quetzalreel/config';
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {
  type GroupEffect,
  type GroupEvent,
  type GroupState,
  LEAVING_LIMITS,
  initialGroup,
  stepGroup,
} from '../src/index.js';

const NAMES = ['a', 'b', 'c'];
const LIMITS = {
  suspectAfterMs: 100_000,
  replicaSilenceMs: 100_000,
  stepMs: 1000,
  retryMs: 100,
  unfinishedAfterMs: 100_000,
  startDelayMs: 0,
  maxWaiting: 10,
  maxWaitingBytes: 1000,
};

function configOf(leaving: readonly string[]): GroupConfig {
  const endpoints = NAMES.map((name, i) => ({
    name,
    host: '127.0.0.1',
    port: i + 1,
    dataCentre: 'recife',
    slots: 3,
    connections: 20,
    leaving: leaving.includes(name),
  }));
  return {name: 'entries', endpoints};
}

/**
 * A group whose primary is `a`; `pollAll` delivers a status of every endpoint.
 */
function group() {
  let state: GroupState = initialGroup(configOf([]), 'proxy-1', LIMITS);
  let id = 0;
  const at = (now: number, event: GroupEvent): readonly GroupEffect[] => {
    const result = stepGroup(state, event, now);
    state = result.state;
    return result.effects;
  };
  const pollAll = (now: number) => {
    const effects: GroupEffect[] = [];
    for (const name of NAMES) {
      const isPrimary = name === 'a';
      const status: EndpointStatus = {
        role: isPrimary ? 'primary' : 'replica',
        term: 1,
        promisedTerm: 1,
        promisedTo: '',
        last: {term: 1, offset: 5},
        upstreamSilenceMs: isPrimary ? null : 0,
      };
      effects.push(
        ...at(now, {type: 'status', endpoint: name, status, askedAt: now}),
      );
    }
    return effects;
  };
  const request = (now: number, needsPrimary: boolean): string | undefined => {
    const req = {
      id: ++id,
      needsPrimary,
      kind: needsPrimary ? DEFAULT_WRITE_KIND : DEFAULT_READ_KIND,
      floor: {term: 1, offset: 5},
      unproved: false,
      arrivedAt: now,
      deadline: now + 10_000,
      bytes: 10,
      avoid: [],
    };
    for (const effect of at(now, {type: 'requested', req})) {
      if (effect.type !== 'grant') continue;
      at(now, {type: 'released', endpoint: effect.grant.endpoint});
      return effect.grant.endpoint;
    }
    return undefined;
  };
  const configure = (now: number, leaving: readonly string[]) =>
    at(now, {type: 'configured', cfg: configOf(leaving)});
  pollAll(0);
  return {at, pollAll, request, configure};
}

const typesOf = (effects: readonly GroupEffect[]) =>
  effects.map(effect => effect.type);

test('a leaving replica gets no reads as soon as it is marked', () => {
  const {request, configure} = group();
  configure(10, ['b']);
  for (let i = 0; i < 20; i++) assert.equal(request(11, false), 'c');
});

test('a replica whose leaving mark is removed gets reads again', () => {
  const {request, configure} = group();
  configure(10, ['b', 'c']);
  assert.equal(request(11, false), 'a');
  configure(12, ['c']);
  assert.equal(request(13, false), 'b');
});

test('a leaving primary starts one planned failover, not before failoverAfterMs', () => {
  const {configure, pollAll} = group();
  configure(10, ['a']);
  const tooEarly = pollAll(10 + LEAVING_LIMITS.failoverAfterMs - 1);
  assert.ok(!typesOf(tooEarly).includes('fence'));
  const startAt =
    10 + LEAVING_LIMITS.failoverAfterMs + 8 * LEAVING_LIMITS.staggerMs;
  const fences = pollAll(startAt).filter(effect => effect.type === 'fence');
  assert.deepEqual(
    fences.map(effect => effect.endpoint),
    ['a'],
  );
});

test('a leaving primary without a successor gets no work after closeAfterMs', () => {
  const {request, configure, at} = group();
  configure(10, ['a', 'b', 'c']);
  assert.equal(request(11, true), 'a');
  const closedAt = 10 + LEAVING_LIMITS.closeAfterMs;
  assert.equal(request(closedAt, true), undefined);
  assert.equal(request(closedAt, false), undefined);
  const closing = at(closedAt, {type: 'tick'}).filter(
    effect => effect.type === 'vacate',
  );
  assert.deepEqual(
    closing.map(effect => effect.endpoint),
    NAMES,
  );
  assert.ok(!typesOf(at(closedAt + 1, {type: 'tick'})).includes('vacate'));
});

test('a repeated leaving mark does not restart the time limits', () => {
  const {request, configure} = group();
  configure(10, ['a', 'b', 'c']);
  configure(1500, ['a', 'b', 'c']);
  assert.equal(request(10 + LEAVING_LIMITS.closeAfterMs, true), undefined);
});
