#!/usr/bin/env node
/** The command `quetzalreeld`. */
import {messageOf} from '@quetzalreel/common';
import {command, run} from 'cmd-ts';
import {startDaemon} from './daemon.js';
import {SETTING_FLAGS, checkSettings} from './settings.js';

const app = command({
  name: 'quetzalreeld',
  description: 'Database proxy with session consistency.',
  args: SETTING_FLAGS,
  handler: async args => {
    const daemon = await startDaemon(checkSettings(args));
    const {port, adminPort: admin, peerAddress: peer} = daemon;
    const ports = {port, admin, peer};
    process.stdout.write(JSON.stringify(ports) + '\n');
    process.once('SIGTERM', () => {
      daemon.stop().then(
        () => process.exit(0),
        err => {
          process.stderr.write(`quetzalreeld: ${messageOf(err)}\n`);
          process.exit(1);
        },
      );
    });
  },
});

run(app, process.argv.slice(2)).catch(err => {
  // Exits explicitly: timers and sockets that were opened before the error
  // would keep the process alive.
  process.stderr.write(`quetzalreeld: ${messageOf(err)}\n`, () =>
    process.exit(2),
  );
});
