/** Runs the stand-in platform as a process; prints its port as JSON. */
import {command, number, option, run} from 'cmd-ts';
import {platformServer} from './platform-server.js';

const app = command({
  name: 'standin-platform',
  args: {
    port: option({type: number, long: 'port', defaultValue: () => 0}),
  },
  handler: async args => {
    const server = await platformServer(args.port);
    process.stdout.write(JSON.stringify({port: server.port}) + '\n');
  },
});

await run(app, process.argv.slice(2));
