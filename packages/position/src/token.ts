/**
 * Session tokens: signed lists of the positions that a caller's reads must
 * see. A caller can present its token to any instance.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {TypedError} from '@quetzalreel/common';
import {type Position, formatPosition, parsePosition} from './position.js';

/** The token was not issued by this fleet, or was changed since. */
export class TokenError extends TypedError {
  constructor(what: string) {
    super(
      'TokenError',
      `the session token ${what}; not run`,
      'Take a new one with SHOW quetzalreel.session, or go on without one.',
    );
  }
}

/** Lowest position that a caller's reads must see, by group name. */
export type SessionFloors = ReadonlyMap<string, Position>;

/** Encodes and decodes session tokens. */
export interface TokenCodec {
  write(floors: SessionFloors): string;
  /** Throws TokenError if the token is not valid. */
  read(token: string): SessionFloors;
}

const TOKEN_VERSION = 'qr1';
const MAX_TOKEN_CHARACTERS = 8192;
const MAC_BYTES = 16;
const GROUP_NAME = /^[a-z0-9][a-z0-9_.-]{0,62}$/;

/** Creates a codec; every instance with the same `key` reads its tokens. */
export function tokenCodec(key: string): TokenCodec {
  const sign = (body: string) =>
    createHmac('sha256', key)
      .update(`${TOKEN_VERSION}.${body}`)
      .digest()
      .subarray(0, MAC_BYTES);
  return {
    write(floors) {
      const lines: string[] = [];
      for (const [name, position] of floors) {
        lines.push(`${name}=${formatPosition(position)}`);
      }
      const body = Buffer.from(lines.join('\n')).toString('base64url');
      return `${TOKEN_VERSION}.${body}.${sign(body).toString('base64url')}`;
    },
    read(token) {
      if (token.length > MAX_TOKEN_CHARACTERS)
        throw new TokenError('is too long');
      const [version, body, mac, ...rest] = token.split('.');
      if (body === undefined || mac === undefined || rest.length > 0) {
        throw new TokenError('is malformed');
      }
      if (version !== TOKEN_VERSION)
        throw new TokenError('is of another version');
      const receivedMac = Buffer.from(mac, 'base64url');
      const isCanonical = receivedMac.toString('base64url') === mac;
      const isComplete = isCanonical && receivedMac.length === MAC_BYTES;
      if (!isComplete || !timingSafeEqual(receivedMac, sign(body))) {
        throw new TokenError('has a wrong signature');
      }
      return parseFloors(Buffer.from(body, 'base64url').toString());
    },
  };
}

function parseFloors(text: string): SessionFloors {
  const floors = new Map<string, Position>();
  if (text === '') return floors;
  for (const line of text.split('\n')) {
    const at = line.indexOf('=');
    const name = line.slice(0, Math.max(at, 0));
    const position = parsePosition(line.slice(at + 1));
    if (!GROUP_NAME.test(name) || !position)
      throw new TokenError('is malformed');
    floors.set(name, position);
  }
  return floors;
}
