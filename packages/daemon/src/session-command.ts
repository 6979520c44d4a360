/** Executes SET, SHOW and RESET of the proxy's own settings. */
import {messageOf} from '@quetzalreel/common';
import type {SessionCommand} from '@quetzalreel/statement';
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  NO_DATA,
  PARSE_COMPLETE,
  SqlState,
  type TransactionStatus,
  commandComplete,
  dataRow,
  parameterDescription,
  readyForQuery,
  rowDescription,
} from '@quetzalreel/wire';
import type {CallerRequest, RequestStep} from './request-reader.js';
import type {RequestContext} from './session-context.js';

/** Proxy settings of a session. */
export interface SessionSettings {
  /** Kind that applies to statements without a kind of their own. */
  kind: string | undefined;
}

/** Result of a command: its command tag and, for SHOW, a column and a value. */
interface CommandResult {
  readonly tag: string;
  readonly column?: string;
  readonly value?: string;
}

/** Error for a command that can't be executed. */
interface Refusal {
  readonly code: string;
  readonly message: string;
}

/** Executes the command of `request` and sends the answer. */
export function serveCommand(
  context: RequestContext,
  request: CallerRequest,
  settings: SessionSettings,
  status: () => TransactionStatus,
): void {
  const command = request.statement.command!;
  const executes = request.steps.some(
    step => step === 'query' || step === 'execute',
  );
  const outcome = executes
    ? runCommand(context, command, settings)
    : describeCommand(command);
  if ('code' in outcome) {
    context.reply.fail(outcome.code, outcome.message);
    return;
  }
  const parts = request.steps.map(step => responseTo(step, outcome));
  context.reply.answer(Buffer.concat([...parts, readyForQuery(status())]));
}

function describeCommand(command: SessionCommand): CommandResult {
  const column = `quetzalreel.${command.name}`;
  return command.verb === 'show' ? {tag: 'SHOW', column} : {tag: 'SET'};
}

function runCommand(
  context: RequestContext,
  command: SessionCommand,
  settings: SessionSettings,
): CommandResult | Refusal {
  switch (command.name) {
    case 'kind':
      return runKindCommand(context, command, settings);
    case 'session':
      return runTokenCommand(context, command);
    default: {
      const name = JSON.stringify(command.name);
      const message = `no setting quetzalreel.${name}; use kind or session`;
      return {code: SqlState.InvalidParameter, message};
    }
  }
}

function runKindCommand(
  context: RequestContext,
  command: SessionCommand,
  settings: SessionSettings,
): CommandResult | Refusal {
  const {verb, value} = command;
  if (verb === 'show')
    return {...describeCommand(command), value: settings.kind ?? ''};
  const kinds = context.configuration().kinds;
  if (verb === 'set' && !kinds.some(kind => kind.name === value)) {
    const known = kinds.map(kind => kind.name).join(', ') || 'none';
    const message = `no kind ${value} is configured; known are ${known}`;
    return {code: SqlState.NotRoutable, message};
  }
  settings.kind = verb === 'set' ? value : undefined;
  return {tag: verb.toUpperCase()};
}

function runTokenCommand(
  context: RequestContext,
  command: SessionCommand,
): CommandResult | Refusal {
  const {tokens, floor} = context;
  if (!tokens) {
    const message =
      'this instance has no key for session tokens; start all instances ' +
      'with the same QUETZALREEL_SESSION_KEY';
    return {code: SqlState.NotSupported, message};
  }
  if (command.verb === 'show') {
    return {
      ...describeCommand(command),
      value: tokens.write(floor.floorsByGroup),
    };
  }
  if (command.verb === 'reset') {
    const message = 'a floor never falls; open a new connection instead';
    return {code: SqlState.InvalidParameter, message};
  }
  try {
    floor.acceptToken(tokens.read(command.value ?? ''));
  } catch (err) {
    return {code: SqlState.BadToken, message: messageOf(err)};
  }
  return {tag: 'SET'};
}

function responseTo(step: RequestStep, outcome: CommandResult): Buffer {
  const {column, value, tag} = outcome;
  const columns = column === undefined ? NO_DATA : rowDescription([column]);
  const rows = value === undefined ? [] : [dataRow([value])];
  switch (step) {
    case 'parse':
      return PARSE_COMPLETE;
    case 'bind':
      return BIND_COMPLETE;
    case 'close':
      return CLOSE_COMPLETE;
    case 'describe':
      return Buffer.concat([parameterDescription(0), columns]);
    case 'columns':
      return columns;
    case 'execute':
      return Buffer.concat([...rows, commandComplete(tag)]);
    case 'query': {
      const header = column === undefined ? [] : [columns];
      return Buffer.concat([...header, ...rows, commandComplete(tag)]);
    }
  }
}
