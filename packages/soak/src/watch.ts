/**
 * Checks configurations by opening sessions as a caller. Once a process has
 * accepted a session on a version's route, it must accept that route until it
 * exits. At the end of a run, every instance must accept the newest route.
 */
import {ErrorCode} from '@quetzalreel/requests';
import {openCaller, parseAnswer} from '@quetzalreel/platform-adapter/standin';
import type {SoakFleet} from './fleet.js';
import type {SoakInstance} from './instance.js';

/** Pause between checks of all instances, in milliseconds. */
const CHECK_INTERVAL_MS = 120;
/** Longest wait for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1000;

/** Whether an instance accepts a session on a database; undefined if it gave
 * neither an acceptance nor a `NoDatabase` error. */
async function acceptsDatabase(
  {callers}: SoakInstance,
  database: string,
): Promise<boolean | undefined> {
  try {
    const caller = await openCaller(callers.port);
    const late = setTimeout(() => caller.dispose(), ANSWER_TIMEOUT_MS);
    const lines = await caller.start(database, 'watch');
    clearTimeout(late);
    caller.dispose();
    const {code, isComplete} = parseAnswer(lines);
    if (code === ErrorCode.NoDatabase) return false;
    return isComplete && code === undefined ? true : undefined;
  } catch {
    // No connection: this gives no information about the configuration.
    return undefined;
  }
}

/** A running check of configurations. */
export interface ConfigurationWatch {
  /** Number of refusals of a route that the same process had accepted. */
  readonly regressed: number;
  /** Waits up to `withinMs` for every instance to accept the version's route.
   * Returns the number of instances that still don't. */
  settle(version: number, withinMs: number): Promise<number>;
  stop(): Promise<void>;
}

/** Runs checks until stopped; `newest` returns the version in force. */
export function watchConfigurations(
  fleet: SoakFleet,
  newest: () => number,
): ConfigurationWatch {
  /** The newest version that each process has accepted. */
  const taken = new Map<string, number>();
  let regressed = 0;
  let isOver = false;

  async function checkInstance(instance: SoakInstance): Promise<void> {
    const {name, incarnation} = instance;
    const key = `${name} ${incarnation}`;
    const before = taken.get(key);
    if (before !== undefined) {
      const still = await acceptsDatabase(instance, fleet.databaseOf(before));
      if (instance.incarnation !== incarnation) return;
      if (still === false) regressed++;
    }
    const version = newest();
    if (version === before || version < 2) return;
    const isTaken = await acceptsDatabase(instance, fleet.databaseOf(version));
    const isSame = instance.incarnation === incarnation;
    if (isTaken && isSame) taken.set(key, version);
  }

  async function run(): Promise<void> {
    while (!isOver) {
      await Promise.all(fleet.instances.map(checkInstance));
      await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  const running = run();
  return {
    get regressed() {
      return regressed;
    },
    async settle(version, withinMs) {
      const until = performance.now() + withinMs;
      const database = fleet.databaseOf(version);
      let missing = [...fleet.instances];
      while (missing.length > 0 && performance.now() < until) {
        const left: SoakInstance[] = [];
        for (const instance of missing) {
          if (!(await acceptsDatabase(instance, database))) left.push(instance);
        }
        missing = left;
      }
      return missing.length;
    },
    async stop() {
      isOver = true;
      await running;
    },
  };
}
