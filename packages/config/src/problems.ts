/** Says in plain words what is wrong with a configuration, and where. */
import {TypedError} from '@quetzalreel/common';
import type {ErrorObject} from 'ajv';

/** One thing that is wrong with a configuration. */
export interface ConfigurationProblem {
  /** Where, as a JSON pointer. */
  readonly path: string;
  /** What stands there; undefined when something is missing. */
  readonly value: unknown;
  /** What to do about it. */
  readonly remedy: string;
}

/** A configuration was refused; nothing of it was taken. */
export class ConfigurationError extends TypedError {
  /** Every problem found, in the order of the document. */
  readonly problems: readonly ConfigurationProblem[];

  constructor(problems: readonly ConfigurationProblem[]) {
    const list = problems.map(formatProblem).join('; ');
    super('ConfigurationError', 'the configuration is refused', list);
    this.problems = problems;
  }
}

/** Longest part of a value that is shown, in characters. */
const MAX_SHOWN = 60;

/** Names of fields whose values are never shown. */
const SECRET_FIELD = /secret|password|key$/i;

/** One line: path, value and remedy. */
export function formatProblem(problem: ConfigurationProblem): string {
  const {path, value, remedy} = problem;
  const shown = value === undefined ? 'missing' : showValue(path, value);
  return `${path || '/'} (${shown}): ${remedy}`;
}

function showValue(path: string, value: unknown): string {
  const field = path.split('/').at(-1) ?? '';
  if (SECRET_FIELD.test(field)) return 'not shown';
  const hide = (name: string, inner: unknown) =>
    SECRET_FIELD.test(name) ? 'not shown' : inner;
  const text = JSON.stringify(value, hide) ?? String(value);
  return text.length > MAX_SHOWN ? `${text.slice(0, MAX_SHOWN)}…` : text;
}

/** Puts an error of the schema's checker into words. */
export function problemOf(err: ErrorObject): ConfigurationProblem {
  const path = err.instancePath;
  const params = err.params as Record<string, unknown>;
  switch (err.keyword) {
    case 'required': {
      const field = String(params['missingProperty']);
      const remedy = `add the field ${field}`;
      return {path: `${path}/${field}`, value: undefined, remedy};
    }
    case 'additionalProperties': {
      const field = String(params['additionalProperty']);
      const value = (err.data as Record<string, unknown>)[field];
      const remedy = 'remove this field or correct its name; it is not known';
      return {path: `${path}/${escapePointerToken(field)}`, value, remedy};
    }
    default:
      return {path, value: err.data, remedy: remedyFor(err, params)};
  }
}

function remedyFor(err: ErrorObject, params: Record<string, unknown>): string {
  const limit = String(params['limit']);
  switch (err.keyword) {
    case 'type':
      return `write ${TYPE_WORDS[String(params['type'])] ?? 'another type'}`;
    case 'minimum':
      return `write a number of at least ${limit}`;
    case 'maximum':
      return `write a number of at most ${limit}`;
    case 'minItems':
      return `list at least ${limit}`;
    case 'maxItems':
      return `list at most ${limit}`;
    case 'minLength':
      return `write at least ${limit} characters`;
    case 'enum':
      return `write one of ${(params['allowedValues'] as string[]).join(', ')}`;
    case 'pattern':
      return patternWords(err);
    default:
      return `correct this value (${err.keyword})`;
  }
}

const TYPE_WORDS: Readonly<Record<string, string>> = {
  string: 'a text in quotes',
  integer: 'a whole number',
  boolean: 'true or false',
  array: 'a list in [ ]',
  object: 'an object in { }',
};

function patternWords(err: ErrorObject): string {
  const {description} = err.parentSchema as {description?: string};
  return description ?? 'correct the spelling';
}

/** A field's name as a part of a JSON pointer. */
export function escapePointerToken(name: string): string {
  return name.replace(/~/g, '~0').replace(/\//g, '~1');
}
