/** Carries out faults on a fleet, and takes them back. */
import type {SoakInstance} from './instance.js';
import type {SoakFleet} from './fleet.js';
import {type LinkFaults, NO_FAULTS} from './loopback.js';
import {type Fault, FaultKind} from './schedule.js';

/** Which bytes a cut between an instance and an endpoint holds up. */
const CUTS: readonly LinkFaults[] = [
  {...NO_FAULTS, holdsThere: true, holdsBack: true},
  {...NO_FAULTS, holdsThere: true},
  {...NO_FAULTS, holdsBack: true},
];

/** Delays of slow links, in milliseconds. */
const DELAYS_MS = [5, 30, 150] as const;

/** What the store does while it is down. */
const STORE_FAULTS = ['busy', 'many', 'reset', 'silent'] as const;

/** Statements or calls that one fault spoils. */
const SPOILT = 4;

/** All links of an instance to the store. */
const STORE_CLIENT = '';
/** All links of callers to an instance. */
const CALLERS = '';

const chosen = <Item>(items: readonly Item[], number: number) =>
  items[number % items.length]!;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Carries out a fault; resolves when it is over and taken back. */
export async function playFault(fleet: SoakFleet, fault: Fault): Promise<void> {
  const {platform} = fleet;
  const instance = chosen(fleet.instances, fault.instance);
  const id = chosen(fleet.endpoints, fault.endpoint);
  switch (fault.kind) {
    case FaultKind.Kill:
      return instance.kill(fault.forMs);
    case FaultKind.KillAll:
      return killAll(fleet, fault.forMs);
    case FaultKind.Stop:
      return instance.stop();
    case FaultKind.Pause:
      return pause(instance, fault.forMs);
    case FaultKind.Reload:
      return instance.reload();
    case FaultKind.StoreCut:
      return cutStore(instance, fault.forMs);
    case FaultKind.EndpointCut:
      return cut(fleet, instance, id, chosen(CUTS, fault.variant), fault.forMs);
    case FaultKind.EndpointReset:
      return fleet.linksTo(id).reset(instance.name);
    case FaultKind.Silence:
      fleet.linksTo(id).silence(instance.name);
      return instance.store.silence(STORE_CLIENT);
    case FaultKind.Delay: {
      const delayMs = chosen(DELAYS_MS, fault.variant);
      return cut(fleet, instance, id, {...NO_FAULTS, delayMs}, fault.forMs);
    }
    case FaultKind.CallerReset:
      return instance.callers.reset(CALLERS);
    case FaultKind.Leave:
      return leave(fleet, id, fault.forMs);
    case FaultKind.StoreDown:
      return downStore(fleet, chosen(STORE_FAULTS, fault.variant), fault.forMs);
    case FaultKind.StoreLost:
      platform.store.faults.loseWrites = SPOILT;
      platform.store.faults.loseOrders = 1;
      return;
    case FaultKind.StoreForgets:
      return platform.store.dropHistory();
    case FaultKind.StoreRestored:
      return restoreStore(fleet, fault.forMs);
    case FaultKind.Configure:
      fleet.configure();
      return;
    default:
      return playOnEndpoint(fleet, id, fault);
  }
}

/** Makes the current links of all instances to the store and to endpoints stop
 * forwarding permanently; new links work. */
export function silenceAll(fleet: SoakFleet): void {
  for (const {name, store} of fleet.instances) {
    store.silence(STORE_CLIENT);
    for (const id of fleet.endpoints) fleet.linksTo(id).silence(name);
  }
}

/** Faults of the endpoint itself. */
async function playOnEndpoint(
  {platform}: SoakFleet,
  id: string,
  {kind, forMs, variant}: Fault,
): Promise<void> {
  const {faults} = platform.member(id);
  const endpoint = platform.endpoints.get(id)!;
  switch (kind) {
    case FaultKind.Dark:
      faults.unresponsive = true;
      if (variant % 2 === 0) endpoint.resetConnections();
      await sleep(forMs);
      faults.unresponsive = false;
      // What was asked meanwhile is never answered.
      endpoint.resetConnections();
      return;
    case FaultKind.Deaf:
      faults.replicationPaused = true;
      await sleep(forMs);
      faults.replicationPaused = false;
      return;
    case FaultKind.LoseAnswers:
      faults.loseAnswers = SPOILT;
      return;
    case FaultKind.Refuse:
      if (variant % 2 === 0) faults.busy = SPOILT;
      else faults.failing = SPOILT;
      return;
    case FaultKind.Full:
      endpoint.refuseNewConnections = true;
      await sleep(forMs);
      endpoint.refuseNewConnections = false;
      return;
  }
}

async function killAll({instances}: SoakFleet, downMs: number): Promise<void> {
  await Promise.all(instances.map(instance => instance.kill(downMs)));
}

async function pause(instance: SoakInstance, forMs: number): Promise<void> {
  instance.pause();
  await sleep(forMs);
  instance.resume();
}

async function cutStore({store}: SoakInstance, forMs: number): Promise<void> {
  store.setFaults(STORE_CLIENT, CUTS[0]!);
  await sleep(forMs);
  store.setFaults(STORE_CLIENT, NO_FAULTS);
}

async function cut(
  fleet: SoakFleet,
  instance: SoakInstance,
  endpoint: string,
  faults: LinkFaults,
  forMs: number,
): Promise<void> {
  const links = fleet.linksTo(endpoint);
  links.setFaults(instance.name, faults);
  await sleep(forMs);
  links.setFaults(instance.name, NO_FAULTS);
}

/** Leaves, ends, and comes back under its id with its log. */
async function leave(
  {platform}: SoakFleet,
  id: string,
  forMs: number,
): Promise<void> {
  const {faults} = platform.member(id);
  platform.markDraining(id);
  await sleep(forMs);
  faults.unresponsive = true;
  platform.endpoints.get(id)!.resetConnections();
  platform.removeEntry(id);
  await sleep(DOWN_MS);
  faults.unresponsive = false;
  platform.markRestarted(id);
}

/** How long an endpoint is away that has left, in milliseconds. */
const DOWN_MS = 500;

async function downStore(
  {platform}: SoakFleet,
  calls: (typeof STORE_FAULTS)[number],
  forMs: number,
): Promise<void> {
  platform.store.faults.calls = calls;
  await sleep(forMs);
  platform.store.faults.calls = 'none';
}

/** How long the store is away before it is restored, in milliseconds. */
const RESTORE_MS = 500;

/** Loses what was written in the store within `copyAgeMs`. */
async function restoreStore(
  {platform}: SoakFleet,
  copyAgeMs: number,
): Promise<void> {
  const {store} = platform;
  const {revision} = store;
  await sleep(copyAgeMs);
  store.faults.calls = 'reset';
  await sleep(RESTORE_MS);
  platform.restoreStore(revision);
  store.faults.calls = 'none';
}
