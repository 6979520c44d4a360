/** The JSON schema of the configuration, and its check. */
import {TypedError} from '@quetzalreel/common';
import {Ajv, type ErrorObject} from 'ajv';
import type {Configuration} from './configuration.js';

const NAME = {type: 'string', pattern: '^[a-z0-9][a-z0-9_.-]{0,62}$'};

const ENDPOINT = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'host', 'port', 'dataCentre'],
  properties: {
    name: NAME,
    host: {type: 'string', minLength: 2},
    port: {type: 'integer', minimum: 1, maximum: 65535},
    dataCentre: NAME,
    slots: {type: 'integer', minimum: 1, maximum: 10000, default: 3},
    connections: {type: 'integer', minimum: 2, maximum: 100000, default: 20},
    leaving: {type: 'boolean', default: false},
  },
};

const GROUP = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'endpoints'],
  properties: {
    name: NAME,
    endpoints: {type: 'array', items: ENDPOINT, minItems: 1, maxItems: 9},
  },
};

const KIND = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'access'],
  properties: {
    name: NAME,
    access: {enum: ['read', 'write']},
    maxAgeMs: {type: 'integer', minimum: 0, maximum: 86400000, default: 10000},
    idempotent: {type: 'boolean', default: false},
    ack: {enum: ['majority', 'primary'], default: 'majority'},
    deadlineMs: {type: 'integer', minimum: 1, maximum: 600000, default: 5000},
  },
};

const CALLER = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'secret'],
  properties: {
    name: NAME,
    secret: {
      type: 'string',
      pattern: '^scrypt\\$[\\w-]+\\$[\\w-]+$',
    },
  },
};

const CONFIGURATION = {
  type: 'object',
  additionalProperties: false,
  required: ['generation', 'groups'],
  properties: {
    generation: {type: 'integer', minimum: 1},
    changeId: {type: 'string', default: ''},
    groups: {type: 'array', items: GROUP},
    kinds: {type: 'array', items: KIND, default: []},
    callers: {type: 'array', items: CALLER, default: []},
  },
};

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
    const list = problems.map(p => `${p.path || '/'}: ${p.remedy}`).join('; ');
    super('ConfigurationError', 'the configuration is refused', list);
    this.problems = problems;
  }
}

const validate = new Ajv({
  allErrors: true,
  useDefaults: true,
  verbose: true,
}).compile(CONFIGURATION);

/**
 * Checks a document and fills in defaults.
 *
 * Throws ConfigurationError with all problems at once.
 */
export function parseConfiguration(document: unknown): Configuration {
  const copy = structuredClone(document);
  if (!validate(copy)) {
    throw new ConfigurationError((validate.errors ?? []).map(problemOf));
  }
  const cfg = copy as unknown as Configuration;
  const repeated = repeatedNames(cfg);
  if (repeated.length > 0) throw new ConfigurationError(repeated);
  return cfg;
}

function problemOf(err: ErrorObject): ConfigurationProblem {
  return {
    path: err.instancePath,
    value: err.keyword === 'required' ? undefined : err.data,
    remedy: `${err.message ?? 'is not valid'} (${JSON.stringify(err.params)})`,
  };
}

function repeatedNames(cfg: Configuration): ConfigurationProblem[] {
  const endpoints = cfg.groups.flatMap(group => group.endpoints);
  return [
    ...repeatsIn('/groups', cfg.groups),
    ...repeatsIn('/groups/endpoints', endpoints),
    ...repeatsIn('/kinds', cfg.kinds),
    ...repeatsIn('/callers', cfg.callers),
  ];
}

function repeatsIn(
  path: string,
  items: ReadonlyArray<{readonly name: string}>,
): ConfigurationProblem[] {
  const seen = new Set<string>();
  const problems: ConfigurationProblem[] = [];
  for (const {name} of items) {
    if (seen.has(name)) {
      problems.push({path, value: name, remedy: `rename the second ${name}`});
    }
    seen.add(name);
  }
  return problems;
}
