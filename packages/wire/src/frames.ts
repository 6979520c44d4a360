/**
 * Splits a byte stream into frames of the PostgreSQL protocol. A frame is one
 * type byte, four bytes of length that count themselves, and a body.
 */
import {TypedError} from '@quetzalreel/common';

/** Bytes before a frame's body: the type and the length. */
export const FRAME_HEADER_BYTES = 5;

/** One protocol message, its bytes as they came. */
export interface Frame {
  /** The message's type, one letter. */
  readonly type: string;
  /** The whole message with its header. */
  readonly bytes: Buffer;
}

/** A frame that can't be read: too long, or with an impossible length. */
export class FrameError extends TypedError {
  /** Whole frames that came before, in the same chunk. */
  before: readonly Frame[] = [];

  constructor(what: string, remedy: string) {
    super('FrameError', what, remedy);
  }
}

/** Takes chunks as they arrive and gives back the frames they complete. */
export interface FrameSplitter {
  /** The frames completed by `chunk`. Throws FrameError; then stop reading. */
  push(chunk: Buffer): Frame[];
}

/** A splitter that refuses frames longer than `maxBytes`. */
export function frameSplitter(maxBytes: number): FrameSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      let rest = pending.length > 0 ? Buffer.concat([pending, chunk]) : chunk;
      const frames: Frame[] = [];
      while (rest.length >= FRAME_HEADER_BYTES) {
        const size = frameSize(rest, maxBytes, frames);
        if (rest.length < size) break;
        frames.push({
          type: String.fromCharCode(rest[0]!),
          bytes: rest.subarray(0, size),
        });
        rest = rest.subarray(size);
      }
      pending = rest;
      return frames;
    },
  };
}

function frameSize(
  bytes: Buffer,
  maxBytes: number,
  before: readonly Frame[],
): number {
  try {
    return checkedSize(bytes, maxBytes);
  } catch (err) {
    if (err instanceof FrameError) err.before = before;
    throw err;
  }
}

function checkedSize(bytes: Buffer, maxBytes: number): number {
  const size = bytes.readUInt32BE(1) + 1;
  if (size < FRAME_HEADER_BYTES) {
    throw new FrameError(
      `a message states an impossible length of ${size - 1} bytes`,
      'Close the connection and use a driver that speaks protocol 3.',
    );
  }
  if (size > maxBytes) {
    throw new FrameError(
      `a message of ${size} bytes is over the limit of ${maxBytes}`,
      'Send it in smaller parts, or raise --max-message-bytes.',
    );
  }
  return size;
}

/** The body of a frame. */
export function frameBody(frame: Frame): Buffer {
  return frame.bytes.subarray(FRAME_HEADER_BYTES);
}
