/**
 * The command `npm run bench`: compares the product with baselines and prints
 * one JSON object per line.
 */
import {command, number, option, optional, run, string} from 'cmd-ts';
import {ReadPolicy} from './caller.js';
import {type RunFigures, runExperiment} from './experiment.js';
import {startFleet} from './fleet.js';
import {isClean} from './history.js';
import {WORKLOADS, type Workload} from './workloads.js';

/** Printed figures and their units. */
const FIGURES: ReadonlyArray<readonly [keyof RunFigures, string]> = [
  ['replicaShare', 'share'],
  ['statementsPerSecond', '1/s'],
  ['readP50Ms', 'ms'],
  ['readP99Ms', 'ms'],
  ['writeP50Ms', 'ms'],
  ['writeP99Ms', 'ms'],
  ['waveFillMs', 'ms'],
  ['failoverGapMs', 'ms'],
  ['reads', 'count'],
  ['acked', 'count'],
  ['lost', 'count'],
  ['doubled', 'count'],
  ['staleReads', 'count'],
  ['staleAfterRoaming', 'count'],
  ['tooOldReads', 'count'],
  ['mixedTransactions', 'count'],
  ['foreignAnswers', 'count'],
  ['notRun', 'count'],
  ['notRunButThere', 'count'],
  ['unknown', 'count'],
  ['failed', 'count'],
];
const MS_PER_SECOND = 1000;

const print = (line: object) =>
  process.stdout.write(`${JSON.stringify(line)}\n`);

/** Runs one workload under one read policy, on a new fleet. */
async function runOnce(
  workload: Workload,
  policy: ReadPolicy,
  seed: number,
  loadMs: number,
): Promise<RunFigures> {
  const fleet = await startFleet({...workload.sizes, logLevel: 'error'});
  try {
    const load = {workload, policy, seed, loadMs, killsPrimary: true};
    return await runExperiment(fleet, load);
  } finally {
    await fleet.stop();
  }
}

/**
 * Runs a workload with the product and with each baseline. Returns false if the
 * product violated a guarantee or acknowledged no write.
 */
async function bench(
  workload: Workload,
  seed: number,
  loadMs: number,
): Promise<boolean> {
  const {groups, proxies} = workload.sizes;
  const run = (policy: ReadPolicy) => runOnce(workload, policy, seed, loadMs);
  const product = await run(ReadPolicy.Product);
  const primaryOnly = await run(ReadPolicy.PrimaryOnly);
  const primaryAfterWrite = await run(ReadPolicy.PrimaryAfterWrite);
  const labels = {workload: workload.name, seed};
  const fleet = {groups: groups.length, databases: groups.length * 3, proxies};
  print({...labels, figure: 'fleet', unit: 'count', value: fleet});
  for (const [figure, unit] of FIGURES) {
    const baseline = {
      primaryOnly: primaryOnly[figure],
      primaryAfterWrite: primaryAfterWrite[figure],
    };
    print({...labels, figure, unit, value: product[figure], baseline});
  }
  return isClean(product) && product.acked > 0;
}

const app = command({
  name: 'bench',
  description: "Runs the users' workloads and compares them with baselines.",
  args: {
    workload: option({
      type: optional(string),
      long: 'workload',
      description: 'entries-db or arsiv-db; both if omitted',
    }),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
    seconds: option({
      type: number,
      long: 'seconds',
      defaultValue: () => 8,
      description:
        'duration of the load of each run; a workload takes three runs',
    }),
    groups: option({
      type: number,
      long: 'groups',
      defaultValue: () => 3,
      description: 'number of groups in each deployment, 1 to 3',
    }),
  },
  handler: async args => {
    for (const workload of WORKLOADS) {
      if (args.workload && workload.name !== args.workload) continue;
      const groups = workload.sizes.groups.slice(0, args.groups);
      const scaled = {...workload, sizes: {...workload.sizes, groups}};
      const clean = await bench(
        scaled,
        args.seed,
        args.seconds * MS_PER_SECOND,
      );
      if (!clean) process.exitCode = 1;
    }
  },
});

await run(app, process.argv.slice(2));
