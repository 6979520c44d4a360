/**
 * Queries of peers and entries of instances under arbitrary input: a message of
 * another shape must not be passed on, nor change which changes of primary are
 * known.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {mutated, oddValue} from '@quetzalreel/checks';
import {manualClock, parseAddress} from '@quetzalreel/common';
import {
  type ChangeRecord,
  type ChangeRecords,
  isChangeRecord,
  withChanges,
} from '@quetzalreel/failover';
import {isRevision} from '@quetzalreel/object-store';
import {PeerTransport} from '@quetzalreel/peer';
import {
  type PeerQueryMessage,
  changeQueries,
  hasPeerQueryType,
  isPeerQueryMessage,
  parseListedInstance,
  peerQueries,
} from '../src/index.js';

const SEED = 46;
const RUNS = 2000;

const FROM = '10.0.0.9:1';
const CHANGE: ChangeRecord = {
  group: 'g',
  from: 'e-1',
  to: 'e-2',
  fence: 4,
  isPlanned: true,
};
const BODIES: readonly object[] = [
  {type: 'reaches', group: 'g', endpoint: 'e'},
  {type: 'reached', isReached: true, relay: '10.0.0.9:2'},
  {type: 'confirmedPosition', group: 'g'},
  {
    type: 'confirmed',
    group: 'g',
    endpoint: 'e',
    position: {term: 1, offset: 2},
    ageMs: 3,
  },
  {type: 'configurationAbove', generation: 1},
  {type: 'configuration', generation: 2, value: {Version: 2}},
  {type: 'changesWanted', instance: 'i', digest: 5},
  {type: 'changes', changes: [CHANGE]},
  {type: 'changeAnnounced', instance: 'i', change: CHANGE},
  {type: 'changeNoted', instance: 'i', fence: 4, renewed: ['i']},
  {type: 'lastOrderWanted', era: 1},
  {type: 'lastOrder', msAgo: 10},
];
const MESSAGES = BODIES.map(body => ({...body, from: FROM, seq: 1}));
const message = fc.oneof(...MESSAGES.map(mutated), oddValue);

class RecordingTransport extends PeerTransport<PeerQueryMessage> {
  readonly address = '10.0.0.1:1';
  readonly traffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    links: 0,
  };
  readonly sent: PeerQueryMessage[] = [];
  sendToAll(addresses: readonly string[], item: PeerQueryMessage): void {
    for (const address of addresses) assert.equal(typeof address, 'string');
    this.sent.push(item);
  }
  dispose(): void {}
}

/** The queries of an instance that knows one change. */
function instanceThatKnows(known: ChangeRecord) {
  const transport = new RecordingTransport();
  const clock = manualClock();
  let changes: ChangeRecords = new Map([[known.group, known]]);
  const queries = peerQueries({
    transport,
    clock,
    source: {
      reaches: async () => true,
      confirmed: () => undefined,
      configuration: () => ({generation: 9, value: 1}),
    },
    relay: () => '10.0.0.1:2',
    peerAddresses: () => [FROM],
    confirmPeers: async () => true,
    answerTimeoutMs: 100,
    maxQueriedPeers: 2,
    onConfiguration: () => {},
    onConfirmed(_group, {position, ageMs}, askedAt) {
      assert.ok(Number.isSafeInteger(position.term));
      assert.ok(ageMs >= 0 && askedAt <= clock.now());
    },
    changeQueries: changeQueries({
      instance: 'self',
      transport,
      clock,
      source: {
        get changes() {
          return changes;
        },
        addChanges: more => (changes = withChanges(changes, more)),
        finishTransactions: async () => {},
        lastOrderAt: undefined,
        noteEra: era => assert.ok(Number.isSafeInteger(era)),
      },
      answerTimeoutMs: 100,
      renewedMs: 1000,
    }),
  });
  return {queries, transport, clock, changes: () => changes};
}

describe('a message of a peer', () => {
  it('is valid as instances send it, and any value is valid or not', () => {
    for (const item of MESSAGES) assert.ok(isPeerQueryMessage(item));
    const property = fc.property(message, item => {
      const isValid = isPeerQueryMessage(item);
      if (typeof item !== 'object' || item === null) assert.ok(!isValid);
      else assert.ok(!isValid || hasPeerQueryType(item));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('is answered to its sender, and known changes are replaced by newer ones only', async () => {
    const list = fc.array(message, {maxLength: 12});
    const property = fc.asyncProperty(list, async items => {
      const {queries, transport, clock, changes} = instanceThatKnows(CHANGE);
      const query = queries.queryReachability('g', 'e');
      queries.requestConfirmedPosition('g', []);
      for (const item of items)
        if (isPeerQueryMessage(item)) queries.receive(item);
      clock.advance(100);
      const {verdict} = await query;
      assert.equal(typeof verdict, 'string');
      for (const change of changes().values())
        assert.ok(isChangeRecord(change));
      assert.ok(changes().get('g')!.fence >= CHANGE.fence);
      for (const sent of transport.sent) assert.ok(isPeerQueryMessage(sent));
      // One answer for each message, and the two queries above.
      assert.ok(transport.sent.length <= items.length + 2);
    });
    await fc.assert(property, {seed: SEED, numRuns: 500});
  });
});

describe('the entry of an instance', () => {
  const VALID = {address: 'h:1', relay: 'h:2', dataCentre: 'z', facts: 2};

  it('is read with addresses that can be connected to, or left out', () => {
    const property = fc.property(mutated(VALID), value => {
      const entry = parseListedInstance({name: 'n', revision: 3, value}, 1);
      if (!entry) return;
      assert.ok(parseAddress(entry.address) && parseAddress(entry.relay));
      assert.equal(typeof entry.dataCentre, 'string');
      assert.ok(isRevision(entry.facts), String(entry.facts));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
