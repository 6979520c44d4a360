/** Checks what arrives from another instance before anything acts on it. */
import {Ajv} from 'ajv';
import type {PeerMessage} from './messages.js';

const TEXT = {type: 'string', maxLength: 256};
const COUNT = {type: 'number', minimum: 0};

const MEMBER = {
  type: 'object',
  required: ['id', 'address', 'admin', 'dataCentre', 'incarnation', 'status'],
  properties: {
    id: TEXT,
    address: TEXT,
    admin: TEXT,
    dataCentre: TEXT,
    incarnation: COUNT,
    status: {enum: ['alive', 'suspect', 'dead', 'left']},
  },
};

const REPORT = {
  type: 'object',
  required: ['instance', 'seq', 'suspected'],
  properties: {
    instance: TEXT,
    seq: COUNT,
    suspected: {
      type: 'array',
      maxItems: 100,
      items: {
        type: 'object',
        required: ['group', 'endpoint', 'term'],
        properties: {group: TEXT, endpoint: TEXT, term: COUNT},
      },
    },
  },
};

const CHANGE = {
  type: 'object',
  oneOf: [
    {
      required: ['kind', 'member'],
      properties: {kind: {const: 'member'}, member: MEMBER},
    },
    {
      required: ['kind', 'report'],
      properties: {kind: {const: 'report'}, report: REPORT},
    },
  ],
};

/** Further fields of each purpose. */
const FIELDS: Readonly<Record<PeerMessage['type'], Record<string, object>>> = {
  ping: {seq: COUNT},
  ack: {seq: COUNT},
  relay: {seq: COUNT, target: TEXT},
  roster: {members: {type: 'array', maxItems: 64, items: MEMBER}},
  news: {},
  wantDocument: {},
  document: {body: {type: 'object'}},
  wantLoan: {endpoint: TEXT, count: COUNT},
  loan: {endpoint: TEXT, count: COUNT},
};

const MESSAGE = {
  type: 'object',
  required: ['type', 'from', 'config', 'changes'],
  properties: {
    type: {enum: Object.keys(FIELDS)},
    from: MEMBER,
    config: {
      type: 'object',
      required: ['generation', 'digest'],
      properties: {generation: COUNT, digest: TEXT},
    },
    changes: {type: 'array', maxItems: 16, items: CHANGE},
  },
  allOf: Object.entries(FIELDS).map(([type, properties]) => ({
    if: {properties: {type: {const: type}}},
    then: {required: Object.keys(properties), properties},
  })),
};

const validate = new Ajv({strict: false}).compile(MESSAGE);

/** Whether a decoded value is a message of this version. */
export function isPeerMessage(value: unknown): value is PeerMessage {
  return validate(value);
}
