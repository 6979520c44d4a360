/**
 * Session tokens: what a caller must see, signed, so that it can take it along
 * to another instance.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {TypedError} from '@quetzalreel/common';
import {type Position, formatPosition, parsePosition} from './position.js';

/** A token was not written by this fleet, or was changed since. */
export class TokenError extends TypedError {
  constructor(what: string) {
    super(
      'TokenError',
      `the session token ${what}; not run`,
      'Take a new one with SHOW quetzalreel.session, or go on without one.',
    );
  }
}

/** Position that a caller must see, by the name of the group. */
export type SessionFloors = ReadonlyMap<string, Position>;

/** Writes and reads tokens. */
export interface TokenCodec {
  write(floors: SessionFloors): string;
  /** Throws TokenError. */
  read(token: string): SessionFloors;
}

const VERSION = 'qr1';
const MAX_TOKEN_CHARACTERS = 8192;
const MAC_BYTES = 16;
const NAME = /^[a-z0-9][a-z0-9_.-]{0,62}$/;

/** A codec whose tokens all instances with the same `key` can read. */
export function tokenCodec(key: string): TokenCodec {
  const sign = (body: string) =>
    createHmac('sha256', key)
      .update(`${VERSION}.${body}`)
      .digest()
      .subarray(0, MAC_BYTES);
  return {
    write(floors) {
      const lines: string[] = [];
      for (const [name, position] of floors) {
        lines.push(`${name}=${formatPosition(position)}`);
      }
      const body = Buffer.from(lines.join('\n')).toString('base64url');
      return `${VERSION}.${body}.${sign(body).toString('base64url')}`;
    },
    read(token) {
      if (token.length > MAX_TOKEN_CHARACTERS)
        throw new TokenError('is too long');
      const [version, body, mac, ...rest] = token.split('.');
      if (body === undefined || mac === undefined || rest.length > 0) {
        throw new TokenError('is malformed');
      }
      if (version !== VERSION) throw new TokenError('is of another version');
      const given = Buffer.from(mac, 'base64url');
      const isSame = given.toString('base64url') === mac;
      const isWhole = isSame && given.length === MAC_BYTES;
      if (!isWhole || !timingSafeEqual(given, sign(body))) {
        throw new TokenError('has a wrong signature');
      }
      return readFloors(Buffer.from(body, 'base64url').toString());
    },
  };
}

function readFloors(text: string): SessionFloors {
  const floors = new Map<string, Position>();
  if (text === '') return floors;
  for (const line of text.split('\n')) {
    const at = line.indexOf('=');
    const name = line.slice(0, Math.max(at, 0));
    const position = parsePosition(line.slice(at + 1));
    if (!NAME.test(name) || !position) throw new TokenError('is malformed');
    floors.set(name, position);
  }
  return floors;
}
