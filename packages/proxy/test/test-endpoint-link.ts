/** Tests which unused connections to an endpoint stay open. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {manualClock} from '@quetzalreel/common';
import {tcpRelayDriver} from '@quetzalreel/relay';
import {NO_CONNECTIONS_PLAN} from '../src/connection-sharing.js';
import {TIMES} from '../src/defaults.js';
import {endpointLink} from '../src/endpoint-link.js';
import {createLog} from '../src/log.js';
import {listedEndpoint} from './listed.js';
import {simulatedGroup} from './simulated-endpoint.js';

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
    relayDriver: tcpRelayDriver(),
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

describe('unused connections', () => {
  it('are closed down to the minimum beyond those that the plan keeps', async () => {
    assert.equal(await leftUnused(0), 1);
  });

  it('that the plan keeps are not closed and opened again', async () => {
    assert.equal(await leftUnused(3), 3);
  });
});
