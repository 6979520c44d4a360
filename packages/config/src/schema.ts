/** The JSON schema of the configuration, and its check. */
import {Ajv} from 'ajv';
import type {Configuration} from './configuration.js';
import {findCrossFieldProblems} from './cross-checks.js';
import {ConfigurationError, problemOf} from './problems.js';

const NAME = {
  type: 'string',
  pattern: '^[a-z0-9][a-z0-9_.-]{0,62}$',
  description:
    'write 1 to 63 of a to z, 0 to 9, "_", "." and "-", a letter or digit first',
};

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
      description: 'write scrypt$<salt>$<hash> as `qrctl secret` prints it',
    },
  },
};

const CHANGE = {
  type: 'object',
  additionalProperties: false,
  required: ['changeId', 'generation', 'by', 'at', 'order'],
  properties: {
    changeId: {type: 'string'},
    generation: {type: 'integer', minimum: 1},
    by: {type: 'string'},
    at: {type: 'string'},
    order: {type: 'string'},
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
    changes: {type: 'array', items: CHANGE, maxItems: 100, default: []},
  },
};

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
  const problems = findCrossFieldProblems(cfg);
  if (problems.length > 0) throw new ConfigurationError(problems);
  return cfg;
}
