/** One run: a fleet, callers, the faults of a seed, and its verdict. */
import {runCaller} from './caller.js';
import {playFault, silenceAll} from './faults.js';
import {type SoakFleet, databasesOf, GROUPS, startFleet} from './fleet.js';
import {type RunVerdict, checkRun} from './run-verdict.js';
import {type Records, noRecords} from './records.js';
import {type Fault, scheduleOf} from './schedule.js';
import {openSession} from './session.js';
import {watchConfigurations} from './watch.js';

/** How a run is played. */
export interface RunOptions {
  readonly seed: number;
  readonly instances: number;
  readonly callers: number;
  /** How long faults are injected, in milliseconds. */
  readonly lengthMs: number;
  readonly maxConnections: number;
  readonly checksFences: boolean;
}

/** A run and its result. */
export interface RunResult extends RunVerdict {
  readonly seed: number;
  readonly faults: readonly Fault[];
  /** Why the run failed beside broken promises; empty when it did not. */
  readonly failures: readonly string[];
  readonly isClean: boolean;
  /** Folder of the logs of a run that failed. */
  readonly folder: string | undefined;
}

/** Time within which a fleet must serve again after the last fault, in
 * milliseconds; the bound of the platform after a loss of power. */
const RECOVERY_MS = 12_000;
/** Time within which a configuration must be in force everywhere, in
 * milliseconds. */
const CONFIGURE_MS = 3000;
/** From the silence of all connections at the end of a run to the last
 * configuration, in milliseconds. */
const CONFIGURE_AFTER_MS = 40;
/** Time for which callers continue after the last fault, in milliseconds. */
const QUIET_PERIOD_MS = 500;

/** Plays one run. */
export async function playRun(options: RunOptions): Promise<RunResult> {
  const {seed, lengthMs} = options;
  const fleet = await startFleet(options);
  const records = noRecords();
  const faults = scheduleOf(seed, lengthMs);
  let version = 1;
  const watch = watchConfigurations(fleet, () => version);
  let isOver = false;
  const callers: Array<Promise<void>> = [];
  for (let i = 0; i < options.callers; i++) {
    const name = `c${i}`;
    const callerSeed = seed * 1000 + i;
    callers.push(runCaller(name, callerSeed, fleet, records, () => isOver));
  }
  const playing = {
    ...fleet,
    configure: () => (version = fleet.configure()),
  };
  await playAll(playing, faults);
  const failures = await settle(fleet, records);
  silenceAll(fleet);
  await sleep(CONFIGURE_AFTER_MS);
  version = fleet.configure();
  const late = await watch.settle(version, CONFIGURE_MS);
  if (late > 0) failures.push(`${late} instances lack the last configuration`);
  await sleep(QUIET_PERIOD_MS);
  isOver = true;
  await Promise.all(callers);
  await watch.stop();
  for (const name of fleet.ownEnds) failures.push(`${name} ended by itself`);
  const groups = fleet.platform.groups.values();
  const checked = checkRun(groups, records, watch.regressed);
  const broken = Object.values(checked.counts).some(count => count > 0);
  const isClean = !broken && failures.length === 0;
  await fleet.end(!isClean);
  const folder = isClean ? undefined : fleet.folder;
  return {...checked, seed, faults, failures, isClean, folder};
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Plays each fault at its time; resolves when all are over. */
async function playAll(
  fleet: SoakFleet,
  faults: readonly Fault[],
): Promise<void> {
  const startedAt = performance.now();
  const playing: Array<Promise<void>> = [];
  for (const fault of faults) {
    await sleep(Math.max(0, fault.at - (performance.now() - startedAt)));
    playing.push(playFault(fleet, fault));
  }
  await Promise.all(playing);
}

/** Waits until each group takes a write through each instance; what does not
 * by then. */
async function settle(fleet: SoakFleet, records: Records): Promise<string[]> {
  const until = performance.now() + RECOVERY_MS;
  const failures: string[] = [];
  for (const group of GROUPS) {
    for (const instance of fleet.instances) {
      const name = `settle-${group}-${instance.name}`;
      let served = false;
      for (let tries = 0; !served && performance.now() < until; tries++) {
        const {primary} = databasesOf(group);
        const id = `${name}-${tries}`;
        const session = await openSession(id, instance, primary, records);
        served = (await session?.ask(`WRITE ${id} ${id}:1`))?.isDone ?? false;
        session?.end();
        if (!served) await sleep(50);
      }
      if (!served)
        failures.push(`${instance.name} takes no write for ${group}`);
    }
  }
  return failures;
}
