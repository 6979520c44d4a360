/** Builds and parses the protocol messages that a client sends. */
import {type Frame, FrameError} from './frames.js';
import {message} from './backend.js';

/** A Parse message; the name is empty for the unnamed statement. */
export interface ParseMessage {
  readonly name: string;
  readonly sql: string;
}

/** A Bind message with its values as text; null stands for SQL's NULL. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  readonly values: ReadonlyArray<string | null>;
}

/** A Describe or Close message for a statement (S) or a portal (P). */
export interface TargetMessage {
  readonly target: 'S' | 'P';
  readonly name: string;
}

/** Returns the SQL of a Query message. Throws FrameError if it is malformed. */
export function readQuery(frame: Frame): string {
  const {text, end} = readString(frame, 5);
  if (end !== frame.bytes.length) throw malformed(frame);
  return text;
}

/** Parses a Parse message. Throws FrameError if it is malformed. */
export function readParse(frame: Frame): ParseMessage {
  const name = readString(frame, 5);
  const sql = readString(frame, name.end);
  const at = sql.end;
  if (at + 2 > frame.bytes.length) throw truncated(frame);
  const types = frame.bytes.readUInt16BE(at);
  if (at + 2 + types * 4 !== frame.bytes.length) throw malformed(frame);
  return {name: name.text, sql: sql.text};
}

/**
 * Returns the names in a Bind message. Its values are checked for their length
 * but not decoded. Throws FrameError if the message is malformed.
 */
export function readBindNames(
  frame: Frame,
): Pick<BindMessage, 'portal' | 'statement'> {
  const portal = readString(frame, 5);
  const statement = readString(frame, portal.end);
  const {bytes} = frame;
  try {
    let at = statement.end;
    at += 2 + bytes.readUInt16BE(at) * 2;
    const count = bytes.readUInt16BE(at);
    at += 2;
    for (let i = 0; i < count; i++) {
      at += 4 + Math.max(bytes.readInt32BE(at), 0);
    }
    at += 2 + bytes.readUInt16BE(at) * 2;
    if (at !== bytes.length) throw malformed(frame);
  } catch (err) {
    throw err instanceof FrameError ? err : truncated(frame);
  }
  return {portal: portal.text, statement: statement.text};
}

/** Checks the format of an Execute message. Throws FrameError if it is malformed. */
export function checkExecute(frame: Frame): void {
  const portal = readString(frame, 5);
  if (portal.end + 4 !== frame.bytes.length) throw malformed(frame);
}

/** Parses a Bind message. Throws FrameError if it is truncated. */
export function readBind(frame: Frame): BindMessage {
  const portal = readString(frame, 5);
  const statement = readString(frame, portal.end);
  const names = {portal: portal.text, statement: statement.text};
  try {
    return {...names, values: readValues(frame.bytes, statement.end)};
  } catch {
    throw truncated(frame);
  }
}

function readValues(bytes: Buffer, start: number): Array<string | null> {
  const formats = bytes.readInt16BE(start);
  let at = start + 2 + formats * 2;
  const count = bytes.readInt16BE(at);
  at += 2;
  const values: Array<string | null> = [];
  for (let i = 0; i < count; i++) {
    const size = bytes.readInt32BE(at);
    at += 4;
    values.push(size < 0 ? null : bytes.toString('utf8', at, at + size));
    at += Math.max(size, 0);
  }
  if (at > bytes.length) throw new RangeError('values end past the message');
  return values;
}

/** Parses a Describe or Close message. Throws FrameError if it is malformed. */
export function readTarget(frame: Frame): TargetMessage {
  const target = String.fromCharCode(frame.bytes[5] ?? 0);
  if (target !== 'S' && target !== 'P') throw malformed(frame);
  const name = readString(frame, 6);
  if (name.end !== frame.bytes.length) throw malformed(frame);
  return {target, name: name.text};
}

/** Builds a Query message. */
export function query(sql: string): Buffer {
  return message('Q', Buffer.from(`${sql}\0`));
}

/** Builds a Parse message without declared parameter types. */
export function parse(name: string, sql: string): Buffer {
  return message('P', Buffer.from(`${name}\0${sql}\0\0\0`));
}

/** Builds a Close message for a prepared statement. */
export function closeStatement(name: string): Buffer {
  return message('C', Buffer.from(`S${name}\0`));
}

/** A Terminate message. */
export const TERMINATE = message('X', Buffer.alloc(0));

function readString(frame: Frame, start: number): {text: string; end: number} {
  const end = frame.bytes.indexOf(0, start);
  if (end < 0) throw truncated(frame);
  return {text: frame.bytes.toString('utf8', start, end), end: end + 1};
}

function malformed(frame: Frame): FrameError {
  return new FrameError(
    `a message of type ${JSON.stringify(frame.type)} is malformed`,
    'Use a driver that speaks protocol 3.',
  );
}

function truncated(frame: Frame): FrameError {
  return new FrameError(
    `a message of type ${JSON.stringify(frame.type)} is truncated`,
    'Use a driver that speaks protocol 3.',
  );
}
