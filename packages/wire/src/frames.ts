/**
 * Splits a byte stream into frames of the PostgreSQL protocol. A frame consists
 * of one type byte, a length of four bytes that includes those four, and a body.
 */
import {TypedError, chunkBuffer} from '@quetzalreel/common';

/** Length of a frame's header: the type byte and the length. */
export const FRAME_HEADER_BYTES = 5;

/** One protocol message in its encoded form. */
export interface Frame {
  /** Message type, a single character. */
  readonly type: string;
  /** The whole message, including its header. */
  readonly bytes: Buffer;
}

/**
 * Thrown for a frame that exceeds the size limit or has an impossible length,
 * and for a malformed message.
 */
export class FrameError extends TypedError {
  /** Complete frames that precede the bad one in the same chunk. */
  precedingFrames: readonly Frame[] = [];

  constructor(what: string, remedy: string) {
    super('FrameError', what, remedy);
  }
}

/** Assembles frames from the chunks of a stream. */
export interface FrameSplitter {
  /**
   * Returns the frames that `chunk` completes. Throws FrameError, after which
   * the stream can't be read any further.
   */
  push(chunk: Buffer): Frame[];
}

/** Creates a splitter that rejects frames longer than `maxBytes`. */
export function frameSplitter(maxBytes: number): FrameSplitter {
  const incomplete = chunkBuffer(FRAME_HEADER_BYTES);
  return {
    push(chunk) {
      const frames: Frame[] = [];
      let rest = incomplete.push(chunk);
      if (!rest) return frames;
      let needed = FRAME_HEADER_BYTES;
      while (rest.length >= FRAME_HEADER_BYTES) {
        const size = frameSize(rest, maxBytes, frames);
        needed = size;
        if (rest.length < size) break;
        frames.push({
          type: String.fromCharCode(rest[0]!),
          bytes: rest.subarray(0, size),
        });
        rest = rest.subarray(size);
        needed = FRAME_HEADER_BYTES;
      }
      incomplete.keep(rest, needed);
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
    if (err instanceof FrameError) err.precedingFrames = before;
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

/** Returns the body of a frame, without its header. */
export function frameBody(frame: Frame): Buffer {
  return frame.bytes.subarray(FRAME_HEADER_BYTES);
}
