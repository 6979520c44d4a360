/** Frames between instances: a length of four bytes, then a cbor-x value. */
import {TypedError} from '@quetzalreel/common';
import {Encoder} from 'cbor-x';

/** Protocol version; a link to a peer of another version is closed. */
export const PEER_VERSION = 1;

const LENGTH_BYTES = 4;

/** A peer sent data that can't be decoded. */
export class PeerFrameError extends TypedError {
  constructor(what: string) {
    super(
      'PeerFrameError',
      `a peer's frame can't be read: ${what}`,
      'Check that both instances run the same version.',
    );
  }
}

const encoder = new Encoder({useRecords: false});

/** Encodes `value` as one frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const head = Buffer.allocUnsafe(LENGTH_BYTES);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Decodes frames from a stream that arrives in chunks. */
export interface FrameDecoder {
  /** Returns the values that `chunk` completes. Throws PeerFrameError; the link
   * must be closed then. */
  push(chunk: Buffer): unknown[];
}

/** Creates a decoder that refuses frames longer than `maxBytes`. */
export function frameDecoder(maxBytes: number): FrameDecoder {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      let rest = pending.length > 0 ? Buffer.concat([pending, chunk]) : chunk;
      const values: unknown[] = [];
      while (rest.length >= LENGTH_BYTES) {
        const size = rest.readUInt32BE(0);
        if (size > maxBytes)
          throw new PeerFrameError(
            `${size} bytes exceed the limit of ${maxBytes}`,
          );
        if (rest.length < LENGTH_BYTES + size) break;
        const end = LENGTH_BYTES + size;
        values.push(decodeValue(rest.subarray(LENGTH_BYTES, end)));
        rest = rest.subarray(end);
      }
      pending = rest;
      return values;
    },
  };
}

function decodeValue(bytes: Buffer): unknown {
  try {
    return encoder.decode(bytes);
  } catch (err) {
    throw new PeerFrameError((err as Error).message);
  }
}
