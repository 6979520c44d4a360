/** The command `npm run soak`. */
import {command, flag, number, option, run} from 'cmd-ts';
import {type Counts, NO_COUNTS} from './run-verdict.js';
import {type RunResult, playRun} from './run.js';

/** Maximum number of daemons at the same time; seeds are played in parallel up to
 * it. */
const PROCESSES_AT_ONCE = 24;
/** Callers for each instance, and of one run: one process plays them, the
 * proxies and the stand-ins. */
const CALLERS_EACH = 4;
const MAX_CALLERS = 48;
/** How long faults are injected in one run, in seconds: some of each series. */
const SECONDS = 8;
const MS_PER_SECOND = 1000;
/** Connections that an endpoint accepts, as on the platform today. */
const MAX_CONNECTIONS = 22;
const MS_PER_MINUTE = 60_000;

const print = (value: unknown) =>
  process.stdout.write(`${JSON.stringify(value)}\n`);

/** What is printed of a run. */
function lineOf(result: RunResult) {
  const {seed, isClean, counts, failures, findings, folder, verdict} = result;
  const {acked, unknown, notRun} = verdict;
  const kinds = result.faults.map(({kind}) => kind).join(' ');
  const line = {seed, isClean, acked, unknown, notRun, kinds};
  return isClean
    ? line
    : {
        ...line,
        counts,
        troubles: failures,
        findings: findings.slice(0, 5),
        folder,
      };
}

function sum(results: readonly RunResult[]): Counts {
  const all = {...NO_COUNTS};
  for (const {counts} of results) {
    for (const name of Object.keys(all) as Array<keyof Counts>) {
      all[name] += counts[name];
    }
  }
  return all;
}

const app = command({
  name: 'soak',
  description: 'Plays random faults on real daemons and checks promises.',
  args: {
    seed: option({
      type: number,
      long: 'seed',
      defaultValue: () => 1,
      description: 'the first seed',
    }),
    seeds: option({
      type: number,
      long: 'seeds',
      defaultValue: () => 1,
      description: 'how many seeds from the first one on',
    }),
    minutes: option({
      type: number,
      long: 'minutes',
      defaultValue: () => 0,
      description: 'go on with fresh seeds for this long',
    }),
    processes: option({
      type: number,
      long: 'processes',
      defaultValue: () => 6,
      description: 'instances of each run',
    }),
    seconds: option({
      type: number,
      long: 'seconds',
      defaultValue: () => SECONDS,
      description: 'how long faults come in each run',
    }),
    unfenced: flag({
      long: 'unfenced',
      description: 'replaced primaries go on, as no fences are checked',
    }),
  },
  handler: async ({seed, seeds, minutes, processes, seconds, unfenced}) => {
    const until = performance.now() + minutes * MS_PER_MINUTE;
    let next = minutes > 0 && seed === 1 ? Date.now() % 1e9 : seed;
    const last = next + seeds;
    const results: RunResult[] = [];
    const isLeft = () => next < last || performance.now() < until;
    async function playSome(): Promise<void> {
      while (isLeft()) {
        const result = await playRun({
          seed: next++,
          instances: processes,
          callers: Math.min(MAX_CALLERS, processes * CALLERS_EACH),
          lengthMs: seconds * MS_PER_SECOND,
          maxConnections: MAX_CONNECTIONS,
          checksFences: !unfenced,
        });
        results.push(result);
        print(lineOf(result));
      }
    }
    const atOnce = Math.max(1, Math.floor(PROCESSES_AT_ONCE / processes));
    await Promise.all(Array.from({length: atOnce}, playSome));
    const failed = results.filter(({isClean}) => !isClean).length;
    print({seeds: results.length, failed, ...sum(results)});
    process.exitCode = failed > 0 || results.length === 0 ? 1 : 0;
  },
});

await run(app, process.argv.slice(2));
