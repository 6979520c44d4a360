/** Readable descriptions of the problems in a configuration. */
import {TypedError} from '@quetzalreel/common';
import type {ErrorObject} from 'ajv';

/** One problem in a configuration. */
export interface ConfigurationProblem {
  /** JSON pointer to the field. */
  readonly path: string;
  /** Value of the field; undefined if the field is missing. */
  readonly value: unknown;
  /** How to correct the field. */
  readonly remedy: string;
}

/** The configuration is invalid; no part of it was applied. */
export class ConfigurationError extends TypedError {
  /** All problems found, in the order of the document. */
  readonly problems: readonly ConfigurationProblem[];

  constructor(problems: readonly ConfigurationProblem[]) {
    const list = problems.map(formatProblem).join('; ');
    super('ConfigurationError', 'the configuration is invalid', list);
    this.problems = problems;
  }
}

/** Number of characters after which a shown value is cut off. */
const MAX_VALUE_CHARS = 60;

/** Matches the names of fields whose values must not be shown. */
const SECRET_FIELD_PATTERN = /secret|password|key$/i;

/** Formats a problem as one line with path, value and remedy. */
export function formatProblem(problem: ConfigurationProblem): string {
  const {path, value, remedy} = problem;
  const formatted = value === undefined ? 'missing' : formatValue(path, value);
  return `${path || '/'} (${formatted}): ${remedy}`;
}

function formatValue(path: string, value: unknown): string {
  const field = path.split('/').at(-1) ?? '';
  if (SECRET_FIELD_PATTERN.test(field)) return 'not shown';
  const hide = (name: string, inner: unknown) =>
    SECRET_FIELD_PATTERN.test(name) ? 'not shown' : inner;
  const text = JSON.stringify(value, hide) ?? String(value);
  return text.length > MAX_VALUE_CHARS
    ? `${text.slice(0, MAX_VALUE_CHARS)}…`
    : text;
}

/** Converts an Ajv validation error to a problem with a remedy. */
export function problemFromAjv(err: ErrorObject): ConfigurationProblem {
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
      const remedy = 'remove this field or correct its name; it is unknown';
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
      return `write ${TYPE_DESCRIPTIONS[String(params['type'])] ?? 'another type'}`;
    case 'minimum':
      return `write a number of at least ${limit}`;
    case 'maximum':
      return `write a number of at most ${limit}`;
    case 'minItems':
      return `list at least ${limit} items`;
    case 'maxItems':
      return `list at most ${limit} items`;
    case 'minLength':
      return `write at least ${limit} characters`;
    case 'enum':
      return `write one of ${(params['allowedValues'] as string[]).join(', ')}`;
    case 'pattern':
      return patternRemedy(err);
    default:
      return `correct this value (${err.keyword})`;
  }
}

const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  string: 'a string in quotes',
  integer: 'a whole number',
  boolean: 'true or false',
  array: 'a list in [ ]',
  object: 'an object in { }',
};

function patternRemedy(err: ErrorObject): string {
  const {description} = err.parentSchema as {description?: string};
  return description ?? 'correct the format';
}

/** Escapes a field name as a reference token of a JSON pointer (RFC 6901). */
export function escapePointerToken(name: string): string {
  return name.replace(/~/g, '~0').replace(/\//g, '~1');
}
