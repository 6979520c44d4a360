/**
 * Pending writes: which are acknowledged, and which have an unknown outcome.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EndpointStatus} from '@quetzalreel/endpoint';
import {type GroupView, settleAcks, viewOf, withStatus} from '../src/index.js';

const NAMES = ['db-1', 'db-2', 'db-3'];
const WRITE = {term: 1, offset: 8};
const FAR = 10_000;

type Part = readonly [
  role: 'primary' | 'replica',
  term: number,
  promised: number,
  lastTerm: number,
  offset: number,
];

function viewWith(parts: ReadonlyArray<Part | undefined>): GroupView {
  const endpoints = NAMES.map(name => ({
    name,
    host: '127.0.0.1',
    port: 1,
    dataCentre: 'recife',
    slots: 3,
    connections: 20,
    leaving: false,
  }));
  let view = viewOf({name: 'entries', endpoints});
  for (const [i, part] of parts.entries()) {
    if (!part) continue;
    const [role, term, promisedTerm, lastTerm, offset] = part;
    const status: EndpointStatus = {
      role,
      term,
      promisedTerm,
      promisedTo: 'x',
      last: {term: lastTerm, offset},
      upstreamSilenceMs: role === 'primary' ? null : 0,
    };
    view = withStatus(view, NAMES[i]!, status, 1);
  }
  return view;
}

const TABLE: ReadonlyArray<{
  name: string;
  parts: ReadonlyArray<Part | undefined>;
  is: 'acknowledged' | 'unknown' | 'pending';
}> = [
  {
    name: 'a replica holds it: acknowledged',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 1, 1, 8],
      ['replica', 1, 1, 1, 5],
    ],
    is: 'acknowledged',
  },
  {
    name: 'no replica holds it yet: pending',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 1, 1, 7],
      ['replica', 1, 1, 1, 5],
    ],
    is: 'pending',
  },
  {
    name: 'one replica has promised a later term, the other may still get it: pending',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 2, 1, 7],
      ['replica', 1, 1, 1, 7],
    ],
    is: 'pending',
  },
  {
    name: 'both replicas have promised a later term without it: unknown',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 2, 1, 7],
      ['replica', 1, 2, 1, 7],
    ],
    is: 'unknown',
  },
  {
    name: 'both promised a later term, one of them holds it: acknowledged',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 2, 1, 8],
      ['replica', 1, 2, 1, 7],
    ],
    is: 'acknowledged',
  },
  {
    name: 'a new primary took over without it: unknown',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['primary', 2, 2, 2, 9],
      ['replica', 2, 2, 1, 7],
    ],
    is: 'unknown',
  },
  {
    name: 'no status of the replicas is known: pending',
    parts: [['primary', 1, 1, 1, 8], undefined, undefined],
    is: 'pending',
  },
];

void describe('pending writes', () => {
  for (const {name, parts, is} of TABLE) {
    it(name, () => {
      const writes = [{id: 1, position: WRITE, deadline: FAR}];
      const outcome = settleAcks(writes, viewWith(parts), 2);
      const sizes = Object.entries(outcome).map(([k, v]) => [k, v.length]);
      const expected = {acknowledged: 0, unknown: 0, pending: 0, [is]: 1};
      assert.deepEqual(Object.fromEntries(sizes), expected);
    });
  }
});
