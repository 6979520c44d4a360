/** Serves SET, SHOW and RESET of the proxy's own settings. */
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

/** Settings that a session keeps between requests. */
export interface SessionSettings {
  /** Kind of statements that name none. */
  kind: string | undefined;
}

/** What a command gives back: its tag, and a value for SHOW. */
interface Outcome {
  readonly tag: string;
  readonly column?: string;
  readonly value?: string;
}

/** A command that can't be carried out. */
interface Refusal {
  readonly code: string;
  readonly message: string;
}

/** Carries out the command of `request` and answers it. */
export function serveCommand(
  context: RequestContext,
  request: CallerRequest,
  settings: SessionSettings,
  status: () => TransactionStatus,
): void {
  const command = request.statement.command!;
  const runs = request.steps.some(
    step => step === 'query' || step === 'execute',
  );
  const outcome = runs
    ? carryOut(context, command, settings)
    : preview(command);
  if ('code' in outcome) {
    context.reply.fail(outcome.code, outcome.message);
    return;
  }
  const parts = request.steps.map(step => answerTo(step, outcome));
  context.reply.answer(Buffer.concat([...parts, readyForQuery(status())]));
}

function preview(command: SessionCommand): Outcome {
  const column = `quetzalreel.${command.name}`;
  return command.verb === 'show' ? {tag: 'SHOW', column} : {tag: 'SET'};
}

function carryOut(
  context: RequestContext,
  command: SessionCommand,
  settings: SessionSettings,
): Outcome | Refusal {
  switch (command.name) {
    case 'kind':
      return changeKind(context, command, settings);
    case 'session':
      return useToken(context, command);
    default: {
      const name = JSON.stringify(command.name);
      const message = `no setting quetzalreel.${name}; use kind or session`;
      return {code: SqlState.InvalidParameter, message};
    }
  }
}

function changeKind(
  context: RequestContext,
  command: SessionCommand,
  settings: SessionSettings,
): Outcome | Refusal {
  const {verb, value} = command;
  if (verb === 'show') return {...preview(command), value: settings.kind ?? ''};
  const kinds = context.configuration().kinds;
  if (verb === 'set' && !kinds.some(kind => kind.name === value)) {
    const known = kinds.map(kind => kind.name).join(', ') || 'none';
    const message = `no kind ${value} is configured; known are ${known}`;
    return {code: SqlState.NotRoutable, message};
  }
  settings.kind = verb === 'set' ? value : undefined;
  return {tag: verb.toUpperCase()};
}

function useToken(
  context: RequestContext,
  command: SessionCommand,
): Outcome | Refusal {
  const {tokens, floor} = context;
  if (!tokens) {
    const message =
      'this instance has no key for session tokens; start all instances ' +
      'with the same QUETZALREEL_SESSION_KEY';
    return {code: SqlState.NotSupported, message};
  }
  if (command.verb === 'show') {
    return {...preview(command), value: tokens.write(floor.all)};
  }
  if (command.verb === 'reset') {
    const message = 'a floor never falls; open a new connection instead';
    return {code: SqlState.InvalidParameter, message};
  }
  try {
    floor.accept(tokens.read(command.value ?? ''));
  } catch (err) {
    return {code: SqlState.BadToken, message: messageOf(err)};
  }
  return {tag: 'SET'};
}

function answerTo(step: RequestStep, outcome: Outcome): Buffer {
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
      const head = column === undefined ? [] : [columns];
      return Buffer.concat([...head, ...rows, commandComplete(tag)]);
    }
  }
}
