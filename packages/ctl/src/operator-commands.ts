/** The commands that ask one instance and change nothing. */
import type {Explanation, InstanceDescription} from '@quetzalreel/proxy';
import {command, flag, oneOf, option, optional, string} from 'cmd-ts';
import {CommandError} from './errors.js';
import {formatExplanation, formatInstance} from './explain-text.js';
import {callInstance} from './instance-call.js';
import {readKeyDigest} from './key-digest.js';

const CALL_TIMEOUT_MS = 3000;

const STATEMENTS = ['read', 'write', 'begin', 'beginRead'] as const;

const admin = option({
  type: string,
  long: 'admin',
  env: 'QUETZALREEL_ADMIN',
  description: "operators' port of one instance, host:port",
});

const json = flag({long: 'json', description: 'print JSON'});

function print(text: string): void {
  process.stdout.write(text);
}

function printJson(value: unknown): void {
  print(`${JSON.stringify(value, undefined, 2)}\n`);
}

/** What `qrctl explain` sends to the instance. */
interface ExplainBody {
  readonly database: string | undefined;
  readonly route: string | undefined;
  readonly account: string | undefined;
  readonly keyDigest: string | undefined;
  readonly statement: string;
  readonly position: string | undefined;
}

/** `qrctl explain`. */
export const explainCommand = command({
  name: 'qrctl explain',
  description:
    'Tells where a request would go now, and why. Nothing is sent to endpoints.',
  args: {
    admin,
    database: option({
      type: optional(string),
      long: 'database',
      description: 'database that the caller names',
    }),
    route: option({
      type: optional(string),
      long: 'route',
      description: 'route, in place of the database',
    }),
    account: option({
      type: optional(string),
      long: 'account',
      description: 'client account of the caller',
    }),
    keyFile: option({
      type: optional(string),
      long: 'key-file',
      description:
        "file with the caller's key, - for standard input; only its SHA-256 digest is sent",
    }),
    statement: option({
      type: oneOf(STATEMENTS),
      long: 'statement',
      defaultValue: () => 'read' as const,
      description: STATEMENTS.join(', '),
    }),
    position: option({
      type: optional(string),
      long: 'position',
      description: "position of the session's newest commit, TERM.NUMBER",
    }),
    json,
  },
  async handler(args) {
    const {database, route, account, statement, position} = args;
    if ((database === undefined) === (route === undefined))
      throw new CommandError('give either --database or --route');
    if (account !== undefined && args.keyFile !== undefined)
      throw new CommandError('give --account or --key-file, not both');
    const keyDigest =
      args.keyFile === undefined
        ? undefined
        : await readKeyDigest(args.keyFile);
    const body: ExplainBody = {
      database,
      route,
      account,
      keyDigest,
      statement,
      position,
    };
    const found = (await callInstance({
      address: args.admin,
      path: '/explain',
      method: 'POST',
      body,
      timeoutMs: CALL_TIMEOUT_MS,
    })) as Explanation;
    if (args.json) printJson(found);
    else print(formatExplanation(found));
  },
});

/** `qrctl instance`. */
export const instanceCommand = command({
  name: 'qrctl instance',
  description: 'Shows the groups and endpoints as one instance sees them.',
  args: {admin, json},
  async handler(args) {
    const found = (await callInstance({
      address: args.admin,
      path: '/instance',
      method: 'GET',
      timeoutMs: CALL_TIMEOUT_MS,
    })) as InstanceDescription;
    if (args.json) printJson(found);
    else print(formatInstance(found));
  },
});
