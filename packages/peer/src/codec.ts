/**
 * Frames between instances: a length of four bytes, then a cbor-x value. The
 * highest bit of the length tells that the value is compressed.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {TypedError, chunkBuffer} from '@quetzalreel/common';
import {Encoder} from 'cbor-x';
import {cborFault} from './plain-cbor.js';

/** Protocol version; a link to a peer of another version is closed. */
export const PEER_VERSION = 1;

const LENGTH_BYTES = 4;
/** Marks a compressed value, in the length of its frame. */
const COMPRESSED_BIT = 0x8000_0000;
/** Shorter values are sent as they are: compressing them saves little. */
const MIN_COMPRESSED_BYTES = 2048;
/** The fastest level: values with many alike entries still shrink most. */
const COMPRESSION_LEVEL = 1;

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
  return frameOf(encoder.encode(value), 0);
}

/** As `encodeFrame`, for a peer that takes compressed values. */
export function encodeCompressedFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  if (body.length < MIN_COMPRESSED_BYTES) return frameOf(body, 0);
  const compressed = deflateRawSync(body, {level: COMPRESSION_LEVEL});
  return frameOf(compressed, COMPRESSED_BIT);
}

function frameOf(body: Buffer, mark: number): Buffer {
  const head = Buffer.allocUnsafe(LENGTH_BYTES);
  head.writeUInt32BE(mark + body.length);
  return Buffer.concat([head, body]);
}

/** Decodes frames from a stream that arrives in chunks. */
export interface FrameDecoder {
  /** Returns the values that `chunk` completes. Throws PeerFrameError; the link
   * must be closed then. */
  push(chunk: Buffer): unknown[];
  /** Bytes of a frame whose end has not arrived. */
  readonly pendingBytes: number;
}

/** Creates a decoder that refuses frames longer than `maxBytes`. */
export function frameDecoder(maxBytes: number): FrameDecoder {
  const pending = chunkBuffer(LENGTH_BYTES);
  return {
    get pendingBytes() {
      return pending.keptBytes;
    },
    push(chunk) {
      const values: unknown[] = [];
      let rest = pending.push(chunk);
      if (!rest) return values;
      let needed = LENGTH_BYTES;
      while (rest.length >= LENGTH_BYTES) {
        const length = rest.readUInt32BE(0);
        const isCompressed = length >= COMPRESSED_BIT;
        const size = isCompressed ? length - COMPRESSED_BIT : length;
        if (size > maxBytes)
          throw new PeerFrameError(
            `${size} bytes exceed the limit of ${maxBytes}`,
          );
        const end = LENGTH_BYTES + size;
        needed = end;
        if (rest.length < end) break;
        const body = rest.subarray(LENGTH_BYTES, end);
        values.push(decodeValue(isCompressed ? inflate(body, maxBytes) : body));
        rest = rest.subarray(end);
        needed = LENGTH_BYTES;
      }
      pending.keep(rest, needed);
      return values;
    },
  };
}

function inflate(bytes: Buffer, maxBytes: number): Buffer {
  try {
    return inflateRawSync(bytes, {maxOutputLength: maxBytes});
  } catch (err) {
    throw new PeerFrameError((err as Error).message);
  }
}

function decodeValue(bytes: Buffer): unknown {
  const fault = cborFault(bytes);
  if (fault !== undefined) throw new PeerFrameError(fault);
  try {
    return encoder.decode(bytes);
  } catch (err) {
    throw new PeerFrameError((err as Error).message);
  }
}
