/** The command `npm run demo`. */
import {boolean, command, flag, number, option, run} from 'cmd-ts';
import {DEMO, runDemo} from './demo.js';
import {startFleet} from './fleet.js';
import {isClean} from './history.js';

const print = (line: string) => process.stdout.write(`${line}\n`);

const app = command({
  name: 'demo',
  description:
    'Runs a small fleet, kills its primary and checks the guarantees.',
  args: {
    hold: flag({
      type: boolean,
      long: 'hold',
      description: 'keep the fleet running',
    }),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
    callers: option({type: number, long: 'callers', defaultValue: () => 12}),
  },
  handler: async ({hold, seed, callers}) => {
    const fleet = await startFleet({...DEMO.sizes, logLevel: 'warn'});
    if (hold) {
      const {proxies, endpoints, platform} = fleet;
      print(JSON.stringify({proxies, endpoints, platform}));
      process.once('SIGINT', () => void fleet.stop());
      process.once('SIGTERM', () => void fleet.stop());
      return;
    }
    try {
      const options = {callers, seed, loadMs: 5000};
      const result = await runDemo(fleet, options, print);
      print(JSON.stringify(result));
      process.exitCode = isClean(result) && result.acked > 0 ? 0 : 1;
    } finally {
      await fleet.stop();
    }
  },
});

await run(app, process.argv.slice(2));
