/** Builds and parses the protocol messages that a server sends. */
import {FRAME_HEADER_BYTES, type Frame, FrameError} from './frames.js';

/** Transaction status of a session, as ReadyForQuery reports it. */
export const TransactionStatus = {
  /** Not in a transaction. */
  Idle: 'I',
  /** In a transaction. */
  Open: 'T',
  /** In a failed transaction, which has to be ended. */
  Failed: 'E',
} as const;

/** One of the values of `TransactionStatus`. */
export type TransactionStatus =
  (typeof TransactionStatus)[keyof typeof TransactionStatus];

/** Fields of an ErrorResponse. */
export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  /** SQLSTATE, five characters. */
  readonly code: string;
  readonly message: string;
  /** What the user can do about the error. */
  readonly hint?: string;
}

/** OID of PostgreSQL's type `text`. */
const TEXT_TYPE_OID = 25;

/** Builds a message of `type` with `body`. */
export function message(type: string, body: Buffer): Buffer {
  const bytes = Buffer.allocUnsafe(body.length + 5);
  bytes.write(type, 0, 'latin1');
  bytes.writeUInt32BE(body.length + 4, 1);
  body.copy(bytes, 5);
  return bytes;
}

function cstring(text: string): Buffer {
  return Buffer.from(`${text}\0`);
}

function int16(value: number): Buffer {
  const bytes = Buffer.allocUnsafe(2);
  bytes.writeInt16BE(value);
  return bytes;
}

function int32(value: number): Buffer {
  const bytes = Buffer.allocUnsafe(4);
  bytes.writeInt32BE(value);
  return bytes;
}

/** Builds an ErrorResponse. */
export function errorResponse(fields: ErrorFields): Buffer {
  const parts = [
    cstring(`S${fields.severity}`),
    cstring(`V${fields.severity}`),
    cstring(`C${fields.code}`),
    cstring(`M${fields.message}`),
  ];
  if (fields.hint) parts.push(cstring(`H${fields.hint}`));
  parts.push(Buffer.from([0]));
  return message('E', Buffer.concat(parts));
}

/** Parses an ErrorResponse; missing fields become empty strings. */
export function readError(frame: Frame): ErrorFields {
  const found: Record<string, string> = {};
  for (const part of frame.bytes.subarray(5).toString().split('\0')) {
    if (part) found[part[0]!] = part.slice(1);
  }
  return {
    severity: found['S'] === 'FATAL' ? 'FATAL' : 'ERROR',
    code: found['C'] ?? '',
    message: found['M'] ?? '',
    ...(found['H'] ? {hint: found['H']} : {}),
  };
}

/** Builds a ReadyForQuery. */
export function readyForQuery(status: TransactionStatus): Buffer {
  return message('Z', Buffer.from(status));
}

const STATUSES: ReadonlySet<string> = new Set(Object.values(TransactionStatus));

function isStatus(text: string): text is TransactionStatus {
  return STATUSES.has(text);
}

/**
 * Reads the transaction status from a ReadyForQuery. Throws FrameError if it is
 * none.
 */
export function readStatus(frame: Frame): TransactionStatus {
  const status = frame.bytes.toString('latin1', FRAME_HEADER_BYTES);
  if (isStatus(status)) return status;
  throw new FrameError(
    'a ReadyForQuery has no known transaction status',
    'Check that the endpoint speaks protocol 3.',
  );
}

/** Builds a ParameterStatus. */
export function parameterStatus(name: string, value: string): Buffer {
  return message('S', Buffer.concat([cstring(name), cstring(value)]));
}

/** Parses a ParameterStatus. */
export function readParameter(frame: Frame): {name: string; value: string} {
  const [name, value] = frame.bytes.subarray(5).toString().split('\0');
  return {name: name ?? '', value: value ?? ''};
}

/** Builds a RowDescription of text columns. */
export function rowDescription(names: readonly string[]): Buffer {
  const parts = [int16(names.length)];
  for (const name of names) {
    parts.push(cstring(name), int32(0), int16(0), int32(TEXT_TYPE_OID));
    parts.push(int16(-1), int32(-1), int16(0));
  }
  return message('T', Buffer.concat(parts));
}

/** Builds a DataRow of text values; null stands for SQL's NULL. */
export function dataRow(values: ReadonlyArray<string | null>): Buffer {
  const parts = [int16(values.length)];
  for (const value of values) {
    if (value === null) {
      parts.push(int32(-1));
      continue;
    }
    const bytes = Buffer.from(value);
    parts.push(int32(bytes.length), bytes);
  }
  return message('D', Buffer.concat(parts));
}

/** Builds a CommandComplete with its tag, for instance `INSERT 0 1`. */
export function commandComplete(tag: string): Buffer {
  return message('C', cstring(tag));
}

/** Builds a ParameterDescription of `count` text parameters. */
export function parameterDescription(count: number): Buffer {
  const parts = [int16(count)];
  for (let i = 0; i < count; i++) parts.push(int32(TEXT_TYPE_OID));
  return message('t', Buffer.concat(parts));
}

/** Builds a BackendKeyData, the key that a client sends to cancel a request. */
export function backendKeyData(processId: number, secret: number): Buffer {
  return message('K', Buffer.concat([int32(processId), int32(secret)]));
}

/** ParseComplete. */
export const PARSE_COMPLETE = message('1', Buffer.alloc(0));
/** BindComplete. */
export const BIND_COMPLETE = message('2', Buffer.alloc(0));
/** CloseComplete. */
export const CLOSE_COMPLETE = message('3', Buffer.alloc(0));
/** NoData. */
export const NO_DATA = message('n', Buffer.alloc(0));
/** EmptyQueryResponse. */
export const EMPTY_QUERY = message('I', Buffer.alloc(0));
