/** What an instance concludes that knows no peers. */
import assert from 'node:assert/strict';
import {it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {type PeerQueryContext, Verdict, peerQueries} from '../src/index.js';

async function verdictOfNobody(knowsAllPeers: boolean): Promise<Verdict> {
  const queries = peerQueries({
    clock: manualClock(),
    transport: {address: 'self:1'},
    peerAddresses: () => [],
    confirmPeers: async () => knowsAllPeers,
  } as unknown as PeerQueryContext);
  return (await queries.queryReachability('g', 'i-1')).verdict;
}

it('one that does not know its peers yet takes nobody for consent to replace a primary', async () => {
  assert.equal(await verdictOfNobody(false), Verdict.Inconclusive);
});

it('one that has no peers decides alone', async () => {
  assert.equal(await verdictOfNobody(true), Verdict.Unreached);
});
