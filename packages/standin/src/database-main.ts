/** Runs a stand-in database as a process; prints its ports as JSON. */
import {command, number, option, optional, run, string} from 'cmd-ts';
import {runDatabase} from './run-database.js';

const app = command({
  name: 'standin-database',
  args: {
    name: option({type: string, long: 'name'}),
    port: option({type: number, long: 'port', defaultValue: () => 0}),
    upstreamPort: option({type: optional(number), long: 'upstream-port'}),
    slots: option({type: number, long: 'slots', defaultValue: () => 3}),
    connections: option({
      type: number,
      long: 'connections',
      defaultValue: () => 20,
    }),
    connectMs: option({
      type: number,
      long: 'connect-ms',
      defaultValue: () => 10,
    }),
    lagMs: option({type: number, long: 'lag-ms', defaultValue: () => 5}),
    serviceMs: option({
      type: number,
      long: 'service-ms',
      defaultValue: () => 1,
    }),
    distanceMs: option({
      type: number,
      long: 'distance-ms',
      defaultValue: () => 0,
    }),
  },
  handler: async args => {
    const upstream =
      args.upstreamPort === undefined
        ? undefined
        : {term: 1, host: '127.0.0.1', port: args.upstreamPort};
    const running = await runDatabase({...args, upstream});
    const ports = {port: running.server.port, control: running.controlPort};
    process.stdout.write(JSON.stringify(ports) + '\n');
  },
});

await run(app, process.argv.slice(2));
