/** Held acknowledgements: which are given, and which can't come any more. */
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
  is: 'done' | 'unknown' | 'held';
}> = [
  {
    name: 'a replica holds it: done',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 1, 1, 8],
      ['replica', 1, 1, 1, 5],
    ],
    is: 'done',
  },
  {
    name: 'no replica holds it yet: held',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 1, 1, 7],
      ['replica', 1, 1, 1, 5],
    ],
    is: 'held',
  },
  {
    name: 'one replica has promised a later term: the other may still get it',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 2, 1, 7],
      ['replica', 1, 1, 1, 7],
    ],
    is: 'held',
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
    name: 'both promised a later term, one of them with it: done',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['replica', 1, 2, 1, 8],
      ['replica', 1, 2, 1, 7],
    ],
    is: 'done',
  },
  {
    name: 'a new primary serves and the old one is gone: unknown',
    parts: [
      ['primary', 1, 1, 1, 8],
      ['primary', 2, 2, 2, 9],
      ['replica', 2, 2, 1, 7],
    ],
    is: 'unknown',
  },
  {
    name: 'nothing is known of the replicas: held',
    parts: [['primary', 1, 1, 1, 8], undefined, undefined],
    is: 'held',
  },
];

void describe('held acknowledgements', () => {
  for (const {name, parts, is} of TABLE) {
    it(name, () => {
      const held = [{id: 1, position: WRITE, deadline: FAR}];
      const outcome = settleAcks(held, viewWith(parts), 2);
      const sizes = Object.entries(outcome).map(([k, v]) => [k, v.length]);
      const expected = {done: 0, unknown: 0, held: 0, [is]: 1};
      assert.deepEqual(Object.fromEntries(sizes), expected);
    });
  }
});
