/** Validates messages from peers before they are processed. */
import {Ajv} from 'ajv';
import type {PeerMessage} from './messages.js';

const STRING_SCHEMA = {type: 'string', maxLength: 256};
const COUNT_SCHEMA = {type: 'number', minimum: 0};

const MEMBER_SCHEMA = {
  type: 'object',
  required: ['id', 'address', 'admin', 'dataCentre', 'incarnation', 'status'],
  properties: {
    id: STRING_SCHEMA,
    address: STRING_SCHEMA,
    admin: STRING_SCHEMA,
    dataCentre: STRING_SCHEMA,
    incarnation: COUNT_SCHEMA,
    status: {enum: ['alive', 'suspect', 'dead', 'left']},
  },
};

const REPORT_SCHEMA = {
  type: 'object',
  required: ['instance', 'seq', 'suspected'],
  properties: {
    instance: STRING_SCHEMA,
    seq: COUNT_SCHEMA,
    suspected: {
      type: 'array',
      maxItems: 100,
      items: {
        type: 'object',
        required: ['group', 'endpoint', 'term'],
        properties: {
          group: STRING_SCHEMA,
          endpoint: STRING_SCHEMA,
          term: COUNT_SCHEMA,
        },
      },
    },
  },
};

const CHANGE_SCHEMA = {
  type: 'object',
  oneOf: [
    {
      required: ['kind', 'member'],
      properties: {kind: {const: 'member'}, member: MEMBER_SCHEMA},
    },
    {
      required: ['kind', 'report'],
      properties: {kind: {const: 'report'}, report: REPORT_SCHEMA},
    },
  ],
};

/** Payload fields of each message type. */
const PAYLOAD_FIELDS: Readonly<
  Record<PeerMessage['type'], Record<string, object>>
> = {
  ping: {seq: COUNT_SCHEMA},
  ack: {seq: COUNT_SCHEMA},
  relay: {seq: COUNT_SCHEMA, target: STRING_SCHEMA},
  roster: {members: {type: 'array', maxItems: 64, items: MEMBER_SCHEMA}},
  news: {},
  wantDocument: {},
  document: {body: {type: 'object'}},
  wantLoan: {endpoint: STRING_SCHEMA, count: COUNT_SCHEMA},
  loan: {endpoint: STRING_SCHEMA, count: COUNT_SCHEMA},
};

const MESSAGE_SCHEMA = {
  type: 'object',
  required: ['type', 'from', 'config', 'changes'],
  properties: {
    type: {enum: Object.keys(PAYLOAD_FIELDS)},
    from: MEMBER_SCHEMA,
    config: {
      type: 'object',
      required: ['generation', 'digest'],
      properties: {generation: COUNT_SCHEMA, digest: STRING_SCHEMA},
    },
    changes: {type: 'array', maxItems: 16, items: CHANGE_SCHEMA},
  },
  allOf: Object.entries(PAYLOAD_FIELDS).map(([type, properties]) => ({
    if: {properties: {type: {const: type}}},
    then: {required: Object.keys(properties), properties},
  })),
};

const validate = new Ajv({strict: false}).compile(MESSAGE_SCHEMA);

/** Whether a decoded value is a valid message of this protocol version. */
export function isPeerMessage(value: unknown): value is PeerMessage {
  return validate(value);
}
