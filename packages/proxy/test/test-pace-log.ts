/**
 * Tests what operators see of limits. Guards against a limit that changes without a trace for operators, and against
 * a line for each of its steps.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {NO_CONNECTIONS_PLAN} from '../src/connection-sharing.js';
import {noFacts} from '../src/endpoint-facts.js';
import type {EndpointLink} from '../src/endpoint-link.js';
import {PaceReason, afterLost, afterReturn} from '../src/endpoint-pace.js';
import type {GroupRuntime} from '../src/group-types.js';
import {noLoad} from '../src/load-counts.js';
import {createLog} from '../src/log.js';
import {proxyMetrics} from '../src/metrics.js';
import {paceLog} from '../src/pace-log.js';
import {listedEndpoint} from './listed.js';

const SLOTS = 4;

function observed() {
  const clock = manualClock();
  const lines: Array<{reason: PaceReason; limit: number}> = [];
  const log = createLog('test', {
    write: line => void lines.push(JSON.parse(String(line))),
  });
  const link = {
    listed: listedEndpoint('e-1'),
    facts: noFacts(SLOTS),
    plan: NO_CONNECTIONS_PLAN,
  } as unknown as EndpointLink;
  const limits = paceLog({name: 'g', clock, log});
  return {clock, lines, link, observe: () => limits.observe(link)};
}

describe('the metrics of limits', () => {
  it('show the limit in force and the reason of its last change', async () => {
    const {clock, link} = observed();
    link.facts.pace = afterReturn(link.facts.pace, clock.now());
    const known = {...link, load: noLoad(), connections: 0};
    const links = new Map([['e-1', known]]);
    const metrics = proxyMetrics({
      groups: () => [{name: 'g', links} as unknown as GroupRuntime],
      generation: () => 0,
      storeEra: () => 0,
      sessions: () => 0,
      heldAnswerBytes: () => 0,
      now: () => clock.now(),
    });
    const text = await metrics.text();
    const labels = 'group="g",endpoint="e-1"';
    assert.ok(text.includes(`quetzalreel_endpoint_limit{${labels}} 1`));
    const reason = `${labels},reason="${PaceReason.Returned}"`;
    const reasons = text.match(/^quetzalreel_endpoint_limit_reason\{.*$/gm);
    const expected = `quetzalreel_endpoint_limit_reason{${reason}} 1`;
    assert.deepEqual(reasons, [expected]);
  });
});

describe('the log of limits', () => {
  it('tells nothing while the endpoint is well', () => {
    const {lines, observe} = observed();
    observe();
    assert.deepEqual(lines, []);
  });

  it('tells a lower limit with its reason, and the full one again', () => {
    const {clock, lines, link, observe} = observed();
    const {facts} = link;
    const well = facts.pace;
    facts.pace = afterReturn(well, clock.now());
    observe();
    facts.pace = {...facts.pace, reason: PaceReason.Raised, share: 0.5};
    clock.advance(2000);
    observe();
    facts.pace = well;
    observe();
    const told = lines.map(({reason, limit}) => ({reason, limit}));
    assert.deepEqual(told, [
      {reason: PaceReason.Returned, limit: 1},
      {reason: PaceReason.Well, limit: 8},
    ]);
  });

  it('writes one line a second at most', () => {
    const {clock, lines, link, observe} = observed();
    const {facts} = link;
    for (let i = 0; i < 100; i++) {
      const now = clock.now();
      const isEven = i % 2 === 0;
      facts.pace = isEven
        ? afterReturn(facts.pace, now)
        : afterLost({...facts.pace, share: 1, changedAt: -Infinity}, now);
      observe();
      clock.advance(50);
    }
    assert.ok(lines.length <= 6, `${lines.length} lines`);
  });
});
