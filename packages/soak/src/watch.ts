/**
 * Watches configurations from a caller's side: an instance that has once taken
 * a session on a version's route must take it until its process ends, and all
 * must take the newest one in the end.
 */
import {ErrorCode} from '@quetzalreel/requests';
import {openCaller, parseAnswer} from '@quetzalreel/platform-adapter/standin';
import type {SoakFleet} from './fleet.js';
import type {SoakInstance} from './instance.js';

/** Between two looks at all instances, in milliseconds. */
const EVERY_MS = 120;
/** Longest wait for an answer, in milliseconds. */
const ANSWER_MS = 1000;

/** What an instance says of a database: undefined for no answer. */
async function takes(
  {callers}: SoakInstance,
  database: string,
): Promise<boolean | undefined> {
  try {
    const caller = await openCaller(callers.port);
    const late = setTimeout(() => caller.dispose(), ANSWER_MS);
    const lines = await caller.start(database, 'watch');
    clearTimeout(late);
    caller.dispose();
    const {code, isComplete} = parseAnswer(lines);
    if (code === ErrorCode.NoDatabase) return false;
    return isComplete && code === undefined ? true : undefined;
  } catch {
    // Nobody listens there now, which says nothing of configurations.
    return undefined;
  }
}

/** What was seen of versions. */
export interface ConfigurationWatch {
  /** Refusals of a route that the same process had taken before. */
  readonly regressed: number;
  /** Waits until every instance takes the newest version's route; how many
   * don't by then. */
  settle(version: number, withinMs: number): Promise<number>;
  stop(): Promise<void>;
}

/** Watches until stopped; `newest` tells the version that was put in force. */
export function watchConfigurations(
  fleet: SoakFleet,
  newest: () => number,
): ConfigurationWatch {
  /** The newest version that each process has taken. */
  const taken = new Map<string, number>();
  let regressed = 0;
  let isOver = false;

  async function look(instance: SoakInstance): Promise<void> {
    const {name, incarnation} = instance;
    const key = `${name} ${incarnation}`;
    const before = taken.get(key);
    if (before !== undefined) {
      const still = await takes(instance, fleet.databaseOf(before));
      if (instance.incarnation !== incarnation) return;
      if (still === false) regressed++;
    }
    const version = newest();
    if (version === before || version < 2) return;
    const isTaken = await takes(instance, fleet.databaseOf(version));
    const isSame = instance.incarnation === incarnation;
    if (isTaken && isSame) taken.set(key, version);
  }

  async function run(): Promise<void> {
    while (!isOver) {
      await Promise.all(fleet.instances.map(look));
      await new Promise(resolve => setTimeout(resolve, EVERY_MS));
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
          if (!(await takes(instance, database))) left.push(instance);
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
