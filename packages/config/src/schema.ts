/** The JSON schema of the configuration, and its validation. */
import {Ajv} from 'ajv';
import type {Configuration} from './configuration.js';
import {findCrossFieldProblems} from './cross-checks.js';
import {ConfigurationError, problemFromAjv} from './problems.js';

const NAME_SCHEMA = {
  type: 'string',
  pattern: '^[a-z0-9][a-z0-9_.-]{0,62}$',
  description:
    'write 1 to 63 of the characters a to z, 0 to 9, "_", "." and "-", starting with a letter or digit',
};

const ENDPOINT_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'host', 'port', 'dataCentre'],
  properties: {
    name: NAME_SCHEMA,
    host: {type: 'string', minLength: 2},
    port: {type: 'integer', minimum: 1, maximum: 65535},
    dataCentre: NAME_SCHEMA,
    slots: {type: 'integer', minimum: 1, maximum: 10000, default: 3},
    connections: {type: 'integer', minimum: 2, maximum: 100000, default: 20},
    leaving: {type: 'boolean', default: false},
  },
};

const GROUP_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'endpoints'],
  properties: {
    name: NAME_SCHEMA,
    endpoints: {
      type: 'array',
      items: ENDPOINT_SCHEMA,
      minItems: 1,
      maxItems: 9,
    },
  },
};

const KIND_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'access'],
  properties: {
    name: NAME_SCHEMA,
    access: {enum: ['read', 'write']},
    maxAgeMs: {type: 'integer', minimum: 0, maximum: 86400000, default: 10000},
    idempotent: {type: 'boolean', default: false},
    ack: {enum: ['majority', 'primary'], default: 'majority'},
    deadlineMs: {type: 'integer', minimum: 1, maximum: 600000, default: 5000},
  },
};

const CALLER_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'secret'],
  properties: {
    name: NAME_SCHEMA,
    secret: {
      type: 'string',
      pattern: '^scrypt\\$[\\w-]+\\$[\\w-]+$',
      description: 'write scrypt$<salt>$<hash> as `qrctl secret` prints it',
    },
  },
};

const CHANGE_SCHEMA = {
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

const CONFIGURATION_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['generation', 'groups'],
  properties: {
    generation: {type: 'integer', minimum: 1},
    changeId: {type: 'string', default: ''},
    groups: {type: 'array', items: GROUP_SCHEMA},
    kinds: {type: 'array', items: KIND_SCHEMA, default: []},
    callers: {type: 'array', items: CALLER_SCHEMA, default: []},
    changes: {type: 'array', items: CHANGE_SCHEMA, maxItems: 100, default: []},
  },
};

const validate = new Ajv({
  allErrors: true,
  useDefaults: true,
  verbose: true,
}).compile(CONFIGURATION_SCHEMA);

/**
 * Validates a document and returns a copy with defaults filled in.
 *
 * Throws a ConfigurationError that lists all problems found.
 */
export function parseConfiguration(document: unknown): Configuration {
  const copy = structuredClone(document);
  if (!validate(copy)) {
    throw new ConfigurationError((validate.errors ?? []).map(problemFromAjv));
  }
  const cfg = copy as unknown as Configuration;
  const problems = findCrossFieldProblems(cfg);
  if (problems.length > 0) throw new ConfigurationError(problems);
  return cfg;
}
