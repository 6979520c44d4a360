/** Tests who gets the connections to an endpoint, and which stay open. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {
  RelayDriver,
  type RelayedConnection,
  tcpRelayDriver,
} from '@quetzalreel/relay';
import {NO_CONNECTIONS_PLAN} from '../src/connection-sharing.js';
import {ANSWER_LIMITS, TIMES} from '../src/defaults.js';
import {OWN_USE} from '../src/connection-use.js';
import {endpointLink} from '../src/endpoint-link.js';
import {createLog} from '../src/log.js';
import {listedEndpoint} from './listed.js';
import {simulatedGroup} from './simulated-endpoint.js';
import {answerMemory} from '@quetzalreel/requests';

const MEMORY = answerMemory(ANSWER_LIMITS);
const TRAITS = {
  slots: 3,
  queueLength: 24,
  openingMs: 27,
  maxConnections: 20,
  lagMs: 20,
  transitMs: 1,
};
const OPENED = 4;

/** Number of connections left after a long time without use. */
async function leftUnused(keptConnections: number): Promise<number> {
  const clock = manualClock();
  const {driver} = simulatedGroup(clock, ['e-0'], TRAITS);
  const link = endpointLink(listedEndpoint('e-0'), {
    clock,
    log: createLog('test', {write: () => {}}),
    driver,
    relayDriver: tcpRelayDriver(MEMORY),
    onIdle: () => {},
  });
  const plan = {...NO_CONNECTIONS_PLAN, isHolder: true, keptConnections};
  link.applyPlan({...plan, maxOwnConnections: OPENED});
  while (link.idle < OPENED) {
    link.open();
    clock.advance(TRAITS.openingMs);
    await new Promise(resolve => setImmediate(resolve));
  }
  clock.advance(2 * TIMES.idleConnectionMs);
  for (let i = 0; i < OPENED; i++) link.closeUnused(1);
  return link.connections;
}

/** A relay that accepts every connection. */
class AcceptingRelays extends RelayDriver {
  async connect(relay: string): Promise<RelayedConnection> {
    const closeCallbacks: Array<() => void> = [];
    const connection = {
      endpoint: 'e-0',
      relay,
      isOpen: true,
      onClose: (callback: () => void) => void closeCallbacks.push(callback),
      dispose() {
        this.isOpen = false;
        for (const callback of closeCallbacks.splice(0)) callback();
      },
    };
    return connection as unknown as RelayedConnection;
  }
}

describe('a relay that does not answer', () => {
  it('gets no statement on another idle connection, which may be silent too', async () => {
    const clock = manualClock();
    const link = endpointLink(listedEndpoint('e-0'), {
      clock,
      log: createLog('test', {write: () => {}}),
      driver: simulatedGroup(clock, ['e-0'], TRAITS).driver,
      relayDriver: new AcceptingRelays(),
      onIdle: () => {},
    });
    const holders = ['r-1', 'r-2'].map(relay => ({
      instance: relay,
      dataCentre: 'z',
      address: relay,
      relay,
    }));
    async function openThrough(first: string): Promise<void> {
      const order = [...holders].sort(({relay}) => (relay === first ? -1 : 1));
      link.applyPlan({...NO_CONNECTIONS_PLAN, holders: order});
      link.open();
      await new Promise(resolve => setImmediate(resolve));
    }
    for (const relay of ['r-1', 'r-1', 'r-2']) await openThrough(relay);
    assert.equal(link.idle, 3);
    link.noteRelayFailure('r-1');
    assert.equal(link.idle, 1);
    const left = link.acquire('', OWN_USE)!.connection as RelayedConnection;
    assert.equal(left.relay, 'r-2');
  });
});

describe('a control request', () => {
  /** A link whose planned connections are all in use, with what it has offered. */
  async function withoutIdle() {
    const clock = manualClock();
    const {driver, endpoints} = simulatedGroup(clock, ['e-0'], TRAITS);
    let offered = 0;
    const link = endpointLink(listedEndpoint('e-0'), {
      clock,
      log: createLog('test', {write: () => {}}),
      driver,
      relayDriver: tcpRelayDriver(MEMORY),
      onIdle: () => offered++,
    });
    const plan = {...NO_CONNECTIONS_PLAN, isHolder: true};
    link.applyPlan({...plan, maxOwnConnections: 1});
    link.open();
    const pass = async (ms: number) => {
      clock.advance(ms);
      await new Promise(resolve => setImmediate(resolve));
    };
    for (let i = 0; i < 3; i++) await pass(TRAITS.openingMs);
    const inUse = link.acquire('', OWN_USE)!;
    const offeredBefore = offered;
    const offeredSince = () => offered - offeredBefore;
    return {link, inUse, offeredSince, pass, endpoint: endpoints[0]!};
  }

  it('gets the next connection that is free, before statements that wait', async () => {
    const {link, inUse, offeredSince} = await withoutIdle();
    const taken = link.acquireNext(OWN_USE, 1000);
    link.release(inUse, true);
    assert.equal(await taken, inUse);
    assert.equal(offeredSince(), 0);
  });

  it('gets one beyond the plan if none is free', async () => {
    const {link, inUse, pass, endpoint} = await withoutIdle();
    const taken = link.acquireNext(OWN_USE, 1000);
    for (let i = 0; i < 3; i++) await pass(TRAITS.openingMs);
    const extra = await taken;
    assert.ok(extra && extra !== inUse);
    assert.equal(endpoint.opened, 2);
  });

  it('does not get one that is free only after its time', async () => {
    const {link, inUse, offeredSince, pass} = await withoutIdle();
    const taken = link.acquireNext(OWN_USE, 10);
    await pass(10);
    assert.equal(await taken, undefined);
    link.release(inUse, true);
    assert.equal(offeredSince(), 1);
  });
});

describe('unused connections', () => {
  it('are closed down to the minimum beyond those that the plan keeps', async () => {
    assert.equal(await leftUnused(0), 1);
  });

  it('that the plan keeps are not closed and opened again', async () => {
    assert.equal(await leftUnused(3), 3);
  });
});
