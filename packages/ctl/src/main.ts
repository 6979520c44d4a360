#!/usr/bin/env node
/** Entry point of `qrctl`. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {messageOf, systemClock} from '@quetzalreel/common';
import {ConfigurationError, hashSecret} from '@quetzalreel/config';
import {httpPlatformClient} from '@quetzalreel/object-store';
import {
  boolean,
  command,
  flag,
  number,
  oneOf,
  option,
  restPositionals,
  run,
  string,
} from 'cmd-ts';
import {parseCommand} from './command.js';
import {CommandError, CtlError, ExitCode} from './errors.js';
import {createInstanceClient} from './instances.js';
import {explainCommand, instanceCommand} from './operator-commands.js';
import {runCommand} from './run-command.js';

const CALL_TIMEOUT_MS = 3000;

const app = command({
  name: 'qrctl',
  description: `Operates a fleet of quetzalreeld. Commands:
  show endpoints|groups|members|generation|changes|shares|sessions|kinds [in group G]
  drain endpoint E          return endpoint E
  promote endpoint E in group G
  set kind K field=value …  apply FILE      history
  secret                    (reads a password, prints its hash)
  explain|instance          (see qrctl explain --help, qrctl instance --help)
Exit codes: 0 done, 1 fault, 2 usage, 3 store down and nothing changed,
4 race lost, 5 not in force in time, 6 outcome unknown, 7 refused, 8 instance.`,
  args: {
    platformUrl: option({
      type: string,
      long: 'platform-url',
      env: 'QUETZALREEL_PLATFORM_URL',
      defaultValue: () => 'http://127.0.0.1:8080',
      description: "base address of the platform's object API",
    }),
    admin: option({
      type: string,
      long: 'admin',
      env: 'QUETZALREEL_ADMIN',
      defaultValue: () => '127.0.0.1:6433',
      description: "operators' ports of one or more instances, comma-separated",
    }),
    token: option({
      type: string,
      long: 'token',
      env: 'QUETZALREEL_OPERATOR_TOKEN',
      defaultValue: () => '',
      description: 'operator token; set it in the environment variable',
    }),
    output: option({
      type: oneOf(['table', 'json'] as const),
      long: 'output',
      short: 'o',
      defaultValue: () => 'table' as const,
      description: 'table or json',
    }),
    by: option({
      type: string,
      long: 'by',
      env: 'QUETZALREEL_OPERATOR',
      defaultValue: () => userInfo().username,
      description: 'operator name for the history',
    }),
    timeoutMs: option({
      type: number,
      long: 'timeout-ms',
      defaultValue: () => 30_000,
      description: 'timeout of --wait in milliseconds',
    }),
    wait: flag({
      type: boolean,
      long: 'wait',
      description: 'wait until the change is in force on all live instances',
    }),
    dryRun: flag({
      type: boolean,
      long: 'dry-run',
      description: 'show what would change, without changing it',
    }),
    words: restPositionals({type: string, displayName: 'command'}),
  },
  handler: async args => {
    const text = args.words.join(' ');
    if (text === 'secret') return printSecret();
    await runCommand(
      {
        platform: httpPlatformClient({
          url: args.platformUrl,
          timeoutMs: CALL_TIMEOUT_MS,
        }),
        instances: createInstanceClient({
          addresses: args.admin.split(','),
          token: args.token,
          timeoutMs: CALL_TIMEOUT_MS,
        }),
        clock: systemClock(),
        changeId: randomUUID(),
        by: args.by,
        at: new Date().toISOString(),
        output: args.output,
        wait: args.wait,
        dryRun: args.dryRun,
        timeoutMs: args.timeoutMs,
        print: out => process.stdout.write(out),
        progress: line => process.stderr.write(`${line}\n`),
      },
      parseCommand(text),
    );
  },
});

async function printSecret(): Promise<void> {
  let password = '';
  for await (const chunk of process.stdin) password += String(chunk);
  password = password.replace(/\r?\n$/, '');
  if (password === '') throw new CommandError('no password on standard input');
  process.stdout.write(`${await hashSecret(password)}\n`);
}

function exitCodeOf(err: unknown): ExitCode {
  if (err instanceof CtlError) return err.exitCode;
  if (err instanceof ConfigurationError) return ExitCode.Refused;
  return ExitCode.Internal;
}

/** Runs the command of its own that the first word names, or `app`. */
function runNamed(words: readonly string[]): Promise<unknown> {
  const [name, ...rest] = words;
  switch (name) {
    case 'explain':
      return run(explainCommand, rest);
    case 'instance':
      return run(instanceCommand, rest);
    default:
      return run(app, [...words]);
  }
}

runNamed(process.argv.slice(2)).catch(err => {
  process.stderr.write(`qrctl: ${messageOf(err)}\n`);
  process.exitCode = exitCodeOf(err);
});
